package ramp

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Entry is what a list of targets says about one of them.
type Entry struct {
	ID types.TargetID
	// Address identifies the incarnation: another process under the same ID has another
	// address.
	Address string
	Zone    types.ZoneID
	// ColdLeft is how long the target stays cold according to the list; 0 if it is warm.
	ColdLeft time.Duration
}

// Cold tells which targets are cold: those that a list says to be, and for the cold time of
// their service those that have appeared in a list after the first one, that have
// restarted, or whose zone was returned to service. The zero value is ready to use. It is
// not safe for concurrent use.
type Cold struct {
	// ZoneReturned returns when a zone was last returned to service, and false if it was
	// not. It may be nil.
	ZoneReturned func(types.ZoneID) (types.Mono, bool)

	targets map[types.TargetID]*coldTarget // nil until the first list
}

// coldTarget is the state of a listed target.
type coldTarget struct {
	address string
	zone    types.ZoneID
	// until is when the target stops being cold according to a list or another host.
	until types.Mono
	// started is set if the target has started since the first list, at startedAt. found
	// is set if this process has found that out without a list.
	started, found bool
	startedAt      types.Mono
	// revision counts how often a list has said that the target turned cold after it had
	// appeared.
	revision uint64
}

// ColdTolerance is the difference between two statements on the end of the cold time that
// is taken for the time of their messages. A later end by more than that means that the
// target has turned cold once more.
const ColdTolerance = 250 * time.Millisecond

// Update records a list. Targets that are not in it are forgotten. An empty list before the
// first other one is passed over. It returns the targets that have turned cold.
func (c *Cold) Update(list []Entry, now types.Mono) (turned []types.TargetID) {
	if c.targets == nil && len(list) == 0 {
		return nil
	}
	first := c.targets == nil
	next := make(map[types.TargetID]*coldTarget, len(list))
	for _, e := range list {
		t := c.targets[e.ID]
		appeared := t == nil || t.address != e.Address
		if appeared {
			t = &coldTarget{address: e.Address, started: !first, startedAt: now}
		}
		t.zone = e.Zone
		extended := e.ColdLeft > 0 && t.extend(now.Add(e.ColdLeft))
		if extended && !appeared {
			t.revision++
		}
		if extended || appeared && !first {
			turned = append(turned, e.ID)
		}
		next[e.ID] = t
	}
	c.targets = next
	return turned
}

// extend records when the target stops being cold, and reports whether it has turned cold.
func (t *coldTarget) extend(until types.Mono) bool {
	if until <= t.until.Add(ColdTolerance) {
		return false
	}
	t.until = until
	return true
}

// Started records that this process has found a listed target to have started or to have
// become reachable again.
func (c *Cold) Started(id types.TargetID, now types.Mono) {
	if t := c.targets[id]; t != nil {
		t.started, t.found, t.startedAt = true, true, now
	}
}

// Appeared reports whether a target has appeared in a list after the first one within the
// given time.
func (c *Cold) Appeared(id types.TargetID, within time.Duration, now types.Mono) bool {
	t := c.targets[id]
	return t != nil && t.started && !t.found && now.Sub(t.startedAt) < within
}

// Extend records that another host takes a listed target to be cold for some more time. It
// reports whether the target has turned cold.
func (c *Cold) Extend(id types.TargetID, left time.Duration, now types.Mono) (turned bool) {
	t := c.targets[id]
	return t != nil && left > 0 && t.extend(now.Add(left))
}

// Left returns how long a target stays cold; 0 if it is not cold or not listed. coldTime is
// how long the targets of its service are cold after a start.
func (c *Cold) Left(id types.TargetID, coldTime time.Duration, now types.Mono) time.Duration {
	t := c.targets[id]
	if t == nil {
		return 0
	}
	until := t.until
	if t.started {
		until = max(until, t.startedAt.Add(coldTime))
	}
	if c.ZoneReturned != nil {
		if at, ok := c.ZoneReturned(t.zone); ok {
			until = max(until, at.Add(coldTime))
		}
	}
	return max(0, until.Sub(now))
}

// Found returns how long the targets stay cold whose start this process has found itself.
// coldTime returns the cold time of a target.
func (c *Cold) Found(coldTime func(types.TargetID) time.Duration, now types.Mono) map[types.TargetID]time.Duration {
	var found map[types.TargetID]time.Duration
	for id, t := range c.targets {
		if !t.found {
			continue
		}
		left := t.startedAt.Add(coldTime(id)).Sub(now)
		if left <= 0 {
			t.found = false
			continue
		}
		if found == nil {
			found = map[types.TargetID]time.Duration{}
		}
		found[id] = left
	}
	return found
}

// Revision returns how often a list has said that a target turned cold after it had
// appeared in the list.
func (c *Cold) Revision(id types.TargetID) uint64 {
	if t := c.targets[id]; t != nil {
		return t.revision
	}
	return 0
}
