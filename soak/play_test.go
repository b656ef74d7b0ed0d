package soak_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// stepTimeout bounds what must come about once all faults are over.
	stepTimeout = 40 * time.Second
	// programsAtOnce is how many programs run side by side.
	programsAtOnce = 4
)

// play runs a fleet under faults and load and then checks the promises.
func play(t *testing.T, seed uint64) {
	tg, list, err := startTargets(3, 2)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tg.close)
	f := newFleet(t, seed, list, "")
	waitFor(t, "the first configuration", func() bool { code, _ := f.operator(0, http.MethodPut, plan(1)); return code == http.StatusOK })
	c := &callers{fleet: f}
	quiet := rand.New(rand.NewPCG(seed, 4))
	waitFor(t, "the first turn", func() bool {
		a := c.send(context.Background(), quiet, attempt{account: calmAccount, path: "/turn/", sent: "first;", program: "first"})
		return a.status == http.StatusOK && a.whole
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	for i := range uint64(programsAtOnce) {
		g.Go(func() error { c.programs(ctx, seed*100+i); return nil })
	}
	g.Go(func() error { c.rush(ctx, seed); return nil })
	var acked atomic.Int64
	acked.Store(1)
	g.Go(func() error {
		for version := 2; ctx.Err() == nil; version++ {
			if code, _ := f.operator(version, http.MethodPut, plan(version)); code == http.StatusOK {
				acked.Store(int64(version))
			}
			time.Sleep(300 * time.Millisecond)
		}
		return nil
	})
	f.playFaults(*duration)
	cancel()
	_ = g.Wait() // All return nil.
	checkConfiguration(t, f, int(acked.Load()))
	checkRuns(t, c, tg)
	checkChains(t, c, tg)
	checkBudgets(t, c)
	checkLimit(t, tg)
	checkTurnsAreThere(t, c)
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s does not come about", what)
		}
	}
}

// checkConfiguration reads back what was acknowledged, or something newer.
func checkConfiguration(t *testing.T, f *fleet, acked int) {
	t.Helper()
	var body []byte
	waitFor(t, "reading the configuration", func() bool {
		code, b := f.operator(0, http.MethodGet, nil)
		body = b
		return code == http.StatusOK
	})
	for version := acked; version < acked+200; version++ {
		if bytes.Equal(body, plan(version)) {
			return
		}
	}
	t.Errorf("the configuration read back is none of version %d or newer: %.80s", acked, body)
}

// checkRuns compares what callers were told with what targets ran.
func checkRuns(t *testing.T, c *callers, tg *targets) {
	t.Helper()
	served := 0
	for _, a := range c.all {
		runs := tg.ran(a.id)
		if len(runs) > 1 {
			t.Errorf("%s %s ran %d times", a.path, a.id, len(runs))
		}
		if a.promise() && len(runs) > 0 {
			t.Errorf("%s %s was answered %d and ran", a.path, a.id, a.status)
		}
		if a.status == http.StatusOK && a.whole {
			served++
			want := "done " + a.id
			if a.path == "/turn/" {
				out := outputOf(a.id)
				want = "id: 0\ndata: " + out[0] + "\n\nid: 1\ndata: " + out[1] + "\n\n"
			}
			if a.body != want {
				t.Errorf("%s %s was answered %q", a.path, a.id, a.body)
			}
		}
		for _, r := range runs {
			if r.account != a.account || r.key != "" {
				t.Errorf("%s %s ran for %q with the key %q", a.path, a.id, r.account, r.key)
			}
		}
	}
	t.Logf("%d of %d requests were served", served, len(c.all))
	if served < len(c.all)/20 {
		t.Errorf("%d of %d requests were served", served, len(c.all))
	}
}

// checkChains compares the prompts that targets got with what callers saw.
func checkChains(t *testing.T, c *callers, tg *targets) {
	t.Helper()
	prompts := map[string]string{"": ""} // input and output of a turn and all before it
	for _, a := range c.all {
		if a.path != "/turn/" {
			continue
		}
		want := prompts[a.previous] + a.sent
		for _, r := range tg.ran(a.id) {
			if r.body != want {
				t.Errorf("turn %s ran with %q, not %q", a.id, r.body, want)
			}
		}
		prompts[a.id] = want + strings.Join(outputOf(a.id), "\n") + "\n"
	}
}

// checkBudgets sums up what the callers of each program were given.
func checkBudgets(t *testing.T, c *callers) {
	t.Helper()
	given := map[string]int{}
	for _, a := range c.all {
		if a.path == "/turn/" {
			given[a.program] += stride * strings.Count(a.body, "\n\n")
		}
	}
	for program, n := range given {
		if n > tokenBudget+mostTokens {
			t.Errorf("program %s was given %d tokens of %d", program, n, tokenBudget)
		}
	}
}

// checkLimit looks at each window of the requests that ran for the account that
// asks for too much.
func checkLimit(t *testing.T, tg *targets) {
	t.Helper()
	var at []time.Time
	for _, runs := range tg.runs {
		for _, r := range runs {
			if r.account == rashAccount {
				at = append(at, r.at)
			}
		}
	}
	const window = 5 * time.Second
	for _, start := range at {
		n := 0
		for _, x := range at {
			if d := x.Sub(start); d >= 0 && d < window {
				n++
			}
		}
		// What was let go just before the window may arrive within it.
		if allowed := rashRate*(window.Seconds()+0.5) + rashBurst; float64(n) > allowed {
			t.Errorf("%d requests ran in a window of %v that allows %.0f", n, window, allowed)
			return
		}
	}
}

// checkTurnsAreThere goes on from turns that were answered whole.
func checkTurnsAreThere(t *testing.T, c *callers) {
	t.Helper()
	quiet := rand.New(rand.NewPCG(9, 9))
	var whole []attempt
	for _, a := range c.all {
		if a.path == "/turn/" && a.status == http.StatusOK && a.whole && time.Since(a.ended) < 30*time.Second {
			whole = append(whole, a)
		}
	}
	for i := 0; i < len(whole); i += 1 + len(whole)/60 {
		var last attempt
		waitFor(t, "going on from turn "+whole[i].id, func() bool {
			last = c.send(context.Background(), quiet, attempt{account: calmAccount, path: "/turn/", sent: "on;", previous: whole[i].id, program: "on " + whole[i].id})
			return last.status == http.StatusOK && last.whole || last.status == http.StatusNotFound
		})
		if last.status == http.StatusNotFound {
			t.Errorf("turn %s was answered whole and is not found", whole[i].id)
		}
	}
}
