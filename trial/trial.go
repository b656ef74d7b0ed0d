package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// Chooser picks one of the options for a request; r is the host's own source of
// randomness.
type Chooser func(options []route.Option, w route.Work, r *rand.Rand) int

// Load is what callers ask for.
type Load struct {
	// Programs is how many begin each second; from BurstFrom to BurstTo it is
	// Burst times as many.
	Programs           float64
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// Parts is how many shared parts there are, of Shared tokens each; the n-th
	// is asked for in proportion to 1/n.
	Parts  int
	Shared types.Tokens
	// Turns is how many turns a program has on average; each brings New tokens and
	// has Answer tokens generated, and Pause lies between two of them.
	Turns       float64
	New, Answer types.Tokens
	Pause       time.Duration
	// Aim is how many times its time on idle engines a program may take, and
	// Slack what it may take besides.
	Aim   float64
	Slack time.Duration
}

// Trial is one play. Set the fields, then call [Trial.Run].
type Trial struct {
	Engine  Engine
	Engines int
	// Slow is how many engines take SlowPace times as long.
	Slow     int
	SlowPace float64
	// Hosts are entry hosts, spread over Zones as the engines are. They exchange
	// what they see every Exchange.
	Hosts, Zones int
	Exchange     time.Duration
	Load         Load
	Choose       Chooser
	Seed         uint64
	Span         time.Duration
}

// Result is what a play came to.
type Result struct {
	Programs int
	// InAim is the share of programs that ended in their time.
	InAim float64
	// Turn is the mean time of a turn and First that of its first token.
	Turn, First time.Duration
	// Read is how many prompt tokens were read, and Reread how many of them belong
	// to shared parts.
	Read, Reread types.Tokens
	// Crowd is the ninth decile of the requests on an engine against their mean.
	Crowd float64
	// Same is the share of turns that ran in their host's zone.
	Same float64
}

// String gives the figures in one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("| %d | %.1f%% | %d ms | %d ms | %.1f M | %.1f M | %.1f | %.0f%% |", r.Programs, 100*r.InAim,
		r.Turn.Milliseconds(), r.First.Milliseconds(), float64(r.Read)/1e6, float64(r.Reread)/1e6, r.Crowd, 100*r.Same)
}

// Mean returns the mean of several results.
func Mean(results []Result) Result {
	var m Result
	n := max(1, len(results))
	for _, r := range results {
		m.Programs += r.Programs
		m.InAim += r.InAim / float64(n)
		m.Turn += r.Turn
		m.First += r.First
		m.Read += r.Read
		m.Reread += r.Reread
		m.Crowd += r.Crowd / float64(n)
		m.Same += r.Same / float64(n)
	}
	m.Programs /= n
	m.Turn /= time.Duration(n)
	m.First /= time.Duration(n)
	m.Read /= types.Tokens(n)
	m.Reread /= types.Tokens(n)
	return m
}

// Columns heads a table of results.
const Columns = "| programs | in aim | turn | first token | read | of shared parts | crowding | same zone |"

type program struct {
	id     int
	part   int          // the shared part that its prompts begin with
	shared types.Tokens // the size of that part
	own    types.Tokens // the size of what it has said and got so far
	left   int          // turns to come
	host   *host
	began  time.Duration
	ideal  time.Duration
}

// play is the state of a trial.
type play struct {
	*Trial
	rand    *rand.Rand
	now     time.Duration
	events  events
	engines []*engine
	hosts   []*host
	weights []float64
	sent    []int                   // by engine, the requests of all hosts there
	held    []map[int]time.Duration // by engine, the shared parts that hosts know of

	programs, inAim, turns, same int
	turnTime, firstTime          time.Duration
	loads                        []int
}

// Run plays the trial.
func (t *Trial) Run() Result {
	p := &play{Trial: t, rand: rand.New(rand.NewPCG(t.Seed, 1))}
	for i := range t.Engines {
		e := &engine{kind: &t.Engine, id: types.TargetID(fmt.Sprint("e", i)), zone: i % t.Zones, pace: 1, cache: newCache(t.Engine.Memory)}
		if i < t.Slow {
			e.pace = t.SlowPace
		}
		p.engines = append(p.engines, e)
		p.sent = append(p.sent, 0)
		p.held = append(p.held, map[int]time.Duration{})
	}
	for i := range t.Hosts {
		p.hosts = append(p.hosts, newHost(i, p))
		p.at(time.Duration(float64(i)/float64(t.Hosts)*float64(t.Exchange)), p.hosts[i].exchange)
	}
	sum := 0.0
	for i := range t.Load.Parts {
		sum += 1 / float64(i+1)
		p.weights = append(p.weights, sum)
	}
	p.at(0, p.arrive)
	p.at(0, p.sample)
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	return p.result()
}

func (p *play) at(when time.Duration, do func()) {
	heap.Push(&p.events, event{at: when, order: p.rand.Uint64(), do: do})
}

// arrive begins a program and sets the time of the next one.
func (p *play) arrive() {
	if p.now >= p.Span {
		return
	}
	rate := p.Load.Programs
	if p.now >= p.Load.BurstFrom && p.now < p.Load.BurstTo {
		rate *= p.Load.Burst
	}
	p.at(p.now+time.Duration(p.rand.ExpFloat64()/rate*float64(time.Second)), p.arrive)
	p.programs++
	turns := 1 + int(p.rand.ExpFloat64()*(p.Load.Turns-1)+0.5)
	pr := &program{id: p.programs, part: p.pickPart(), shared: p.Load.Shared, left: turns, host: p.hosts[p.rand.IntN(len(p.hosts))], began: p.now}
	answer := time.Duration(p.Load.Answer) * p.Engine.Step
	reading := time.Duration(float64(p.Load.New) / p.Engine.ReadRate * float64(time.Millisecond))
	pr.ideal = time.Duration(turns)*(answer+reading) + time.Duration(turns-1)*p.Load.Pause
	p.next(pr)
}

// pickPart draws a shared part; the first ones are asked for most.
func (p *play) pickPart() int {
	x := p.rand.Float64() * p.weights[len(p.weights)-1]
	for i, w := range p.weights {
		if x < w {
			return i + 1
		}
	}
	return len(p.weights)
}

// next sends a program's next turn.
func (p *play) next(pr *program) {
	pr.own += p.Load.New
	t := &turn{program: pr, host: pr.host, own: pr.own, answer: p.Load.Answer, sent: p.now}
	e := pr.host.send(t)
	if e.zone == pr.host.zone {
		p.same++
	}
	e.waiting = append(e.waiting, t)
	if !e.busy {
		p.step(e)
	}
}

// step runs an engine for one token and goes on as long as it has work.
func (p *play) step(e *engine) {
	took, ended := e.step(p.now)
	e.busy = took > 0
	if !e.busy {
		return
	}
	p.at(p.now+took, func() {
		for _, t := range ended {
			p.ended(t, e)
		}
		p.step(e)
	})
}

// ended settles a turn.
func (p *play) ended(t *turn, e *engine) {
	t.host.got(t, e)
	p.turns++
	p.turnTime += p.now - t.sent
	p.firstTime += t.first - t.sent
	pr := t.program
	pr.own += t.answer
	pr.left--
	if pr.left > 0 {
		p.at(p.now+p.Load.Pause, func() { p.next(pr) })
		return
	}
	if float64(p.now-pr.began) <= p.Load.Aim*float64(pr.ideal)+float64(p.Load.Slack) {
		p.inAim++
	}
}

// sample notes how many requests each engine has.
func (p *play) sample() {
	for _, e := range p.engines {
		p.loads = append(p.loads, e.load())
	}
	if p.now < p.Span {
		p.at(p.now+100*time.Millisecond, p.sample)
	}
}

func (p *play) result() Result {
	r := Result{Programs: p.programs, InAim: float64(p.inAim) / float64(max(1, p.programs)), Crowd: crowd(p.loads)}
	n := time.Duration(max(1, p.turns))
	r.Turn, r.First, r.Same = p.turnTime/n, p.firstTime/n, float64(p.same)/float64(n)
	for _, e := range p.engines {
		r.Read += e.read
		r.Reread += e.reread
	}
	return r
}

// crowd returns the ninth decile of loads against their mean.
func crowd(loads []int) float64 {
	counts := map[int]int{}
	sum, most := 0, 0
	for _, n := range loads {
		counts[n]++
		sum += n
		most = max(most, n)
	}
	seen := 0
	for n := 0; n <= most; n++ {
		if seen += counts[n]; float64(seen) >= 0.9*float64(len(loads)) {
			return float64(n) * float64(len(loads)) / math.Max(1, float64(sum))
		}
	}
	return 0
}

// event is something that happens at a time. Those of one time come in a random
// order that the seed decides.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// events is a heap with the earliest event in front, for container/heap.
type events []event

// Len returns how many events are due.
func (e events) Len() int { return len(e) }

// Less orders events by time, and those of one time by their drawn order.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
