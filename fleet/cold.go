package fleet

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

// ColdTargets holds how long targets stay cold, counted from when it was sent.
type ColdTargets map[types.TargetID]time.Duration

var coldTotal = metrics.NewCounter("banyanspur_fleet_cold_targets_total")

// ColdEntries returns what a list says about cold targets.
func ColdEntries(list []Target) []ramp.Entry {
	entries := make([]ramp.Entry, 0, len(list))
	for _, t := range list {
		entries = append(entries, ramp.Entry{ID: t.ID, Address: t.Address, Zone: t.Zone, ColdLeft: t.ColdLeft})
	}
	return entries
}

// updateCold records which targets of the platform's list are cold, and clears
// [Target.ColdLeft]: it changes with each fetch, and so would the checksum of the list. It
// must be called within asLeader.
func (c *Control) updateCold(list []Target, now types.Mono) {
	c.services = make(map[types.TargetID]types.ServiceID, len(list))
	c.paced = c.paced[:0]
	for _, t := range list {
		c.services[t.ID] = t.Service
		if !t.Draining {
			c.paced = append(c.paced, ramp.Member{ID: t.ID, Service: t.Service})
		}
	}
	for _, id := range c.cold.Update(ColdEntries(list), now) {
		c.logCold(id, "list", now)
		c.startPace(id, "list", now)
	}
	for i := range list {
		list[i].ColdLeft = 0
	}
}

// logCold logs that a target has turned cold if its service has a limit for cold targets.
func (c *Control) logCold(id types.TargetID, source string, now types.Mono) {
	if left, _, limited := c.coldLimit(id, now); limited {
		coldTotal.Inc()
		c.Log.Write(event.TargetCold, event.Fields{"target": id, "source": source, "leftMs": left.Milliseconds()})
	}
}

// coldLimit returns how long a target stays cold and its limit until then. limited is false
// if the target is warm or its service has no limit for cold targets. It must be called
// within asLeader.
func (c *Control) coldLimit(id types.TargetID, now types.Mono) (left time.Duration, l limit.Limit, limited bool) {
	table := c.planInForce()
	if table == nil {
		return 0, l, false
	}
	s := table.Service(c.services[id])
	if s == nil || s.ColdRate <= 0 {
		return 0, l, false
	}
	left = c.cold.Left(id, s.ColdTime, now)
	return left, c.ColdBound.Limit(s.ColdRate), left > 0
}

// exchangeCold records the targets that a host has found to have started, and returns all
// that are cold. It must be called within asLeader.
func (c *Control) exchangeCold(found ColdTargets, now types.Mono) ColdTargets {
	c.recordCold(found, now)
	if len(found) == 0 && now.Sub(c.coldReplyAt) < coldReplyInterval {
		return c.coldReply
	}
	c.coldReply, c.coldReplyAt = nil, now
	for id := range c.services {
		if left, _, limited := c.coldLimit(id, now); limited {
			if c.coldReply == nil {
				c.coldReply = ColdTargets{}
			}
			c.coldReply[id] = left
		}
	}
	return c.coldReply
}

// coldReplyInterval is how long the cold targets are not determined again, which takes time
// for each target, while hosts report. They stay cold for seconds.
const coldReplyInterval = 50 * time.Millisecond

// recordCold records for how long a host takes targets to be cold. It must be called within
// asLeader.
func (c *Control) recordCold(cold ColdTargets, now types.Mono) {
	for id, left := range cold {
		if known, _, _ := c.coldLimit(id, now); left <= known+ramp.ColdTolerance {
			continue
		}
		if c.cold.Extend(id, min(left, maxColdTime), now) {
			c.logCold(id, "host", now)
			c.startPace(id, "host", now)
		}
	}
}

// maxColdTime bounds for how long a host may take a target to be cold.
const maxColdTime = time.Minute

// coldRevisions returns an encoding of the targets that have turned cold while they were
// listed, which is a part of the checksum of the list so that all hosts get it again. It is
// empty as long as there are none. It must be called within asLeader.
func (c *Control) coldRevisions() []byte {
	var encoded []byte
	for _, t := range c.platformTargets { // Sorted by ID.
		if r := c.cold.Revision(t.ID); r > 0 {
			encoded = append(encoded, types.Encode([]any{t.ID, r})...)
		}
	}
	return encoded
}

// targetsWithCold returns the list of targets with [Target.ColdLeft] as of now. It must be
// called within asLeader.
func (c *Control) targetsWithCold(now types.Mono) *Targets {
	targets := c.targets
	targets.List = slices.Clone(targets.List)
	for i, t := range targets.List {
		if left, _, limited := c.coldLimit(t.ID, now); limited {
			targets.List[i].ColdLeft = left
		}
	}
	return &targets
}
