package gate

import (
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

var pacedSendsTotal = metrics.NewCounter("banyanspur_gate_paced_sends_total")

// paceTTL is how long the leader's word on targets that start or recover counts. It is longer
// than an election, and than the allotments of a host are valid without a leader, see
// [limit.AllotmentTime]. After that each host decides by its own failures, so that no target
// stays limited without a leader.
const paceTTL = 4 * time.Second

// paceTracker holds what the leader allows of targets that start or recover. The zero value
// is ready to use. It is safe for concurrent use.
type paceTracker struct {
	mu      sync.Mutex
	paces   fleet.Paces
	heardAt types.Mono // when the leader has last replied
}

// merge records a reply of the leader.
func (t *paceTracker) merge(reply fleet.LoadsReply, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.paces, t.heardAt = reply.Paces, now
}

// allowed returns what a target may get, and false if it is not limited.
func (t *paceTracker) allowed(id types.TargetID, now types.Mono) (ramp.Allowed, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, limited := t.paces[id]
	return a, limited && now.Sub(t.heardAt) < paceTTL
}

// report returns what the leader has last allowed, for a new one.
func (t *paceTracker) report(now types.Mono) fleet.Paces {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.heardAt) >= paceTTL {
		return nil
	}
	return t.paces
}

// paceHearTime is how long a target that has appeared in the list is limited before the
// leader's word: until two exchanges of loads, of which the first may have begun before.
const paceHearTime = 2 * loadExchangeInterval

// allowedPace returns what a target may get while it starts or recovers, and false if it is
// not limited. The list reaches all hosts at the same time and before the leader's word.
// Without a limit until then, all would send to the new target, which is idle.
func (g *Gate) allowedPace(id types.TargetID, now types.Mono) (ramp.Allowed, bool) {
	a, limited := g.pace.allowed(id, now)
	if limited || !g.targets.observes.Load() {
		return a, limited
	}
	g.cold.mu.Lock()
	defer g.cold.mu.Unlock()
	return ramp.Allowed{Rate: ramp.StartRate}, g.cold.cold.Appeared(id, paceHearTime, now)
}

// observeColdServices makes load reports contain what the leader needs to limit targets if
// the plan bounds the requests that cold targets of a service get.
func (g *Gate) observeColdServices() {
	table := g.Fleet.View().Plan
	if !g.TargetPace || table == nil || g.targets.observes.Load() {
		return
	}
	if slices.ContainsFunc(table.Plan.Services, func(s plan.Service) bool { return s.ColdRate > 0 }) {
		g.targets.observes.Store(true)
	}
}

// failing reports whether requests should avoid a target that is failing according to this
// host. Of a target that is limited by its pace, the leader knows what all hosts have
// observed, so that the host's own backoff does not count, only that it cannot connect.
func (g *Gate) failing(id types.TargetID, failing bool) bool {
	if _, limited := g.allowedPace(id, g.Clock()); failing && limited {
		return g.targets.unreachable(id)
	}
	return failing
}

// fullFor returns for how long a target gets no request of this call, 0 if it may: it is at
// its limit, or it is avoided and gets probes only, see pickProbe.
func (c *call) fullFor(service *plan.Service, id types.TargetID, now types.Mono) time.Duration {
	if a, limited := c.gate.allowedPace(id, now); limited && a.Probe {
		return ramp.StepInterval
	}
	return c.gate.targetLimits.fullFor(id, c.lowPrecedence(service, id), now)
}

// pickProbe selects a target that is avoided, to find out whether it answers again. The
// request must be one that may be sent to another target if it does not.
func (c *call) pickProbe(service *plan.Service, tried map[types.TargetID]bool) (targetChoice, bool) {
	if !c.route.Repeatable() || c.runs+1 >= c.route.Attempts {
		return targetChoice{}, false
	}
	now := c.gate.Clock()
	for _, t := range c.candidates(service, tried) {
		a, limited := c.gate.allowedPace(t.ID, now)
		if !limited || !a.Probe || c.gate.targetLimits.fullFor(t.ID, c.lowPrecedence(service, t.ID), now) > 0 || c.gate.targets.unreachable(t.ID) {
			continue
		}
		option, _ := c.gate.targets.routeOption(t, nil, c.gate.Zone, time.Now(), now)
		return targetChoice{Target: t, option: option, candidates: 1}, true
	}
	return targetChoice{}, false
}

// unreachable reports whether a target accepts no connections.
func (t *targetTracker) unreachable(id types.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach.Unreachable(id, t.clock())
}

// recordRefusal counts the last response of a target as a refusal.
func (t *targetTracker) recordRefusal(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.getOrCreate(id); s.observed.Responses > 0 {
		s.observed.Responses--
		s.observed.Refusals++
	}
}

// recordServerError counts the last response of a target as a failure, since it is an error
// of the server or ended early.
func (t *targetTracker) recordServerError(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	s.observed.Responses = max(0, s.observed.Responses-1)
	s.observed.Failures++
}

// takeObserved adds what this host has observed of a target since its last report, if the
// settings call for it, and begins anew. If the report is lost, so is the evidence. The
// caller must hold mu.
func (t *targetTracker) takeObserved(s *targetState, l *fleet.Load) {
	if t.observes.Load() {
		l.Responses, l.Failures, l.Refusals = s.observed.Responses, s.observed.Failures, s.observed.Refusals
	}
	s.observed = ramp.Report{}
}
