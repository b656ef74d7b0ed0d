package gate

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// targetTracker holds the load, health, speed and prompt cache contents of targets
// as far as this host knows them. It is safe for concurrent use after its clock is set.
type targetTracker struct {
	// clock is the clock of the process. It must be set before use.
	clock types.Clock
	// maxReportAge is the age from which the report of the other hosts is ignored.
	maxReportAge time.Duration

	mu     sync.Mutex
	states map[types.TargetID]*targetState
	reach  route.Reachability
	// observes is set if load reports contain what this host has observed of targets.
	observes atomic.Bool
	// observesOnReport sets observes once a target has reported its slowness.
	observesOnReport bool
}

// targetState is the state of one target in a [targetTracker].
type targetState struct {
	inFlight            int          // this host's requests in flight
	inFlightTokens      types.Tokens // of those requests that have a [route.Work.Tokens]
	running             int          // from the target's load report, like waiting and slots
	waiting             int
	inFlightAtReport    int // inFlight when the load report was received
	slots               int
	reportedAt          time.Time      // when the load report was received
	slowness            route.Slowness // momentary, from the target's load report; 0 if it has never reported one
	slownessAt          types.Mono     // when slowness was received
	sentInvalidReport   bool           // a load report had a figure that is ignored
	consecutiveFailures int            // failures since the last response
	observed            ramp.Report    // since the last load report, without UnitSeconds
	lastFailureAt       time.Time
	cachedParts         map[types.PartHash]time.Time // prompt parts in the target's cache, and when each was last used or reported
	unreportedParts     map[types.PartHash]bool      // shared prompt parts not yet reported to other hosts
	avgUnitSeconds      float64                      // moving average over the requests of this host
	avgUnitAt           time.Time                    // when avgUnitSeconds was last updated
	otherHosts          fleet.Load                   // combined report of the other hosts
	otherHostsAt        time.Time                    // when otherHosts was last updated
}

const (
	// failureBackoff is how long a target is avoided after a failure. It doubles
	// with each consecutive failure up to maxFailureBackoff.
	failureBackoff    = 500 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// unitTimeSmoothing is the weight of a new sample in the moving average of
	// unit times.
	unitTimeSmoothing = 0.15
	// unitTimeTTL is how long an average unit time is used without a new sample.
	// After that, a target that was slow is no longer avoided.
	unitTimeTTL = 6 * time.Second
)

// getOrCreate returns the state of a target. The caller must hold mu.
func (t *targetTracker) getOrCreate(id types.TargetID) *targetState {
	s := t.states[id]
	if s == nil {
		if t.states == nil {
			t.states = map[types.TargetID]*targetState{}
		}
		s = &targetState{cachedParts: map[types.PartHash]time.Time{}, unreportedParts: map[types.PartHash]bool{}}
		t.states[id] = s
	}
	return s
}

// routeOption returns the routing inputs of a target for a prompt with the given
// parts, and the target's time for a unit of work in seconds, 0 if unknown. now and mono
// are the current time.
func (t *targetTracker) routeOption(target fleet.Target, parts []promptPart, zone types.ZoneID, now time.Time, mono types.Mono) (o route.Option, unitSeconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(target.ID)
	o = route.Option{
		ID: target.ID, SameZone: target.Zone == zone, InFlight: s.inFlight, Running: s.running, Waiting: s.waiting, ReportAge: now.Sub(s.reportedAt),
		InFlightAtReport: s.inFlightAtReport, Slots: s.slots, Cached: s.cachedTokens(parts), Pace: 1,
		Slowness: s.slowness, SlownessAge: mono.Sub(s.slownessAt), Failing: s.inBackoff(now) || t.reach.Unreachable(target.ID, mono),
	}
	if o.Slots == 0 {
		o.Slots = target.Slots
	}
	age := now.Sub(s.otherHostsAt)
	o.Memory = route.Memory{InFlight: s.inFlightTokens, Requests: s.inFlight}
	if age < t.maxReportAge {
		o.Memory.InFlight += s.otherHosts.Tokens
		o.Memory.Requests += s.otherHosts.InFlight
	}
	if age < o.ReportAge {
		// The reports of the other hosts are newer than the target's own.
		o.Running, o.Waiting, o.InFlightAtReport, o.ReportAge = s.otherHosts.InFlight, 0, 0, age
	}
	return o, s.unitSeconds(now)
}

// unitSeconds returns the target's time for a unit of work in seconds, 0 if
// unknown. A unit is the gap between two events of a stream, or a whole call.
// This host's average and that of the other hosts have equal weight.
func (s *targetState) unitSeconds(now time.Time) float64 {
	sum, n := 0.0, 0.0
	if s.avgUnitSeconds > 0 && now.Sub(s.avgUnitAt) < unitTimeTTL {
		sum, n = s.avgUnitSeconds, 1
	}
	if s.otherHosts.UnitSeconds > 0 && now.Sub(s.otherHostsAt) < unitTimeTTL {
		sum, n = sum+s.otherHosts.UnitSeconds, n+1
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// recordUnitTime adds a sample of a target's time for a unit of work.
func (t *targetTracker) recordUnitTime(id types.TargetID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	if s.avgUnitSeconds == 0 || time.Since(s.avgUnitAt) > unitTimeTTL {
		s.avgUnitSeconds = took.Seconds()
	}
	s.avgUnitSeconds += unitTimeSmoothing * (took.Seconds() - s.avgUnitSeconds)
	s.avgUnitAt = time.Now()
}

// localLoads returns this host's load report: the requests in flight, the average unit
// time and whether the target is unreachable, of each target that has any of these.
func (t *targetTracker) localLoads() map[types.TargetID]fleet.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := map[types.TargetID]fleet.Load{}
	for id, s := range t.states {
		local := fleet.Load{InFlight: s.inFlight, Tokens: s.inFlightTokens}
		if time.Since(s.avgUnitAt) < unitTimeTTL {
			local.UnitSeconds = s.avgUnitSeconds
		}
		if t.reach.FoundUnreachable(id) {
			local.Unreachable = 1
		}
		t.takeObserved(s, &local)
		if local != (fleet.Load{}) {
			loads[id] = local
		}
	}
	return loads
}

// setOtherLoads stores the combined load report of the other hosts. A target that
// is missing from it has no requests of theirs in flight.
func (t *targetTracker) setOtherLoads(others map[types.TargetID]fleet.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	unreachable := map[types.TargetID]int{}
	for id, l := range others {
		t.getOrCreate(id)
		if l.Unreachable > 0 {
			unreachable[id] = l.Unreachable
		}
	}
	t.reach.SetReports(unreachable, t.clock())
	for id, s := range t.states {
		previousUnit := s.otherHosts.UnitSeconds
		s.otherHosts = others[id]
		if s.otherHosts.UnitSeconds == 0 {
			s.otherHosts.UnitSeconds = previousUnit // The last known unit time is kept.
		}
		s.otherHostsAt = now
	}
}

// inBackoff reports whether the target is to be avoided after failures.
func (s *targetState) inBackoff(now time.Time) bool {
	if s.consecutiveFailures == 0 {
		return false
	}
	backoff := min(failureBackoff<<min(s.consecutiveFailures-1, 8), maxFailureBackoff)
	return now.Sub(s.lastFailureAt) < backoff
}

// requestStarted counts a request of this host as in flight.
func (t *targetTracker) requestStarted(id types.TargetID, tokens types.Tokens) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	s.inFlight++
	s.inFlightTokens += tokens
}

// requestEnded counts a request of this host as no longer in flight. tokens must be as in
// the call of requestStarted.
func (t *targetTracker) requestEnded(id types.TargetID, tokens types.Tokens) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
		s.inFlightTokens -= tokens
	}
}

// recordFailure counts a failure of a target and drops its cached parts.
func (t *targetTracker) recordFailure(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	s.consecutiveFailures++
	s.observed.Failures++
	s.lastFailureAt = time.Now()
	clear(s.cachedParts) // The target may have restarted with an empty cache.
	clear(s.unreportedParts)
}

// removeUnlisted drops the state of targets that are not listed and have no
// requests of this host in flight.
func (t *targetTracker) removeUnlisted(listed map[types.TargetID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if !listed[id] && s.inFlight == 0 {
			delete(t.states, id)
			t.reach.RecordReachable(id)
		}
	}
}
