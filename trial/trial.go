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

// Policy selects a target for a request and returns its index in options. r is
// the random source of the calling host.
type Policy func(options []route.Option, w route.Work, r *rand.Rand) int

// Workload describes the programs that arrive.
type Workload struct {
	// ProgramRate is the mean number of programs that start per second. From
	// BurstFrom to BurstTo it is multiplied by BurstFactor.
	ProgramRate        float64
	BurstFactor        float64
	BurstFrom, BurstTo time.Duration
	// Prefixes is the number of shared prompt prefixes, of PrefixTokens tokens
	// each. Their popularity follows Zipf's law: the n-th is used in proportion to
	// 1/n.
	Prefixes     int
	PrefixTokens types.Tokens
	// MeanTurns is the mean number of turns of a program. Each turn adds NewTokens
	// tokens to the prompt and generates AnswerTokens tokens; Pause is the time
	// between two turns.
	MeanTurns               float64
	NewTokens, AnswerTokens types.Tokens
	Pause                   time.Duration
	// A program's deadline is DeadlineFactor times its duration on idle engines
	// that have all but the new tokens of each prompt cached, plus DeadlineSlack.
	DeadlineFactor float64
	DeadlineSlack  time.Duration
}

// Trial is the configuration of one simulation. Set the fields, then call
// [Trial.Run].
type Trial struct {
	Engine  Engine
	Engines int
	// SlowEngines is the number of engines whose steps take SlowFactor times as
	// long.
	SlowEngines int
	SlowFactor  float64
	// Hosts is the number of entry hosts. Hosts and engines are spread over Zones
	// zones; hosts exchange their views every ExchangeInterval.
	Hosts, Zones     int
	ExchangeInterval time.Duration
	Workload         Workload
	// ReportsAtHead is set if hosts receive load reports with the first token of an answer,
	// not with the last.
	ReportsAtHead bool
	// Uneven describes how the speeds of engines and the rates of zones differ.
	Uneven Uneven
	// Hints are what hosts learn about engines besides the exchanges.
	Hints  Hints
	Policy Policy
	Seed   uint64
	// ArrivalPeriod is how long programs arrive. The simulation runs until all of
	// them have ended.
	ArrivalPeriod time.Duration
}

// Result holds the metrics of one simulation. The tags keep the field names of
// stored results.
type Result struct {
	Programs int
	// OnTime is the fraction of programs that met their deadline.
	OnTime float64 `json:"InAim"`
	// TurnTime is the mean duration of a turn, and FirstTokenTime the mean time to
	// its first token.
	TurnTime       time.Duration `json:"Turn"`
	FirstTokenTime time.Duration `json:"First"`
	// Prefilled is the number of prompt tokens that were prefilled, and
	// PrefilledShared how many of them belong to shared prefixes.
	Prefilled       types.Tokens `json:"Read"`
	PrefilledShared types.Tokens `json:"Reread"`
	// LoadSkew is the 90th percentile of the number of requests on an engine,
	// divided by the mean.
	LoadSkew float64 `json:"Crowd"`
	// SameZone is the fraction of turns that ran in the zone of their host.
	SameZone float64 `json:"Same"`
}

// String formats the result as a row of a Markdown table whose header is
// [Columns].
func (r Result) String() string {
	return fmt.Sprintf("| %d | %.1f%% | %d ms | %d ms | %.1f M | %.1f M | %.1f | %.0f%% |", r.Programs, 100*r.OnTime,
		r.TurnTime.Milliseconds(), r.FirstTokenTime.Milliseconds(), float64(r.Prefilled)/1e6, float64(r.PrefilledShared)/1e6, r.LoadSkew, 100*r.SameZone)
}

// Mean returns the mean of each metric over results.
func Mean(results []Result) Result {
	var m Result
	n := max(1, len(results))
	for _, r := range results {
		m.Programs += r.Programs
		m.OnTime += r.OnTime / float64(n)
		m.TurnTime += r.TurnTime
		m.FirstTokenTime += r.FirstTokenTime
		m.Prefilled += r.Prefilled
		m.PrefilledShared += r.PrefilledShared
		m.LoadSkew += r.LoadSkew / float64(n)
		m.SameZone += r.SameZone / float64(n)
	}
	m.Programs /= n
	m.TurnTime /= time.Duration(n)
	m.FirstTokenTime /= time.Duration(n)
	m.Prefilled /= types.Tokens(n)
	m.PrefilledShared /= types.Tokens(n)
	return m
}

// Columns is the table header for [Result.String].
const Columns = "| programs | on time | turn time | first token | prefilled | of shared prefixes | load skew | same zone |"

// program is a simulated program. All its turns come from one entry host.
type program struct {
	id           int
	prefix       int          // shared prefix of its prompts
	prefixTokens types.Tokens // size of that prefix
	suffixTokens types.Tokens // prompts and answers so far, without the prefix
	turnsLeft    int
	host         *host
	startedAt    time.Duration
	idealTime    time.Duration // duration on idle engines, with only NewTokens to prefill per turn
}

// simulation is the state of a running [Trial].
type simulation struct {
	*Trial
	rand          *rand.Rand
	arrivals      *rand.Rand // draws programs, so that these are equal for all policies
	now           time.Duration
	events        eventQueue
	engines       []*engine
	hosts         []*host
	prefixWeights []float64               // cumulative
	inFlight      []int                   // requests of all hosts, by engine
	lastSlowness  []speedView             // last report of each engine to any host
	prefixUsedAt  []map[int]time.Duration // last use of each shared prefix, by engine

	programs, onTime, turns, sameZone int
	turnTime, firstTokenTime          time.Duration
	loads                             []int
}

// Run simulates the trial until all programs have ended.
func (t *Trial) Run() Result {
	s := &simulation{Trial: t, rand: rand.New(rand.NewPCG(t.Seed, 1)), arrivals: rand.New(rand.NewPCG(t.Seed, 0))}
	for i := range t.Engines {
		e := &engine{cfg: &t.Engine, id: types.TargetID(fmt.Sprint("e", i)), zone: i % t.Zones, slowdown: 1, cache: newCache(t.Engine.CacheTokens)}
		if i < t.SlowEngines {
			e.slowdown = t.SlowFactor
		}
		e.slowdown /= t.Uneven.speed(i / t.Zones) // Each zone has engines of all speeds.
		e.noise = 1
		s.engines = append(s.engines, e)
		s.inFlight = append(s.inFlight, 0)
		s.lastSlowness = append(s.lastSlowness, speedView{})
		s.prefixUsedAt = append(s.prefixUsedAt, map[int]time.Duration{})
	}
	for i := range t.Hosts {
		s.hosts = append(s.hosts, newHost(i, s))
		s.schedule(time.Duration(float64(i)/float64(t.Hosts)*float64(t.ExchangeInterval)), s.hosts[i].exchange)
	}
	sum := 0.0
	for i := range t.Workload.Prefixes {
		sum += 1 / float64(i+1)
		s.prefixWeights = append(s.prefixWeights, sum)
	}
	s.schedule(0, s.startProgram)
	s.schedule(0, s.sampleLoads)
	s.startNoise()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.result()
}

// schedule adds an event that calls do at time when.
func (s *simulation) schedule(when time.Duration, do func()) {
	heap.Push(&s.events, event{at: when, tieBreak: s.rand.Uint64(), do: do})
}

// startProgram starts a program and schedules the next arrival, with
// exponentially distributed intervals.
func (s *simulation) startProgram() {
	if s.now >= s.ArrivalPeriod {
		return
	}
	rate := s.Workload.ProgramRate
	if s.now >= s.Workload.BurstFrom && s.now < s.Workload.BurstTo {
		rate *= s.Workload.BurstFactor
	}
	s.schedule(s.now+time.Duration(s.arrivals.ExpFloat64()/rate*float64(time.Second)), s.startProgram)
	s.programs++
	turns := 1 + int(s.arrivals.ExpFloat64()*(s.Workload.MeanTurns-1)+0.5)
	pr := &program{id: s.programs, prefix: s.drawPrefix(), prefixTokens: s.Workload.PrefixTokens, turnsLeft: turns, host: s.drawHost(), startedAt: s.now}
	decode := time.Duration(s.Workload.AnswerTokens) * s.Engine.StepTime
	prefill := time.Duration(float64(s.Workload.NewTokens) / s.Engine.PrefillRate * float64(time.Millisecond))
	pr.idealTime = time.Duration(turns)*(decode+prefill) + time.Duration(turns-1)*s.Workload.Pause
	s.sendTurn(pr)
}

// drawPrefix draws a shared prefix; lower numbers are more popular.
func (s *simulation) drawPrefix() int {
	x := s.arrivals.Float64() * s.prefixWeights[len(s.prefixWeights)-1]
	for i, w := range s.prefixWeights {
		if x < w {
			return i + 1
		}
	}
	return len(s.prefixWeights)
}

// sendTurn sends the next turn of a program.
func (s *simulation) sendTurn(pr *program) {
	pr.suffixTokens += s.Workload.NewTokens
	t := &turn{program: pr, host: pr.host, suffixTokens: pr.suffixTokens, answerTokens: s.Workload.AnswerTokens, sentAt: s.now}
	e := pr.host.dispatch(t)
	if e.zone == pr.host.zone {
		s.sameZone++
	}
	e.waiting = append(e.waiting, t)
	if !e.stepping {
		s.runEngine(e)
	}
}

// runEngine runs steps of an engine until it is idle.
func (s *simulation) runEngine(e *engine) {
	took, finished := e.step(s.now)
	e.stepping = took > 0
	if !e.stepping {
		return
	}
	s.schedule(s.now+took, func() {
		s.reportHeads(e, finished)
		for _, t := range finished {
			s.turnEnded(t, e)
		}
		s.runEngine(e)
	})
}

// turnEnded records the end of a turn, and schedules the next turn of its
// program or checks the deadline after the last one.
func (s *simulation) turnEnded(t *turn, e *engine) {
	t.host.turnEnded(t, e)
	s.turns++
	s.turnTime += s.now - t.sentAt
	s.firstTokenTime += t.firstTokenAt - t.sentAt
	pr := t.program
	if s.Workload.NewTokens > 0 { // Calls do not continue each other.
		pr.suffixTokens += t.answerTokens
	}
	pr.turnsLeft--
	if pr.turnsLeft > 0 {
		s.schedule(s.now+s.Workload.Pause, func() { s.sendTurn(pr) })
		return
	}
	if float64(s.now-pr.startedAt) <= s.Workload.DeadlineFactor*float64(pr.idealTime)+float64(s.Workload.DeadlineSlack) {
		s.onTime++
	}
}

// sampleLoads records the load of each engine every 100 ms.
func (s *simulation) sampleLoads() {
	for _, e := range s.engines {
		s.loads = append(s.loads, e.load())
	}
	if s.now < s.ArrivalPeriod {
		s.schedule(s.now+100*time.Millisecond, s.sampleLoads)
	}
}

func (s *simulation) result() Result {
	r := Result{Programs: s.programs, OnTime: float64(s.onTime) / float64(max(1, s.programs)), LoadSkew: loadSkew(s.loads)}
	n := time.Duration(max(1, s.turns))
	r.TurnTime, r.FirstTokenTime, r.SameZone = s.turnTime/n, s.firstTokenTime/n, float64(s.sameZone)/float64(n)
	for _, e := range s.engines {
		r.Prefilled += e.prefilled
		r.PrefilledShared += e.prefilledShared
	}
	return r
}

// loadSkew returns the 90th percentile of loads divided by their mean.
func loadSkew(loads []int) float64 {
	counts := map[int]int{}
	sum, maxLoad := 0, 0
	for _, n := range loads {
		counts[n]++
		sum += n
		maxLoad = max(maxLoad, n)
	}
	cumulative := 0
	for n := 0; n <= maxLoad; n++ {
		if cumulative += counts[n]; float64(cumulative) >= 0.9*float64(len(loads)) {
			return float64(n) * float64(len(loads)) / math.Max(1, float64(sum))
		}
	}
	return 0
}

// event is a scheduled callback. Events at the same time run in a random order
// that depends on the seed.
type event struct {
	at       time.Duration
	tieBreak uint64
	do       func()
}

// eventQueue is a min-heap by time that implements [heap.Interface].
type eventQueue []event

// Len returns the number of pending events.
func (e eventQueue) Len() int { return len(e) }

// Less orders events by time, then by tieBreak.
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].tieBreak < e[j].tieBreak
}

// Swap swaps two events.
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; use [heap.Push].
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event; use [heap.Pop].
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
