package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/poison"
	"github.com/banyanspur/banyanspur/types"
)

// CrashReport is a host's report of a [poison.Crash]. Its times are relative to when
// the report is sent, since hosts have different clocks.
type CrashReport struct {
	Fingerprint types.Fingerprint `json:"request"`
	Attempt     types.AttemptID   `json:"attempt"`
	Target      types.TargetID    `json:"target"`
	Zone        types.ZoneID      `json:"zone"`
	SentAgo     time.Duration     `json:"sentAgo"`
	EndedAgo    time.Duration     `json:"endedAgo"`
}

// NewCrashReport returns the report of a crash that is sent now.
func NewCrashReport(c poison.Crash, now types.Mono) CrashReport {
	return CrashReport{
		Fingerprint: c.Fingerprint, Attempt: c.Attempt, Target: c.Target, Zone: c.Zone, SentAgo: now.Sub(c.SentAt), EndedAgo: now.Sub(c.EndedAt),
	}
}

func (r CrashReport) crash(now types.Mono) poison.Crash {
	return poison.Crash{
		Fingerprint: r.Fingerprint, Attempt: r.Attempt, Target: r.Target, Zone: r.Zone, SentAt: now.Add(-r.SentAgo), EndedAt: now.Add(-r.EndedAgo),
	}
}

// Suspects are the requests that have ended targets.
type Suspects struct {
	// Checksum is a hash of the lists. It is 0 if and only if both are empty.
	Checksum uint64 `json:"sum"`
	// Poisonous requests are refused.
	Poisonous []types.Fingerprint `json:"poisonous,omitempty"`
	// Watched requests are not refused. A host reports them if they complete.
	Watched []types.Fingerprint `json:"watched,omitempty"`
}

// newSuspects returns the suspects with their checksum. The lists must be sorted.
func newSuspects(poisonous, watched []types.Fingerprint) Suspects {
	s := Suspects{Poisonous: poisonous, Watched: watched}
	if len(poisonous) > 0 || len(watched) > 0 {
		s.Checksum = max(1, xxhash.Sum64(types.Encode(s)))
	}
	return s
}

// ZoneSizes returns the number of targets in each availability zone.
func ZoneSizes(targets []Target) poison.ZoneSizes {
	sizes := poison.ZoneSizes{}
	for _, t := range targets {
		sizes[t.Zone]++
	}
	return sizes
}

// Quarantine changes the set of requests that all hosts refuse because targets ended
// while they ran them.
type Quarantine struct {
	Add    []types.Fingerprint `json:"add,omitempty"`
	Remove []types.Fingerprint `json:"remove,omitempty"`
}

// maxQuarantined limits the requests in quarantine. The oldest are removed first.
const maxQuarantined = 4096

var quarantinedTotal = metrics.NewCounter("banyanspur_fleet_quarantined_total")

func (m *Machine) changeQuarantine(at types.LogTime, q Quarantine) {
	maps.DeleteFunc(m.state.Quarantined, func(_ types.Fingerprint, since types.LogTime) bool { return at.Sub(since) > poison.QuarantineTime })
	for _, f := range q.Remove {
		delete(m.state.Quarantined, f)
	}
	if m.state.Quarantined == nil {
		m.state.Quarantined = map[types.Fingerprint]types.LogTime{}
	}
	for _, f := range q.Add {
		if _, ok := m.state.Quarantined[f]; !ok {
			m.state.Quarantined[f] = at
		}
	}
	if n := len(m.state.Quarantined) - maxQuarantined; n > 0 {
		oldestFirst := slices.SortedFunc(maps.Keys(m.state.Quarantined), func(a, b types.Fingerprint) int {
			return cmp.Or(cmp.Compare(m.state.Quarantined[a], m.state.Quarantined[b]), cmp.Compare(a, b))
		})
		for _, f := range oldestFirst[:n] {
			delete(m.state.Quarantined, f)
		}
	}
}

// Quarantined returns the requests that are in quarantine at the given time, sorted.
func (m *Machine) Quarantined(at types.LogTime) []types.Fingerprint {
	var list []types.Fingerprint
	for f, since := range m.state.Quarantined {
		if at.Sub(since) <= poison.QuarantineTime {
			list = append(list, f)
		}
	}
	slices.Sort(list)
	return list
}

// recordSuspects records a host's reports on requests that have ended targets or
// completed. It must be called within asLeader.
func (c *Control) recordSuspects(req LoadsRequest, now types.Mono) {
	for _, r := range req.Crashes {
		c.crashes.Record(r.crash(now), now)
	}
	quarantined := c.machine.Quarantined(c.logTime)
	for _, f := range req.Completed {
		c.crashes.Clear(f)
		if _, found := slices.BinarySearch(quarantined, f); found {
			c.completed[f] = true
		}
	}
}

// suspects returns the current suspects and the pending change of the quarantine,
// which is nil if there is none or another one is being proposed. It must be called
// within asLeader.
func (c *Control) suspects(now types.Mono) (Suspects, *Quarantine) {
	quarantined := c.machine.Quarantined(c.logTime)
	poisonous, watched := c.crashes.FleetVerdicts(c.zoneSizes, now)
	q := Quarantine{Add: without(poisonous, quarantined), Remove: slices.Sorted(maps.Keys(c.completed))}
	list := newSuspects(quarantined, without(watched, quarantined))
	if c.changingQuarantine || len(q.Add) == 0 && len(q.Remove) == 0 {
		return list, nil
	}
	c.changingQuarantine = true
	return list, &q
}

// without returns the elements of list that are not in the sorted list exclude.
func without(list, exclude []types.Fingerprint) []types.Fingerprint {
	return slices.DeleteFunc(list, func(f types.Fingerprint) bool {
		_, found := slices.BinarySearch(exclude, f)
		return found
	})
}

// proposeQuarantine commits a change of the quarantine. After a failure, the next
// exchange of load reports proposes it again.
func (c *Control) proposeQuarantine(ctx context.Context, q Quarantine) {
	_, err := c.propose(ctx, Command{Quarantine: &q})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changingQuarantine = false
	if err != nil {
		c.Log.Write(event.QuarantineFailed, event.Fields{"add": q.Add, "remove": q.Remove, "error": err.Error()})
		return
	}
	for _, f := range q.Remove {
		delete(c.completed, f)
		c.Log.Write(event.QuarantineEnded, event.Fields{"fingerprint": f})
	}
	for _, f := range q.Add {
		quarantinedTotal.Inc()
		c.Log.Write(event.CallQuarantined, event.Fields{"fingerprint": f, "targets": c.crashes.Targets(f)})
	}
}
