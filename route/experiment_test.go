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

// experiment enables the comparison of the policies; see docs/REPORT.md.
var experiment = flag.Bool("experiment", false, "compare the routing policies on both workloads")

var seeds = flag.Uint64("seeds", 3, "number of seeds of the experiment")

// workload describes an arrival pattern of programs and the engines that serve
// it.
type workload struct {
	title        string
	engines      int
	entryHosts   int
	zoneDelay    time.Duration // one-way delay between availability zones
	turns        [2]int        // minimum and maximum number of turns of a program
	pause        time.Duration // average pause between turns, for people and tools
	systemTokens int           // tokens of the system prompt
	turnTokens   [2]int        // minimum and maximum tokens of a turn's input
	answerTokens [2]int
	cacheTokens  int     // capacity of an engine's prompt cache, in tokens
	slots        int     // calls that an engine batches; 0 is the engine's default
	arrivalRate  float64 // programs per second at full load
}

var (
	kalahari = workload{
		title: "Kalahari", engines: 18, entryHosts: 8, zoneDelay: 500 * time.Microsecond, turns: [2]int{8, 40}, pause: 5 * time.Second,
		systemTokens: 1500, turnTokens: [2]int{100, 600}, answerTokens: [2]int{60, 240}, cacheTokens: 200_000, arrivalRate: 2.6,
	}
	ganesh = workload{
		title: "Ganesh", engines: 9, entryHosts: 8, zoneDelay: 1500 * time.Microsecond, turns: [2]int{2, 20}, pause: 2 * time.Second,
		systemTokens: 800, turnTokens: [2]int{40, 300}, answerTokens: [2]int{40, 160}, cacheTokens: 100_000, arrivalRate: 4.8,
	}
)

// variant is a policy with its settings.
type variant struct {
	name   string
	choose route.Policy
	// fixedOrder passes the targets to the policy in a fixed order instead of a
	// random one.
	fixedOrder bool
	// keepEarlier leaves the program's cached prompts on earlier targets until
	// the targets need the space, instead of evicting them after each call.
	keepEarlier bool
	// fair orders waiting calls by the priority of their client account.
	fair bool
}

// variants are [route.LowestExpectedTime] with several settings, and the baselines.
var variants = []variant{
	{name: "expected", choose: route.LowestExpectedTime(route.DefaultCosts)},
	{name: "expected, keep all", choose: route.LowestExpectedTime(route.DefaultCosts), keepEarlier: true},
	{name: "evictionFactor 0", choose: route.LowestExpectedTime(withEvictionFactor(0))},
	{name: "evictionFactor 1", choose: route.LowestExpectedTime(withEvictionFactor(1))},
	{name: "roundRobin", choose: route.RoundRobin, fixedOrder: true, keepEarlier: true},
	{name: "leastLoaded", choose: route.LeastLoaded, keepEarlier: true},
	{name: "sticky", choose: route.Sticky, keepEarlier: true},
}

func withEvictionFactor(n float64) route.Costs {
	k := route.DefaultCosts
	k.EvictionFactor = n
	return k
}

const (
	experimentDuration = 4 * time.Minute
	loadReportLag      = 200 * time.Millisecond
	prefillRate        = 8000
	tokenTime          = 15 * time.Millisecond
)

// runResult holds the measurements of one run.
type runResult struct {
	latency              *hdrhistogram.Histogram // of whole programs excluding pauses, in milliseconds
	computed, recomputed int
	unfinished           int
	// slowdown is the latency of programs by client account, as a percentage
	// of their decoding time alone.
	slowdown [accounts]*hdrhistogram.Histogram
}

// accounts is the number of client accounts.
const accounts = 8

// experimentRun is the state of one run.
type experimentRun struct {
	workload
	variant
	engines    []*fakes.Engine
	stats      []*route.TargetStats
	fairShares []*sched.FairShare[int]
	clock      types.Clock
	mu         sync.Mutex // guards the fields below
	result     runResult
	calls      uint64
}

// TestPolicies compares the policies under the same arrivals, in virtual time.
func TestPolicies(t *testing.T) {
	if !*experiment {
		t.Skip("run by hand with -experiment")
	}
	for _, w := range []workload{kalahari, ganesh} {
		for _, load := range []float64{0.3, 0.8, 1.2} {
			for _, p := range variants {
				for seed := range *seeds {
					t.Logf("| %s | %.0f%% | %s | %d | %s |", w.title, 100*load, p.name, seed, runRow(t, w, load, p, seed))
				}
			}
		}
	}
}

// TestFairPriorities compares waiting calls with and without priorities while one
// client account has five times as many programs as each other account.
func TestFairPriorities(t *testing.T) {
	if !*experiment {
		t.Skip("run by hand with -experiment")
	}
	for _, w := range []workload{kalahari, ganesh} {
		w.slots = 8
		for _, load := range []float64{0.8, 1.2} {
			for _, fair := range []bool{true, false} {
				for seed := range *seeds {
					c := variant{choose: route.LowestExpectedTime(route.DefaultCosts), fair: fair}
					o := runWorkload(t, w, load, c, seed, experimentDuration)
					t.Logf("| %s | %.0f%% | fair %v | %d | %s | %d |", w.title, 100*load, fair, seed, o.slowdowns(), o.latency.ValueAtQuantile(95))
				}
			}
		}
	}
}

// slowdowns returns the p95 slowdown of the large client account, and the maximum
// and median p95 slowdown of the others.
func (o runResult) slowdowns() string {
	var others []int64
	for _, h := range o.slowdown[1:] {
		others = append(others, h.ValueAtQuantile(95))
	}
	slices.Sort(others)
	return fmt.Sprintf("%d | %d | %d", o.slowdown[0].ValueAtQuantile(95), others[len(others)-1], others[len(others)/2])
}

// TestExpectedRecomputesFewerTokens runs a short experiment:
// [route.LowestExpectedTime] must recompute at most half as many tokens as
// [route.RoundRobin] and [route.LeastLoaded], which ignore the cache.
func TestExpectedRecomputesFewerTokens(t *testing.T) {
	w := kalahari
	w.engines, w.arrivalRate = 4, 0.5
	recomputedTokens := map[string]int{}
	for _, p := range variants {
		recomputedTokens[p.name] = runWorkload(t, w, 0.8, p, 1, time.Minute).recomputed
	}
	if 2*recomputedTokens["expected"] > recomputedTokens["roundRobin"] || 2*recomputedTokens["expected"] > recomputedTokens["leastLoaded"] {
		t.Errorf("recomputed tokens: %v", recomputedTokens)
	}
}

func runRow(t *testing.T, w workload, load float64, p variant, seed uint64) string {
	o := runWorkload(t, w, load, p, seed, experimentDuration)
	return fmt.Sprintf("%d | %d | %d | %.1f%% | %d", o.latency.ValueAtQuantile(50), o.latency.ValueAtQuantile(95),
		o.latency.ValueAtQuantile(99), 100*float64(o.recomputed)/float64(o.computed), o.unfinished)
}

func runWorkload(t *testing.T, w workload, load float64, p variant, seed uint64, span time.Duration) (o runResult) {
	synctest.Test(t, func(*testing.T) {
		a := &experimentRun{workload: w, variant: p, clock: types.NewClock()}
		a.result.latency = hdrhistogram.New(1, 3_600_000, 3)
		for i := range w.engines {
			a.engines = append(a.engines, &fakes.Engine{
				Slots: w.slots, PrefillRate: prefillRate, TokenTime: tokenTime, BatchSlowdown: 0.04, CacheTokens: w.cacheTokens, LoadLag: loadReportLag, Seed: uint64(i),
			})
		}
		for range w.entryHosts {
			a.stats = append(a.stats, &route.TargetStats{})
			a.fairShares = append(a.fairShares, &sched.FairShare[int]{})
		}
		for i := range a.result.slowdown {
			a.result.slowdown[i] = hdrhistogram.New(1, 1_000_000, 3)
		}
		a.startPrograms(rand.New(rand.NewPCG(seed, 1)), load, span)
		for _, e := range a.engines {
			computed, recomputed := e.PrefillTokens()
			a.result.computed += computed
			a.result.recomputed += recomputed
		}
		o = a.result
	})
	return o
}

// startPrograms starts programs until the span is over, and waits for all of them.
func (a *experimentRun) startPrograms(r *rand.Rand, load float64, span time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*span)
	defer cancel()
	var wg sync.WaitGroup
	for n := 0; a.clock() < types.Mono(span); n++ {
		seed := r.Uint64()
		wg.Go(func() { a.runProgram(ctx, n, rand.New(rand.NewPCG(seed, 2))) })
		time.Sleep(time.Duration(r.ExpFloat64() / (a.arrivalRate * load) * float64(time.Second)))
	}
	wg.Wait()
}

func uniform(r *rand.Rand, span [2]int) int { return span[0] + r.IntN(span[1]-span[0]+1) }

// runProgram runs one program. Each of its calls goes through a random entry host.
func (a *experimentRun) runProgram(ctx context.Context, n int, r *rand.Rand) {
	id := types.ProgramID(fmt.Sprint("program-", n))
	account := a.randomAccount(r)
	prompt := a.systemTokens
	cachedTokens := map[types.TargetID]int{}
	var latency, ideal time.Duration
	for range uniform(r, a.turns) {
		prompt += uniform(r, a.turnTokens)
		answer := uniform(r, a.answerTokens)
		entry := r.IntN(a.entryHosts)
		start := a.clock()
		job := fakes.Job{CacheKey: string(id), PromptTokens: prompt, AnswerTokens: answer}
		if a.fair {
			job.Priority = a.fairShares[entry].Priority(account, start)
		}
		target, ok := a.runCall(ctx, r, entry, id, cachedTokens, job)
		if !ok {
			a.mu.Lock()
			a.result.unfinished++
			a.mu.Unlock()
			return
		}
		latency += a.clock().Sub(start)
		ideal += time.Duration(answer) * tokenTime
		a.fairShares[entry].AddUsage(account, types.Tokens(answer), a.clock())
		prompt += answer
		a.evictOthers(id, target, cachedTokens)
		cachedTokens[target] = prompt
		time.Sleep(time.Duration(r.ExpFloat64() * float64(a.pause)))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.result.latency.RecordValue(latency.Milliseconds())
	_ = a.result.slowdown[account].RecordValue(int64(100 * latency / ideal))
}

// randomAccount draws a program's client account. Account 0 has five times as
// many programs as each other account.
func (a *experimentRun) randomAccount(r *rand.Rand) int {
	return max(0, r.IntN(accounts+4)-4)
}

// evictOthers evicts the program's prompt from the caches of all targets but the
// current one.
func (a *experimentRun) evictOthers(id types.ProgramID, current types.TargetID, cachedTokens map[types.TargetID]int) {
	if a.keepEarlier {
		return
	}
	for i, e := range a.engines {
		if t := engineID(i); t != current && cachedTokens[t] > 0 {
			e.Evict(string(id))
			delete(cachedTokens, t)
		}
	}
}

// runCall routes one call as an entry host does, and runs it.
func (a *experimentRun) runCall(ctx context.Context, r *rand.Rand, entry int, id types.ProgramID, cachedTokens map[types.TargetID]int, j fakes.Job) (types.TargetID, bool) {
	stats, now := a.stats[entry], a.clock()
	var list []route.Candidate
	for i := range a.engines {
		c, _ := stats.Candidate(engineID(i), now)
		c.SameZone = i%3 == entry%3
		c.Cached = types.Tokens(cachedTokens[engineID(i)])
		list = append(list, c)
	}
	if !a.fixedOrder {
		r.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	}
	a.mu.Lock()
	a.calls++
	sequence := a.calls
	a.mu.Unlock()
	chosen := list[a.choose(route.Request{Program: id, Prompt: types.Tokens(j.PromptTokens), Sequence: sequence}, list)]
	var engine *fakes.Engine
	for i := range a.engines {
		if engineID(i) == chosen.Target {
			engine = a.engines[i]
		}
	}
	stats.Start(chosen.Target)
	if !chosen.SameZone {
		time.Sleep(2 * a.zoneDelay)
	}
	ok := engine.Generate(ctx, j)
	h := http.Header{}
	engine.ReportLoad(h)
	stats.Report(chosen.Target, h, a.clock())
	stats.Finish(chosen.Target, a.clock().Sub(now), false, a.clock())
	return chosen.Target, ok
}

func engineID(i int) types.TargetID {
	return types.TargetID("engine-" + strings.Repeat("0", 2-len(fmt.Sprint(i))) + fmt.Sprint(i))
}
