package limit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// press simulates the requests of one account after a loss of power: turns that continue others, each attempt at another host, beside
// first turns and turns of looping programs, whose budgets are used up, at many times the limit.
type press struct {
	limit     limit.Limit
	hosts     int
	continued float64 // turns that continue others, per second
	first     float64 // first turns, per second
	loops     float64 // turns that continue others and are refused for their budgets, per second
	calls     float64 // calls of tools, per second
	atOnce    int     // turns that continue others at the beginning
	claimTime time.Duration
	duration  time.Duration

	rand    *rand.Rand
	now     types.Mono
	issuer  *limit.Issuer
	hostsOf []*simHost
	queue   eventQueue
	events  int

	turns, lost, callsServed int
	tries                    [7]int       // turns that were admitted, by the number of the attempt
	sentAt                   []types.Mono // of the requests that were admitted, except those of looping programs
}

func (l *press) after(d time.Duration, run func()) {
	l.events++
	heap.Push(&l.queue, event{at: l.now.Add(d), order: l.events, run: run})
}

func (l press) simulate(seed uint64) *press {
	l.rand = rand.New(rand.NewPCG(seed, 1))
	l.issuer = limit.NewIssuer(0)
	l.issuer.HostCount = l.hosts
	l.issuer.SetLimit(l.limit, 0)
	l.issuer.MarkAllReported(0)
	for i := range l.hosts {
		l.hostsOf = append(l.hostsOf, &simHost{id: limit.Holder(fmt.Sprint("host ", i))})
	}
	for range l.atOnce {
		l.turn()
	}
	l.arrive(l.continued, l.turn)
	l.arrive(l.first, func() { l.request(limit.Low, 0, func(bool, time.Duration) {}) })
	l.arrive(l.calls, func() {
		l.request(limit.Ordinary, 0, func(ok bool, _ time.Duration) {
			if ok {
				l.callsServed++
			}
		})
	})
	l.arrive(l.loops, l.loop)
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
	return &l
}

func (l *press) arrive(rate float64, run func()) {
	if rate <= 0 {
		return
	}
	l.after(time.Duration(-math.Log(1-l.rand.Float64())/rate*float64(time.Second)), func() {
		if time.Duration(l.now) < l.duration {
			run()
			l.arrive(rate, run)
		}
	})
}

// loop sends a turn of a program whose budget is used up, which takes a part of the limit until its claim is refused. While
// the limit is scarce, it does not ask for one before.
func (l *press) loop() {
	host := l.rand.IntN(l.hosts)
	if h := l.hostsOf[host]; h.Scarce(l.now) {
		h.CountRequest(l.now)
		return
	}
	l.requestAt(host, limit.Ordinary, 0, func(ok bool, _ time.Duration, h *simHost) {
		if ok {
			l.after(l.claimTime, h.ReturnToken)
		}
	})
}

// turn sends a turn up to three times, with two attempts each.
func (l *press) turn() {
	l.turns++
	attempts, key := 0, limit.TurnKey(l.turns)
	var try func()
	try = func() {
		attempts++
		l.request(limit.Ordinary, key, func(ok bool, retryAfter time.Duration) {
			switch {
			case ok:
				l.tries[attempts]++
			case attempts == 6:
				l.lost++
			case attempts%2 == 1:
				l.after(min(retryAfter, time.Second), try)
			default:
				l.after(100*time.Millisecond+time.Duration(l.rand.Int64N(int64(300*time.Millisecond))), try)
			}
		})
	}
	try()
}

func (l *press) request(p limit.Precedence, key limit.TurnKey, done func(ok bool, retryAfter time.Duration)) {
	l.requestAt(l.rand.IntN(l.hosts), p, key, func(ok bool, d time.Duration, _ *simHost) {
		if ok {
			l.sentAt = append(l.sentAt, l.now)
		}
		done(ok, d)
	})
}

// simHost is a host of the account.
type simHost struct {
	limit.Queue
	id               limit.Holder
	renewing, needed bool
	waits            []simWait
}

// simWait is a request that waits at a host.
type simWait struct {
	w       *limit.Waiter
	renewed func() // called after each renewal
}

// requestAt asks a host for one request of the limit.
func (l *press) requestAt(host int, p limit.Precedence, key limit.TurnKey, done func(ok bool, retryAfter time.Duration, s *simHost)) {
	h, sentAt := l.hostsOf[host], l.now
	w := h.Join(p, key, l.now)
	if w.Admitted() {
		if h.NeedsRenewal(l.now) {
			l.renew(h)
		}
		done(true, 0, h)
		return
	}
	l.renew(h)
	ended, replied := false, false
	end := func(ok bool, retryAfter time.Duration) {
		ended = true
		h.waits = slices.DeleteFunc(h.waits, func(o simWait) bool { return o.w == w })
		if !ok {
			h.Refuse(w)
			l.renew(h)
		}
		done(ok, retryAfter, h)
	}
	check := func() {
		if w.Admitted() {
			end(true, 0)
			return
		}
		queueWait, wait := h.Wait(w, l.limit.Rate), h.MaxWait(w)
		if replied && (queueWait > wait || l.now.Sub(sentAt) >= wait) {
			end(false, max(50*time.Millisecond, min(queueWait, limit.AllotmentTime)))
		}
	}
	h.waits = append(h.waits, simWait{w, func() { replied = true; check() }})
	var poll func()
	poll = func() {
		if ended {
			return
		}
		h.Admit(l.now)
		if check(); !ended {
			l.renew(h)
			l.after(max(10*time.Millisecond, min(h.Wait(w, l.limit.Rate)/2, 60*time.Millisecond)), poll)
		}
	}
	l.after(10*time.Millisecond, poll)
}

// renew renews the share of a host, unless that is under way.
func (l *press) renew(h *simHost) {
	h.needed = true
	if h.renewing {
		return
	}
	h.renewing, h.needed = true, false
	demandedAt := l.now
	d := h.Demand(h.id, l.now)
	a := l.issuer.Renew(d, l.now)
	l.after(simRoundTrip, func() {
		h.Apply(a, d, demandedAt, l.now)
		for _, wait := range slices.Clone(h.waits) {
			wait.renewed()
		}
	})
	l.after(2*simRoundTrip, func() {
		h.renewing = false
		if h.needed {
			l.renew(h)
		}
	})
}

// mostInWindow returns the largest number of requests that were admitted within a window.
func (l *press) mostInWindow(window time.Duration) (most int) {
	first := 0
	for i, at := range l.sentAt {
		for at.Sub(l.sentAt[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestContinuingTurnsPrecedeFirstTurns guards against turns that continue others and reach no target in any of their tries,
// while first turns and calls are served: an account is pressed with many times its limit, which covers these turns. At
// least nine tenths of those that were refused must be admitted when they come again after their Retry-After, and no more requests than the limit allows.
func TestContinuingTurnsPrecedeFirstTurns(t *testing.T) {
	for _, hosts := range []int{7, 171} {
		for _, rate := range []float64{8, 40} {
			for name, p := range map[string]press{
				"first turns":      {first: 10},
				"looping programs": {loops: 10, claimTime: 500 * time.Millisecond},
				"calls":            {calls: 2},
				"all":              {first: 10, loops: 10, calls: 1, claimTime: 200 * time.Millisecond},
			} {
				t.Run(fmt.Sprint(hosts, " hosts, ", rate, " per second, ", name), func(t *testing.T) {
					p.limit, p.hosts, p.duration = limit.Limit{Rate: types.PerSecond(rate), Burst: int(rate)}, hosts, 12*time.Second
					p.continued, p.first, p.loops, p.calls, p.atOnce = 0.5*rate, p.first*rate, p.loops*rate, p.calls*rate, int(rate)
					var sum press
					for seed := range uint64(2) {
						r := p.simulate(seed)
						sum.turns, sum.lost, sum.callsServed = sum.turns+r.turns, sum.lost+r.lost, sum.callsServed+r.callsServed
						if n, allowed := r.mostInWindow(time.Second), 2*int(rate); n > allowed {
							t.Errorf("%d requests were admitted within a second, at most %d may be", n, allowed)
						}
						for i, n := range r.tries {
							sum.tries[i] += n
						}
					}
					t.Logf("of %d turns, %d reached no target, others by their attempt: %v", sum.turns, sum.lost, sum.tries[1:])
					if sum.lost > 0 {
						t.Errorf("%d of %d turns reached no target in six attempts", sum.lost, sum.turns)
					}
					if refused := sum.turns - sum.tries[1]; sum.tries[2] < refused*9/10-1 {
						t.Errorf("%d of %d refused turns were admitted at once when they came again", sum.tries[2], refused)
					}
					if p.calls > 0 && sum.callsServed == 0 {
						t.Error("no call was served")
					}
				})
			}
		}
	}
}
