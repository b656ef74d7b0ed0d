package route

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Table holds what an entry host has seen of the targets. Its zero value is
// empty and ready; it is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	stats map[types.TargetID]*stats
}

// stats is what is known of one target.
type stats struct {
	inFlight   int // calls of this entry host at the target; never negative
	reported   int
	slots      int
	reportedAt types.Mono
	hasReport  bool
	callTime   time.Duration // moving average; 0 if unknown
	failures   int           // failures in a row
	ejected    types.Mono    // the target gets nothing new before
}

// The headers by which targets report their load with each answer.
const (
	HeaderLoadCalls = "Load-Calls"
	HeaderLoadSlots = "Load-Slots"
)

// EjectFirst is how long a target gets nothing new after a first failure. Each
// further failure in a row doubles it, up to 30 seconds.
const EjectFirst = 500 * time.Millisecond

const (
	ejectLast      = 30 * time.Second
	maxDoublings   = 10
	callTimeWeight = 0.1
)

func (t *Table) get(id types.TargetID) *stats {
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

// Start notes that a call is sent to the target.
func (t *Table) Start(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).inFlight++
}

// Finish notes the end of a call that took the given time.
func (t *Table) Finish(id types.TargetID, took time.Duration, failed bool, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.inFlight--
	if failed {
		s.failures++
		s.ejected = now.Add(min(EjectFirst<<min(s.failures-1, maxDoublings), ejectLast))
		return
	}
	s.failures = 0
	if s.callTime == 0 {
		s.callTime = took
	}
	s.callTime += time.Duration(callTimeWeight * float64(took-s.callTime))
}

// Report notes what the headers of a target's answer say of its load.
func (t *Table) Report(id types.TargetID, h http.Header, now types.Mono) {
	calls, err := strconv.Atoi(h.Get(HeaderLoadCalls))
	if err != nil {
		return
	}
	slots, _ := strconv.Atoi(h.Get(HeaderLoadSlots)) // 0 stands for unknown.
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.reported, s.slots, s.reportedAt, s.hasReport = calls, slots, now, true
}

// Candidate describes a target to a policy. It is ejected while it has failed
// of late.
func (t *Table) Candidate(id types.TargetID, now types.Mono) (c Candidate, ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	c = Candidate{Target: id, InFlight: s.inFlight, Reported: s.reported, Slots: s.slots, CallTime: s.callTime, ReportAge: -1}
	if s.hasReport {
		c.ReportAge = now.Sub(s.reportedAt)
	}
	return c, now < s.ejected
}
