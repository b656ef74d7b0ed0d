package route_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/sched"
	"github.com/banyanspur/banyanspur/types"
)

// experiment is set by hand to compare the policies; see docs/REPORT.md.
var experiment = flag.Bool("experiment", false, "compare the routing policies on both workloads")

var seeds = flag.Uint64("seeds", 3, "seeds of the experiment")

// workload is a pattern of programs and the engines before which it runs.
type workload struct {
	title    string
	engines  int
	entries  int
	oneWay   time.Duration // between availability zones
	turns    [2]int        // fewest and most turns of a program
	think    time.Duration // average pause of people and tools
	system   int           // tokens of the first prompt
	turn     [2]int        // tokens that a turn adds
	answer   [2]int
	cache    int     // tokens that an engine caches
	slots    int     // calls that an engine batches; 0 stands for its default
	programs float64 // programs that arrive a second at full load
}

var (
	kalahari = workload{
		title: "Kalahari", engines: 18, entries: 8, oneWay: 500 * time.Microsecond, turns: [2]int{8, 40}, think: 5 * time.Second,
		system: 1500, turn: [2]int{100, 600}, answer: [2]int{60, 240}, cache: 200_000, programs: 2.6,
	}
	ganesh = workload{
		title: "Ganesh", engines: 9, entries: 8, oneWay: 1500 * time.Microsecond, turns: [2]int{2, 20}, think: 2 * time.Second,
		system: 800, turn: [2]int{40, 300}, answer: [2]int{40, 160}, cache: 100_000, programs: 4.8,
	}
)

// variant is a policy. Entry hosts offer it the targets in random order, or
// always in the same one.
type variant struct {
	name    string
	choose  route.Policy
	inOrder bool
	// keepAll leaves what earlier targets hold to their eviction.
	keepAll bool
	// fair gives waiting calls the priority of their client account.
	fair bool
}

// variants are the policy in use and its baselines.
var variants = []variant{
	{name: "expected", choose: route.Expected(route.DefaultCosts)},
	{name: "expected, keep all", choose: route.Expected(route.DefaultCosts), keepAll: true},
	{name: "displaced 0", choose: route.Expected(displaced(0))},
	{name: "displaced 1", choose: route.Expected(displaced(1))},
	{name: "roundRobin", choose: route.RoundRobin, inOrder: true, keepAll: true},
	{name: "leastLoaded", choose: route.LeastLoaded, keepAll: true},
	{name: "sticky", choose: route.Sticky, keepAll: true},
}

func displaced(n float64) route.Costs {
	k := route.DefaultCosts
	k.Displaced = n
	return k
}

const (
	experimentSpan = 4 * time.Minute
	experimentLag  = 200 * time.Millisecond
	prefillRate    = 8000
	tokenTime      = 15 * time.Millisecond
)

// outcome is what one run came to.
type outcome struct {
	latency             *hdrhistogram.Histogram // of whole programs without their pauses, in milliseconds
	computed, recompute int
	unfinished          int
	// slowdown is the latency of programs in hundredths of that of their
	// decoding alone, by client account.
	slowdown [accounts]*hdrhistogram.Histogram
}

// accounts is the number of client accounts.
const accounts = 8

// experimentRun is one run.
type experimentRun struct {
	workload
	variant
	engines []*fakes.Engine
	tables  []*route.Table
	shares  []*sched.Fair[int]
	clock   types.Clock
	mu      sync.Mutex // guards the fields below
	out     outcome
	sent    uint64
}

// TestPolicies compares the policies with the same arrivals, on virtual time.
func TestPolicies(t *testing.T) {
	if !*experiment {
		t.Skip("run by hand with -experiment")
	}
	for _, w := range []workload{kalahari, ganesh} {
		for _, load := range []float64{0.3, 0.8, 1.2} {
			for _, p := range variants {
				for seed := range *seeds {
					t.Logf("| %s | %.0f%% | %s | %d | %s |", w.title, 100*load, p.name, seed, run(t, w, load, p, seed))
				}
			}
		}
	}
}

// TestOrder compares the order of waiting calls while one client account has
// five times the programs of each other.
func TestOrder(t *testing.T) {
	if !*experiment {
		t.Skip("run by hand with -experiment")
	}
	for _, w := range []workload{kalahari, ganesh} {
		w.slots = 8
		for _, load := range []float64{0.8, 1.2} {
			for _, fair := range []bool{true, false} {
				for seed := range *seeds {
					c := variant{choose: route.Expected(route.DefaultCosts), fair: fair}
					o := runFor(t, w, load, c, seed, experimentSpan)
					t.Logf("| %s | %.0f%% | fair %v | %d | %s | %d |", w.title, 100*load, fair, seed, o.shares(), o.latency.ValueAtQuantile(95))
				}
			}
		}
	}
}

// shares returns the p95 slowdown of the large client account, and of the
// others the worst and the median.
func (o outcome) shares() string {
	var others []int64
	for _, h := range o.slowdown[1:] {
		others = append(others, h.ValueAtQuantile(95))
	}
	slices.Sort(others)
	return fmt.Sprintf("%d | %d | %d", o.slowdown[0].ValueAtQuantile(95), others[len(others)-1], others[len(others)/2])
}

// TestRoutingSmall runs a short experiment: the policy in use wastes less
// cache than the baselines that do not know it.
func TestRoutingSmall(t *testing.T) {
	w := kalahari
	w.engines, w.programs = 4, 0.5
	wasted := map[string]int{}
	for _, p := range variants {
		wasted[p.name] = runFor(t, w, 0.8, p, 1, time.Minute).recompute
	}
	if 2*wasted["expected"] > wasted["roundRobin"] || 2*wasted["expected"] > wasted["leastLoaded"] {
		t.Errorf("wasted tokens: %v", wasted)
	}
}

func run(t *testing.T, w workload, load float64, p variant, seed uint64) string {
	o := runFor(t, w, load, p, seed, experimentSpan)
	return fmt.Sprintf("%d | %d | %d | %.1f%% | %d", o.latency.ValueAtQuantile(50), o.latency.ValueAtQuantile(95),
		o.latency.ValueAtQuantile(99), 100*float64(o.recompute)/float64(o.computed), o.unfinished)
}

func runFor(t *testing.T, w workload, load float64, p variant, seed uint64, span time.Duration) (o outcome) {
	synctest.Test(t, func(*testing.T) {
		a := &experimentRun{workload: w, variant: p, clock: types.NewClock()}
		a.out.latency = hdrhistogram.New(1, 3_600_000, 3)
		for i := range w.engines {
			a.engines = append(a.engines, &fakes.Engine{
				Slots: w.slots, PrefillRate: prefillRate, TokenTime: tokenTime, BatchSlowdown: 0.04, CacheTokens: w.cache, LoadLag: experimentLag, Seed: uint64(i),
			})
		}
		for range w.entries {
			a.tables = append(a.tables, &route.Table{})
			a.shares = append(a.shares, &sched.Fair[int]{})
		}
		for i := range a.out.slowdown {
			a.out.slowdown[i] = hdrhistogram.New(1, 1_000_000, 3)
		}
		a.arrive(rand.New(rand.NewPCG(seed, 1)), load, span)
		for _, e := range a.engines {
			computed, recomputed := e.Waste()
			a.out.computed += computed
			a.out.recompute += recomputed
		}
		o = a.out
	})
	return o
}

// arrive starts programs until the span is over, and waits for all.
func (a *experimentRun) arrive(r *rand.Rand, load float64, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*span)
	defer cancel()
	var wg sync.WaitGroup
	for n := 0; a.clock() < types.Mono(span); n++ {
		seed := r.Uint64()
		wg.Go(func() { a.program(ctx, n, rand.New(rand.NewPCG(seed, 2))) })
		time.Sleep(time.Duration(r.ExpFloat64() / (a.programs * load) * float64(time.Second)))
	}
	wg.Wait()
}

func between(r *rand.Rand, span [2]int) int { return span[0] + r.IntN(span[1]-span[0]+1) }

// program runs one program, whose calls go through a random entry host each.
func (a *experimentRun) program(ctx context.Context, n int, r *rand.Rand) {
	id := types.ProgramID(fmt.Sprint("program-", n))
	account := a.accountOf(r)
	prompt := a.system
	holders := map[types.TargetID]int{}
	var busy, ideal time.Duration
	for range between(r, a.turns) {
		prompt += between(r, a.turn)
		answer := between(r, a.answer)
		entry := r.IntN(a.entries)
		start := a.clock()
		job := fakes.Job{Hold: string(id), Prompt: prompt, Tokens: answer}
		if a.fair {
			job.Priority = a.shares[entry].Priority(account, start)
		}
		target, ok := a.call(ctx, r, entry, id, holders, job)
		if !ok {
			a.mu.Lock()
			a.out.unfinished++
			a.mu.Unlock()
			return
		}
		busy += a.clock().Sub(start)
		ideal += time.Duration(answer) * tokenTime
		a.shares[entry].Note(account, types.Tokens(answer), a.clock())
		prompt += answer
		a.letGo(id, target, holders)
		holders[target] = prompt
		time.Sleep(time.Duration(r.ExpFloat64() * float64(a.think)))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.out.latency.RecordValue(busy.Milliseconds())
	_ = a.out.slowdown[account].RecordValue(int64(100 * busy / ideal))
}

// accountOf draws the program's client account: account 0 has five times the
// programs of each other.
func (a *experimentRun) accountOf(r *rand.Rand) int {
	return max(0, r.IntN(accounts+4)-4)
}

// letGo gives back what targets other than the newest hold for a program.
func (a *experimentRun) letGo(id types.ProgramID, newest types.TargetID, holders map[types.TargetID]int) {
	if a.keepAll {
		return
	}
	for i, e := range a.engines {
		if t := target(i); t != newest && holders[t] > 0 {
			e.Release(string(id))
			delete(holders, t)
		}
	}
}

// call routes one call as an entry host does and runs it.
func (a *experimentRun) call(ctx context.Context, r *rand.Rand, entry int, id types.ProgramID, holders map[types.TargetID]int, j fakes.Job) (types.TargetID, bool) {
	table, now := a.tables[entry], a.clock()
	var list []route.Candidate
	for i := range a.engines {
		c, _ := table.Candidate(target(i), now)
		c.SameZone = i%3 == entry%3
		c.Cached = types.Tokens(holders[target(i)])
		list = append(list, c)
	}
	if !a.inOrder {
		r.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	a.mu.Lock()
	a.sent++
	turn := a.sent
	a.mu.Unlock()
	chosen := list[a.choose(route.Request{Program: id, Prompt: types.Tokens(j.Prompt), Turn: turn}, list)]
	var engine *fakes.Engine
	for i := range a.engines {
		if target(i) == chosen.Target {
			engine = a.engines[i]
		}
	}
	table.Start(chosen.Target)
	if !chosen.SameZone {
		time.Sleep(2 * a.oneWay)
	}
	ok := engine.Generate(ctx, j)
	h := http.Header{}
	engine.ReportLoad(h)
	table.Report(chosen.Target, h, a.clock())
	table.Finish(chosen.Target, a.clock().Sub(now), false, a.clock())
	return chosen.Target, ok
}

func target(i int) types.TargetID {
	return types.TargetID("engine-" + strings.Repeat("0", 2-len(fmt.Sprint(i))) + fmt.Sprint(i))
}
