package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// targetTable holds what this entry host has seen of the targets.
type targetTable struct {
	mu    sync.Mutex
	stats map[types.TargetID]*targetStats
}

// targetStats is what is known of one target.
type targetStats struct {
	inFlight   int // calls of this entry host at the target; never negative
	reported   int
	slots      int
	reportedAt types.Mono
	hasReport  bool
	callTime   time.Duration // moving average; 0 if unknown
	failures   int           // failures in a row
	ejected    types.Mono    // the target gets nothing new before
}

const (
	// Headers by which targets report their load with each answer.
	headerLoadCalls = "Load-Calls"
	headerLoadSlots = "Load-Slots"

	callTimeWeight = 0.1
	ejectFirst     = 500 * time.Millisecond
	ejectLast      = 30 * time.Second
	bytesPerToken  = 4
)

func (t *targetTable) get(id types.TargetID) *targetStats {
	if t.stats == nil {
		t.stats = map[types.TargetID]*targetStats{}
	}
	s := t.stats[id]
	if s == nil {
		s = &targetStats{}
		t.stats[id] = s
	}
	return s
}

func (t *targetTable) start(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(id).inFlight++
}

// finish notes the end of a call that took the given time.
func (t *targetTable) finish(id types.TargetID, took time.Duration, failed bool, now types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.inFlight--
	if failed {
		s.failures++
		s.ejected = now.Add(min(ejectFirst<<min(s.failures-1, 10), ejectLast))
		return
	}
	s.failures = 0
	if s.callTime == 0 {
		s.callTime = took
	}
	s.callTime += time.Duration(callTimeWeight * float64(took-s.callTime))
}

// report notes what a target's answer said of its load.
func (t *targetTable) report(id types.TargetID, h http.Header, now types.Mono) {
	calls, err := strconv.Atoi(h.Get(headerLoadCalls))
	if err != nil {
		return
	}
	slots, _ := strconv.Atoi(h.Get(headerLoadSlots)) // 0 stands for unknown.
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	s.reported, s.slots, s.reportedAt, s.hasReport = calls, slots, now, true
}

// candidate describes a target to the policy.
func (t *targetTable) candidate(id types.TargetID, now types.Mono) (c route.Candidate, ejected bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(id)
	c = route.Candidate{Target: id, InFlight: s.inFlight, Reported: s.reported, Slots: s.slots, CallTime: s.callTime, ReportAge: -1}
	if s.hasReport {
		c.ReportAge = now.Sub(s.reportedAt)
	}
	return c, now < s.ejected
}

// affinity is what is known of where a program's prefix is cached.
type affinity struct {
	holders []types.TargetID
	prefix  types.Bytes
}

// pick chooses a target for the call, none of those tried before. It returns
// a noTarget fault if there is none.
func (e *Entry) pick(k *call, a affinity, tried []types.TargetID) (config.Target, error) {
	return e.choose(k, a, func(id types.TargetID) bool { return !slices.Contains(tried, id) })
}

// pickAmong chooses one of the given targets.
func (e *Entry) pickAmong(k *call, a affinity, among []types.TargetID) (config.Target, error) {
	return e.choose(k, a, func(id types.TargetID) bool { return slices.Contains(among, id) })
}

func (e *Entry) choose(k *call, a affinity, allowed func(types.TargetID) bool) (config.Target, error) {
	fleet, err := e.view.get(e.Clock())
	if err != nil {
		return config.Target{}, err
	}
	healthy, ejected := e.candidates(fleet, k, a, allowed)
	if len(healthy) == 0 {
		healthy = ejected // All have failed of late: asking one is better than refusing.
	}
	request := route.Request{Program: k.program, Prompt: types.Tokens(len(k.body) / bytesPerToken), Turn: e.turn.Add(1)}
	i := e.Policy(request, healthy)
	if i < 0 {
		return config.Target{}, types.NewFault(types.CodeNoTarget, "service %q has no target that takes work", k.service.ID).After(ejectFirst)
	}
	return fleet.Targets[healthy[i].Target], nil
}

// candidates lists the allowed targets of the call's service in random order,
// so that equals share the work.
func (e *Entry) candidates(fleet config.Fleet, k *call, a affinity, allowed func(types.TargetID) bool) (healthy, ejected []route.Candidate) {
	now := e.Clock()
	for id, t := range fleet.Targets {
		if t.Service != k.service.ID || t.Leaving || e.leaving.has(t.Address) || !allowed(id) {
			continue
		}
		c, out := e.targets.candidate(id, now)
		c.SameZone = t.Zone == e.Zone
		if slices.Contains(a.holders, id) {
			c.Cached = types.Tokens(a.prefix / bytesPerToken)
		}
		if out {
			ejected = append(ejected, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	shuffle(healthy)
	shuffle(ejected)
	return healthy, ejected
}

func shuffle[T any](s []T) {
	rand.Shuffle(len(s), func(i, j int) { s[i], s[j] = s[j], s[i] })
}
