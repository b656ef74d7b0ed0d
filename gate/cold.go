package gate

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

var coldSendsTotal = metrics.NewCounter("banyanspur_gate_cold_sends_total")

// coldTracker holds which targets are cold, from the lists that the leader sends, from what
// this host has found and from what others have. The zero value is ready to use. It is safe
// for concurrent use.
type coldTracker struct {
	mu       sync.Mutex
	cold     ramp.Cold
	list     []fleet.Target // the list that cold was last updated with
	services map[types.TargetID]types.ServiceID
	// avoided are the targets that several other hosts report to be unreachable.
	avoided map[types.TargetID]bool
}

// update records a list. A list that is the same as before counts once, since
// [fleet.Target.ColdLeft] counts from when it was received. The caller must hold mu, and
// must have got the list since, so that none follows a newer one.
func (t *coldTracker) update(list []fleet.Target, now types.Mono) {
	if len(list) == len(t.list) && (len(list) == 0 || &list[0] == &t.list[0]) {
		return
	}
	t.list = list
	t.services = make(map[types.TargetID]types.ServiceID, len(list))
	for _, target := range list {
		t.services[target.ID] = target.Service
	}
	t.cold.Update(fleet.ColdEntries(list), now)
}

// started records that this host has found a target to have started.
func (t *coldTracker) started(id types.TargetID, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold.Started(id, now)
}

// minUnreachable is how many other hosts must report that they cannot connect to a target
// for it to count as started when they can again. A single one may have lost its own path.
const minUnreachable = 2

// merge records what the leader has replied: the targets that are cold, and those that
// other hosts cannot connect to. A target that they can connect to again counts as started.
func (t *coldTracker) merge(reply fleet.LoadsReply, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, left := range reply.Cold {
		t.cold.Extend(id, left, now)
	}
	avoided := map[types.TargetID]bool{}
	for id, l := range reply.Loads {
		if l.Unreachable >= minUnreachable {
			avoided[id] = true
		}
	}
	for id := range t.avoided {
		if !avoided[id] {
			t.cold.Started(id, now)
		}
	}
	t.avoided = avoided
}

// updateCold records the current list of targets.
func (g *Gate) updateCold() {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	g.cold.update(g.Fleet.View().Targets, g.Clock())
}

// targetStarted records that a target accepts connections again, so that it may have
// started a moment ago.
func (g *Gate) targetStarted(id types.TargetID) {
	now := g.Clock()
	g.cold.started(id, now)
	if left, l, cold := g.coldLimit(id, now); cold {
		g.Log.Write(event.TargetCold, event.Fields{"target": id, "source": "reachable", "leftMs": left.Milliseconds(), "limit": l.Rate})
	}
}

// coldLimit returns how long a target stays cold and the limit of all hosts together until
// then. It returns false if the target is warm or its service has no limit for cold targets.
func (g *Gate) coldLimit(id types.TargetID, now types.Mono) (left time.Duration, l limit.Limit, cold bool) {
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	view := g.Fleet.View()
	g.cold.update(view.Targets, now)
	if view.Plan == nil {
		return 0, l, false
	}
	s := view.Plan.Service(g.cold.services[id])
	if s == nil || s.ColdRate <= 0 {
		return 0, l, false
	}
	left = g.cold.cold.Left(id, s.ColdTime, now)
	return left, g.settings().ColdBound.Limit(s.ColdRate), left > 0
}

// coldFound returns the targets that this host has found to have started, if their services
// have a limit for cold targets.
func (g *Gate) coldFound() fleet.ColdTargets {
	view := g.Fleet.View()
	if view.Plan == nil {
		return nil
	}
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	return g.cold.cold.Found(func(id types.TargetID) time.Duration {
		if s := view.Plan.Service(g.cold.services[id]); s != nil && s.ColdRate > 0 {
			return s.ColdTime
		}
		return 0
	}, g.Clock())
}

// coldAmong returns how long the demanded targets stay cold.
func (g *Gate) coldAmong(demands map[types.TargetID]limit.Demand, now types.Mono) fleet.ColdTargets {
	var among fleet.ColdTargets
	for id := range demands {
		if left, _, cold := g.coldLimit(id, now); cold {
			if among == nil {
				among = fleet.ColdTargets{}
			}
			among[id] = left
		}
	}
	return among
}

// targetLimit returns the limit of all hosts together for a target: the lowest of what it
// names, of what it can take while it is cold and of what it may get while it starts or
// recovers. It returns false if there is none.
func (g *Gate) targetLimit(id types.TargetID) (l limit.Limit, limited bool) {
	add := func(source limit.Limit) {
		if limited {
			source = source.Lowest(l)
		}
		l, limited = source, true
	}
	now := g.Clock()
	if rate, named := g.targetLimits.rate(id); named {
		add(limit.TargetLimit(rate))
	}
	if _, cold, ok := g.coldLimit(id, now); ok {
		add(cold)
	}
	if a, ok := g.allowedPace(id, now); ok {
		add(a.Limit())
	}
	return l, limited
}
