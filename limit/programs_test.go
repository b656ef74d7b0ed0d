package limit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// admission is how hosts treat the requests of programs that do not fit into their
// account's limit.
type admission struct {
	// startsAreLow gives the first request of a program low precedence.
	startsAreLow bool
	// maxWait is how long a request may wait before it is refused.
	maxWait func(s *limit.Share, p limit.Precedence) time.Duration
}

// formerAdmission treats all requests alike.
var formerAdmission = admission{maxWait: func(*limit.Share, limit.Precedence) time.Duration { return 400 * time.Millisecond }}

// presentAdmission is that of package gate.
var presentAdmission = admission{startsAreLow: true, maxWait: (*limit.Share).MaxWait}

// programLoad simulates the programs of one account on many hosts. Each program runs a
// chain of turns with parallel calls after each, on one host.
type programLoad struct {
	admission
	limit      limit.Limit
	hosts      int
	perSecond  float64 // programs, twice as many from burstFrom to burstTo
	burst      [2]time.Duration
	atOnce     int  // further programs that start at the beginning
	newIssuer  bool // the allotments of an earlier issuer are not known
	duration   time.Duration
	rand       *rand.Rand // of arrivals
	now        types.Mono
	issuer     *limit.Issuer
	shares     []*limit.Share
	queue      eventQueue
	events     int // ever queued
	started    int
	ended      int // programs that ended
	inTime     int
	failedLate int // programs that failed after their first turn
	refused    int // attempts
}

type event struct {
	at    types.Mono
	order int // among events at the same time
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (l *programLoad) after(d time.Duration, run func()) {
	l.events++
	heap.Push(&l.queue, event{at: l.now.Add(d), order: l.events, run: run})
}

// programRun is one program.
type programRun struct {
	*programLoad
	host      int
	turns     int
	rand      *rand.Rand
	startedAt types.Mono
	idle      time.Duration // its duration without waiting
	begun     bool
	failed    bool
}

const (
	simTurnTime  = 180 * time.Millisecond
	simCallTime  = 20 * time.Millisecond
	simPause     = 100 * time.Millisecond
	simRoundTrip = 4 * time.Millisecond
)

// simulate runs the load and returns it.
func (l programLoad) simulate(seed uint64) *programLoad {
	l.rand = rand.New(rand.NewPCG(seed, 1))
	l.issuer = limit.NewIssuer(0)
	l.issuer.HostCount = l.hosts
	l.issuer.SetLimit(l.limit, 0)
	if !l.newIssuer {
		l.issuer.MarkAllReported(0)
	}
	for range l.hosts {
		l.shares = append(l.shares, &limit.Share{})
	}
	for range l.atOnce {
		l.start()
	}
	l.after(0, l.arrive)
	for len(l.queue) > 0 {
		e := heap.Pop(&l.queue).(event)
		l.now = e.at
		e.run()
	}
	return &l
}

func (l *programLoad) arrive() {
	at := time.Duration(l.now)
	if at >= l.duration {
		return
	}
	l.start()
	rate := l.perSecond
	if at >= l.burst[0] && at < l.burst[1] {
		rate *= 2.2
	}
	l.after(time.Duration(-math.Log(1-l.rand.Float64())/rate*float64(time.Second)), l.arrive)
}

func (l *programLoad) start() {
	l.started++
	p := &programRun{programLoad: l, host: l.rand.IntN(l.hosts), turns: 3 + l.rand.IntN(6), startedAt: l.now, rand: rand.New(rand.NewPCG(l.rand.Uint64(), 2))}
	p.turn()
}

// turn sends the next turn, at most three times with two attempts each.
func (p *programRun) turn() {
	tries := 0
	var try func()
	try = func() {
		p.request(!p.begun, 2, func(ok bool) {
			tries++
			switch {
			case ok:
				p.begun = true
				p.idle += simTurnTime
				p.after(simTurnTime, p.calls)
			case tries < 3:
				p.after(250*time.Millisecond, try)
			default:
				p.fail()
			}
		})
	}
	try()
}

// calls sends the calls after a turn, and then the next turn.
func (p *programRun) calls() {
	p.turns--
	if p.turns == 0 {
		p.end()
		return
	}
	open := p.rand.IntN(4)
	p.idle += simPause
	if open == 0 {
		p.after(simPause, p.turn)
		return
	}
	p.idle += simCallTime
	for range open {
		p.request(false, 2, func(ok bool) {
			if !ok {
				p.fail()
				return
			}
			p.after(simCallTime, func() {
				if open--; open == 0 && !p.failed {
					p.after(simPause, p.turn)
				}
			})
		})
	}
}

func (p *programRun) fail() {
	if !p.failed && p.begun {
		p.failedLate++
	}
	p.failed = true
}

func (p *programRun) end() {
	p.ended++
	if float64(p.now.Sub(p.startedAt)) <= 1.5*float64(p.idle)+0.2e9 {
		p.inTime++
	}
}

// request asks for one request of the limit and calls done with whether it was admitted,
// after at most the given number of attempts of its caller.
func (p *programRun) request(start bool, attempts int, done func(bool)) {
	if p.failed {
		return
	}
	s, sentAt := p.shares[p.host], p.now
	low, precedence := start && p.startsAreLow, limit.Ordinary
	if low {
		precedence = limit.Low
	}
	s.CountRequest(p.now)
	take := func() bool {
		if low {
			return s.TakeLow(p.now)
		}
		return s.Take(p.now)
	}
	var try func()
	try = func() {
		if take() {
			done(true)
			return
		}
		demandedAt := p.now
		waiting, lowWaiting := 1, 0
		if low {
			waiting, lowWaiting = 0, 1
		}
		d := s.Demand(limit.Holder(fmt.Sprint("host ", p.host)), waiting, p.now)
		d.Low = lowWaiting
		a := p.issuer.Renew(d, p.now)
		p.after(simRoundTrip, func() {
			s.Apply(a, demandedAt, p.now)
			if take() {
				done(true)
				return
			}
			queueWait, wait := s.QueueWait(0, precedence, p.limit.Rate), p.maxWait(s, precedence)
			if queueWait <= wait && p.now.Sub(sentAt) < wait {
				p.after(max(10*time.Millisecond, min(queueWait/2, 60*time.Millisecond)), try)
				return
			}
			p.refused++
			if attempts == 1 {
				done(false)
				return
			}
			p.after(max(50*time.Millisecond, queueWait)+10*time.Millisecond, func() { p.request(start, attempts-1, done) })
		})
	}
	try()
}

// TestBegunProgramsPrecedeNewOnes guards against programs that are refused midway, after
// all that has been spent on them, while new ones are admitted: the programs of an account
// need more than twice its limit for 6 of 34 s. At most half as many as before may fail
// after their first turn, and no fewer may end in time.
func TestBegunProgramsPrecedeNewOnes(t *testing.T) {
	for _, hosts := range []int{171, 7} {
		for _, rate := range []float64{5, 8, 40} {
			t.Run(fmt.Sprint(hosts, " hosts, ", rate, " per second"), func(t *testing.T) {
				run := func(a admission) (sum programLoad) {
					for seed := range uint64(16) {
						l := programLoad{
							admission: a, hosts: hosts, limit: limit.Limit{Rate: types.PerSecond(rate), Burst: int(rate)}, perSecond: rate / 22,
							burst: [2]time.Duration{5 * time.Second, 11 * time.Second}, duration: 34 * time.Second,
						}
						r := l.simulate(seed)
						sum.started, sum.ended, sum.inTime, sum.failedLate = sum.started+r.started, sum.ended+r.ended, sum.inTime+r.inTime, sum.failedLate+r.failedLate
					}
					return sum
				}
				former, now := run(formerAdmission), run(presentAdmission)
				t.Logf("of %d programs, before: %d ended, %d in time, %d failed midway; now: %d, %d, %d", now.started,
					former.ended, former.inTime, former.failedLate, now.ended, now.inTime, now.failedLate)
				if now.failedLate > former.failedLate/2 {
					t.Errorf("%d programs failed midway, at most half of %d may", now.failedLate, former.failedLate)
				}
				if now.inTime < former.inTime {
					t.Errorf("%d programs ended in time, before it were %d", now.inTime, former.inTime)
				}
			})
		}
	}
}

// TestNewProgramsWaitForNewIssuer guards against new programs that are refused although
// their account's limit is far above its demand: all hosts have just started, so that no
// part of the limit has been earned yet, and the programs that callers could not start in
// the meantime come at once. The programs that have begun need no reserve then.
func TestNewProgramsWaitForNewIssuer(t *testing.T) {
	for _, hosts := range []int{171, 7} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			refused, started := 0, 0
			for seed := range uint64(16) {
				l := programLoad{
					admission: presentAdmission, hosts: hosts, limit: limit.Limit{Rate: 400, Burst: 400}, perSecond: 1,
					newIssuer: true, atOnce: 20, duration: 3 * time.Second,
				}
				r := l.simulate(seed)
				refused, started = refused+r.refused, started+r.started
			}
			if refused > 0 {
				t.Errorf("%d requests of %d programs were refused, want 0", refused, started)
			}
		})
	}
}
