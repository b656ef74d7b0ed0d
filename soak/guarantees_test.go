package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
)

const (
	// waitTimeout bounds each wait for the fleet to reach a state while no fault
	// is active.
	waitTimeout = 40 * time.Second
	// concurrentPrograms is the number of programs that run concurrently.
	concurrentPrograms = 4
)

// runSeed runs a fleet under load, injects the faults of a seed and then checks the
// guarantees of the fleet.
func runSeed(t *testing.T, seed uint64) {
	c, tg := startServing(t, seed, 3, 2)
	tg.faulty.Store(true)
	f, r := c.fleet, rand.New(rand.NewPCG(seed, 4))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := c.runInBackground(seed)
	var g errgroup.Group
	g.Go(func() error { c.exceedRateLimit(ctx, seed); return nil })
	var acked atomic.Int64
	acked.Store(1)
	g.Go(func() error {
		for version := 2; ctx.Err() == nil; version++ {
			if code, _ := f.requestConfig(version, http.MethodPut, planDocument(version)); code == http.StatusOK {
				acked.Store(int64(version))
			}
			time.Sleep(300 * time.Millisecond)
		}
		return nil
	})
	g.Go(func() error { tg.endRandomly(ctx, seed); return nil })
	g.Go(func() error { tg.drainRandomly(ctx, seed); return nil })
	var evacuations []evacuation
	g.Go(func() error { evacuations = f.evacuateRandomly(ctx, seed); return nil })
	c.injectFaults(*duration)
	f.losePower([]*testHost{f.hosts[r.IntN(6)]}, time.Second) // While callers and the operator go on.
	cancel()
	_ = g.Wait() // All goroutines always return nil.
	stop()
	checkConfiguration(t, f, int(acked.Load()))
	checkRuns(t, c, tg)
	checkPrompts(t, c, tg)
	checkBudgets(t, c)
	checkRateLimit(t, tg)
	checkTurnsRetained(t, c)
	checkNotBlamed(t, c)
	checkDrains(t, c, tg)
	checkEvacuations(t, c, tg, evacuations)
}

// startServing starts a fleet with the given numbers of targets of the services "models"
// and "plain" and waits until it serves.
func startServing(t *testing.T, seed uint64, models, plain int) (*callers, *targets) {
	t.Helper()
	return startSize(t, small, seed, models, plain)
}

// startSize does the same for a fleet of the given size.
func startSize(t *testing.T, size fleetSize, seed uint64, models, plain int) (*callers, *targets) {
	t.Helper()
	c, tg := startPlanned(t, size, seed, models, plain)
	c.sendFirstTurn(t, seed)
	return c, tg
}

// startPlanned starts a fleet and waits until it has acknowledged its first plan.
func startPlanned(t *testing.T, size fleetSize, seed uint64, models, plain int) (*callers, *targets) {
	t.Helper()
	tg, listAddress, err := startTargets(models, plain)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.close)
	f := newFleet(t, size, seed, listAddress, "")
	waitFor(t, "the first configuration", func() bool {
		code, _ := f.requestConfig(0, http.MethodPut, size.plan(1))
		return code == http.StatusOK
	})
	return &callers{fleet: f}, tg
}

// sendFirstTurn sends a turn until it is served.
func (c *callers) sendFirstTurn(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 5))
	waitFor(t, "the first turn", func() bool {
		a := c.send(context.Background(), r, attempt{account: unlimitedAccount, path: "/turn/", requestBody: "first;", program: "first"})
		return a.status == http.StatusOK && a.complete
	})
}

// waitFor polls done until it returns true, and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// checkConfiguration checks that the fleet returns the configuration of the last
// acknowledged version or of a newer one.
func checkConfiguration(t *testing.T, f *fleet, acked int) {
	t.Helper()
	var body []byte
	waitFor(t, "a response with the configuration", func() bool {
		code, b := f.requestConfig(0, http.MethodGet, nil)
		body = b
		return code == http.StatusOK
	})
	for version := acked; version < acked+200; version++ {
		if bytes.Equal(body, f.size.plan(version)) {
			return
		}
	}
	t.Errorf("the configuration read back is not of version %d or newer: %.80s", acked, body)
}

// checkRuns compares the responses that callers received with the runs that targets
// recorded. It checks that no request runs more than once or in spite of a status
// that rules it out, that complete responses are those of the target, that turns with a
// complete response are found, and that targets receive the right account and no caller's
// key. Only requests to /lookup/ may be repeated. At least one in 20 requests must be served.
func checkRuns(t *testing.T, c *callers, tg *targets) {
	t.Helper()
	served := 0
	for _, a := range c.attempts {
		runs := tg.runsOf(a.id)
		repeatable := a.path == "/lookup/"
		if len(runs) > 1 && !repeatable {
			t.Errorf("%s %s ran %d times", a.path, a.id, len(runs))
		}
		if a.guaranteesNotRun() && len(runs) > 0 && !repeatable {
			t.Errorf("%s %s ran despite its response status %d", a.path, a.id, a.status)
		}
		if (a.status == http.StatusNotFound || a.status == http.StatusGone) && a.previous != "" {
			t.Errorf("turn %s had a complete response and is not found by %s on %s at %v", a.previous, a.id, a.entry, a.sentAt)
		}
		if a.status == http.StatusOK && a.complete {
			served++
			want := "done " + a.id
			if a.path == "/turn/" {
				want = ""
				for i, data := range tg.turnOutput(a.id) {
					want += fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
				}
			}
			if a.responseBody != want {
				t.Errorf("%s %s received the response body %q", a.path, a.id, a.responseBody)
			}
		}
		for _, r := range runs {
			if r.account != a.account || r.key != "" {
				t.Errorf("%s %s ran for account %q with the key %q", a.path, a.id, r.account, r.key)
			}
		}
	}
	t.Logf("%d of %d requests were served", served, len(c.attempts))
	if served < len(c.attempts)/20 {
		t.Errorf("%d of %d requests were served", served, len(c.attempts))
	}
}

// checkPrompts checks that the prompt of each turn consists of the inputs and
// outputs of all turns before it, followed by the turn's own input.
func checkPrompts(t *testing.T, c *callers, tg *targets) {
	t.Helper()
	prompts := map[string]text{"": {sum: *xxhash.New()}} // by turn ID: inputs and outputs up to and including the turn
	for _, a := range c.attempts {
		if a.path != "/turn/" {
			continue
		}
		want := prompts[a.previous].with(a.requestBody)
		for _, r := range tg.runsOf(a.id) {
			if r.body != want.digest() {
				t.Errorf("turn %s ran with the prompt %q, not %q", a.id, r.body, want.digest())
			}
		}
		prompts[a.id] = want.with(strings.Join(tg.turnOutput(a.id), "\n") + "\n")
	}
}

// checkBudgets checks that no program received more tokens than its budget plus one
// turn.
func checkBudgets(t *testing.T, c *callers) {
	t.Helper()
	received, budgets := map[string]int{}, map[string]int{}
	for _, a := range c.attempts {
		if a.path == "/turn/" {
			budgets[a.program] = max(budgets[a.program], a.budget+a.maxTokens)
			received[a.program] += tokensPerEvent * strings.Count(a.responseBody, "\n\n")
		}
	}
	for program, n := range received {
		if n > budgets[program] {
			t.Errorf("program %s received %d tokens, its budget and one turn are %d", program, n, budgets[program])
		}
	}
}

// checkRateLimit checks that the requests that ran for limitedAccount comply with
// its rate limit in every window of 5 s.
func checkRateLimit(t *testing.T, tg *targets) {
	t.Helper()
	var starts []time.Time
	for _, runs := range tg.runs {
		for _, r := range runs {
			if r.account == limitedAccount {
				starts = append(starts, r.startedAt)
			}
		}
	}
	const window = 5 * time.Second
	for _, start := range starts {
		n := 0
		for _, other := range starts {
			if d := other.Sub(start); d >= 0 && d < window {
				n++
			}
		}
		// Requests admitted up to 0.5 s before the window may start to run within it.
		if allowed := limitedRate*(window.Seconds()+0.5) + limitedBurst; float64(n) > allowed {
			t.Errorf("%d requests ran in a window of %v that allows %.0f", n, window, allowed)
			return
		}
	}
}

// checkTurnsRetained checks that turns with a complete response in the last 30 s can
// be continued; the plan keeps turns for 60 s. It samples at most 60 of them.
func checkTurnsRetained(t *testing.T, c *callers) {
	t.Helper()
	r := rand.New(rand.NewPCG(9, 9))
	var completed []attempt
	for _, a := range c.attempts {
		if a.path == "/turn/" && a.status == http.StatusOK && a.complete && time.Since(a.endedAt) < 30*time.Second {
			completed = append(completed, a)
		}
	}
	for i := 0; i < len(completed); i += 1 + len(completed)/60 {
		var last attempt
		waitFor(t, "a continuation of turn "+completed[i].id, func() bool {
			last = c.send(context.Background(), r, attempt{account: completed[i].account, path: "/turn/", requestBody: "on;", previous: completed[i].id, program: "on " + completed[i].id, budget: completed[i].budget, maxTokens: completed[i].maxTokens})
			return last.status == http.StatusOK && last.complete || last.status == http.StatusNotFound
		})
		if last.status == http.StatusNotFound {
			t.Errorf("turn %s had a complete response and is not found", completed[i].id)
		}
	}
}
