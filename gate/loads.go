package gate

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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

	mu     sync.Mutex
	states map[types.TargetID]*targetState
	reach  route.Reachability
	// observes is set if load reports contain what this host has observed of targets.
	observes bool
}

// targetState is the state of one target in a [targetTracker].
type targetState struct {
	inFlight            int // this host's requests in flight
	running             int // from the target's load report, like waiting and slots
	waiting             int
	inFlightAtReport    int // inFlight when the load report was received
	slots               int
	reportedAt          time.Time   // when the load report was received
	consecutiveFailures int         // failures since the last response
	observed            ramp.Report // since the last load report, without UnitSeconds
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
	// evictionThreshold is the number of cached parts of a target above which
	// unused ones are evicted.
	evictionThreshold = 2048
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
// parts, and the target's time for a unit of work in seconds, 0 if unknown.
func (t *targetTracker) routeOption(target fleet.Target, parts []promptPart, zone types.ZoneID) (o route.Option, unitSeconds float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(target.ID)
	o = route.Option{
		ID: target.ID, SameZone: target.Zone == zone, InFlight: s.inFlight, Running: s.running, Waiting: s.waiting, ReportAge: time.Since(s.reportedAt),
		InFlightAtReport: s.inFlightAtReport, Slots: s.slots, Cached: s.cachedTokens(parts), Pace: 1,
		Failing: s.inBackoff(time.Now()) || t.reach.Unreachable(target.ID, t.clock()),
	}
	if o.Slots == 0 {
		o.Slots = target.Slots
	}
	if age := time.Since(s.otherHostsAt); age < o.ReportAge {
		// The reports of the other hosts are newer than the target's own.
		o.Running, o.Waiting, o.InFlightAtReport, o.ReportAge = s.otherHosts.InFlight, 0, 0, age
	}
	return o, s.unitSeconds()
}

// unitSeconds returns the target's time for a unit of work in seconds, 0 if
// unknown. A unit is the gap between two events of a stream, or a whole call.
// This host's average and that of the other hosts have equal weight.
func (s *targetState) unitSeconds() float64 {
	sum, n := 0.0, 0.0
	if s.avgUnitSeconds > 0 && time.Since(s.avgUnitAt) < unitTimeTTL {
		sum, n = s.avgUnitSeconds, 1
	}
	if s.otherHosts.UnitSeconds > 0 && time.Since(s.otherHostsAt) < unitTimeTTL {
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
		local := fleet.Load{InFlight: s.inFlight}
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

// cachedTokens returns the size of the longest prefix of parts that the target is
// believed to have cached.
func (s *targetState) cachedTokens(parts []promptPart) types.Tokens {
	var sum types.Tokens
	for _, p := range parts {
		if used, ok := s.cachedParts[p.hash]; !ok || time.Since(used) > fleet.CachedPartTTL {
			return sum
		}
		sum += p.tokens
	}
	return sum
}

// requestStarted counts a request of this host as in flight.
func (t *targetTracker) requestStarted(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(id).inFlight++
}

// requestEnded counts a request of this host as no longer in flight.
func (t *targetTracker) requestEnded(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.states[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// recordResponse resets the failure count of a target that responded and stores
// its load report, "running,waiting,slots". A missing or invalid report is ignored.
func (t *targetTracker) recordResponse(id types.TargetID, report string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	t.reach.RecordReachable(id)
	s.consecutiveFailures = 0
	s.observed.Responses++
	numbers := strings.Split(report, ",")
	if len(numbers) != 3 {
		return
	}
	var n [3]int
	for i, number := range numbers {
		v, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil || v < 0 {
			return
		}
		n[i] = v
	}
	s.running, s.waiting, s.slots = n[0], n[1], n[2]
	s.inFlightAtReport, s.reportedAt = s.inFlight, time.Now()
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

// recordPrefill marks the parts of a prompt as cached by a target. All but the
// last part, which belongs to this request alone, are reported to other hosts.
func (t *targetTracker) recordPrefill(id types.TargetID, parts []promptPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	now := time.Now()
	for i, p := range parts {
		s.cachedParts[p.hash] = now
		if i < len(parts)-1 {
			s.unreportedParts[p.hash] = true
		}
	}
	s.evictUnused(now)
}

// evictUnused drops parts unused for a third of [fleet.CachedPartTTL] if there are
// more than evictionThreshold parts.
func (s *targetState) evictUnused(now time.Time) {
	if len(s.cachedParts) <= evictionThreshold {
		return
	}
	maps.DeleteFunc(s.cachedParts, func(_ types.PartHash, used time.Time) bool { return now.Sub(used) > fleet.CachedPartTTL/3 })
}

// takeUnreportedParts returns the cached parts not yet reported to other hosts and
// marks them as reported.
func (t *targetTracker) takeUnreportedParts() fleet.CachedParts {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := fleet.CachedParts{}
	for id, s := range t.states {
		for part := range s.unreportedParts {
			parts[id] = append(parts[id], part)
		}
		clear(s.unreportedParts)
	}
	return parts
}

// addCachedParts adds cached parts that other hosts reported.
func (t *targetTracker) addCachedParts(reported fleet.CachedParts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for id, parts := range reported {
		s := t.getOrCreate(id)
		for _, part := range parts {
			s.cachedParts[part] = now
		}
		s.evictUnused(now)
	}
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

// promptPart is a section of a prompt that targets cache as a unit.
type promptPart struct {
	id     string
	hash   types.PartHash
	tokens types.Tokens
}

// maxPartTokens is the largest size of a part of a prompt that is believed, beyond any
// model's context. It keeps the sum of all parts from overflowing.
const maxPartTokens = 1 << 32

// parsePromptParts parses a comma-separated list of ID:TOKENS, up to the first
// invalid item.
func parsePromptParts(list string) []promptPart {
	var parts []promptPart
	for _, item := range strings.Split(list, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.ParseInt(size, 10, 64)
		if !ok || err != nil || n < 0 || n > maxPartTokens {
			return parts
		}
		parts = append(parts, promptPart{id: id, hash: types.PartHash(xxhash.Sum64String(id)), tokens: types.Tokens(n)})
	}
	return parts
}
