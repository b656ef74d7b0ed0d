package route

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// TargetStats holds load and failure statistics of the targets as seen by an entry
// host. The zero value is empty and ready to use. It is safe for concurrent use.
type TargetStats struct {
	mu    sync.Mutex
	stats map[types.TargetID]*stats
}

// stats holds the statistics of one target.
type stats struct {
	inFlight     int // calls of this entry host in flight; never negative
	reported     int
	slots        int
	reportedAt   types.Mono
	hasReport    bool
	callTime     time.Duration // moving average; 0 if unknown
	failures     int           // consecutive failures
	ejectedUntil types.Mono    // the target gets no new calls before this time
}

// Names of the response headers in which targets report their load.
const (
	HeaderLoadCalls = "Load-Calls"
	HeaderLoadSlots = "Load-Slots"
)

// BaseEjectionTime is how long a target is ejected, that is, gets no new calls,
// after its first failure. Each further consecutive failure doubles the time, up
// to 30 seconds.
const BaseEjectionTime = 500 * time.Millisecond

const (
	maxEjectionTime = 30 * time.Second
	maxDoublings    = 10
	callTimeWeight  = 0.1
)

func (t *TargetStats) getOrCreate(id types.TargetID) *stats {
	if t.stats == nil {
		t.stats = map[types.TargetID]*stats{}
	}
	s := t.stats[id]
	if s == nil {
		s = &stats{}
		t.stats[id] = s
	}
	return s
}

// Start records that a call is sent to the target.
func (t *TargetStats) Start(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(id).inFlight++
}

// Finish records the end of a call that took the given time. A failure ejects the
// target; a success ends the run of failures and updates the average call time.
func (t *TargetStats) Finish(id types.TargetID, took time.Duration, failed bool, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	s.inFlight--
	if failed {
		s.failures++
		s.ejectedUntil = now.Add(min(BaseEjectionTime<<min(s.failures-1, maxDoublings), maxEjectionTime))
		return
	}
	s.failures = 0
	if s.callTime == 0 {
		s.callTime = took
	}
	s.callTime += time.Duration(callTimeWeight * float64(took-s.callTime))
}

// Report records the load report in the headers of a target's response. It
// ignores headers without a valid number of calls.
func (t *TargetStats) Report(id types.TargetID, h http.Header, now types.Mono) {
	calls, err := strconv.Atoi(h.Get(HeaderLoadCalls))
	if err != nil {
		return
	}
	slots, _ := strconv.Atoi(h.Get(HeaderLoadSlots)) // 0 if unknown.
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	s.reported, s.slots, s.reportedAt, s.hasReport = calls, slots, now, true
}

// Candidate returns the state of a target for a policy, and whether the target is
// ejected because of recent failures. It leaves Cached and SameZone unset.
func (t *TargetStats) Candidate(id types.TargetID, now types.Mono) (c Candidate, ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	c = Candidate{Target: id, InFlight: s.inFlight, Reported: s.reported, Slots: s.slots, CallTime: s.callTime, ReportAge: -1}
	if s.hasReport {
		c.ReportAge = now.Sub(s.reportedAt)
	}
	return c, now < s.ejectedUntil
}
