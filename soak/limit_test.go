package soak_test

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// limitWindow is the time over which the requests that a target gets are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack are by how much a window may exceed a target's limit.
	limitFactor, limitSlack = 1.5, 5
	// minLimitUse is the part of its limit that a target must get while callers ask
	// for more.
	minLimitUse = 0.5
)

// TestTargetLimitHoldsOverAllHosts guards against a target that gets more requests
// than the limit that it names, which counts over all entry hosts: no window of
// limitWindow, from contactTime after the limit was first named, may exceed it, also
// while an entry host is stopped, killed and started again and the control hosts are
// killed. The limit of 0.75 per second is below one for each entry host. Targets that
// name no limit serve the rest, and no limit may be left unused.
func TestTargetLimitHoldsOverAllHosts(t *testing.T) {
	for _, rate := range []float64{0.75, 6} {
		t.Run(fmt.Sprint(rate, " per second"), func(t *testing.T) {
			c, tg := startServing(t, 5, 4, 2)
			// The targets of "models" in two of the three zones, and all of "plain".
			limited := []string{"t1", "t2", "t4", "t5"}
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			for i := range uint64(2 * concurrentPrograms) {
				g.Go(func() error { c.runPrograms(ctx, 500+i); return nil })
			}
			time.Sleep(time.Second)
			namedAt := tg.setLimits(limited, rate)
			time.Sleep(4 * time.Second)
			c.fleet.restartUnderLoad()
			time.Sleep(3 * time.Second)
			calmAt := time.Now()
			time.Sleep(limitWindow)
			cancel()
			_ = g.Wait() // The goroutines always return nil.
			checkTargetLimits(t, tg, limited, rate, namedAt)
			checkLimitsUsed(t, tg, limited, rate, calmAt)
			checkUnlimitedTargetsServe(t, tg, "t0", "t3")
			checkRuns(t, c, tg)
		})
	}
}

// TestLimitIsLifted guards against hosts that keep to a limit which the target no
// longer names.
func TestLimitIsLifted(t *testing.T) {
	c, tg := startServing(t, 6, 1, 1)
	limited := []string{"t0", "t1"}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for i := range uint64(concurrentPrograms) {
		g.Go(func() error { c.runPrograms(ctx, 600+i); return nil })
	}
	tg.setLimits(limited, 1)
	time.Sleep(4 * time.Second)
	tg.setLimits(nil, 0)
	time.Sleep(3 * time.Second)
	liftedAt := time.Now()
	time.Sleep(limitWindow)
	cancel()
	_ = g.Wait() // The goroutines always return nil.
	for _, id := range limited {
		if n, former := tg.arrivedSince(id, liftedAt), int(limitFactor*limitWindow.Seconds()+limitSlack); n <= former {
			t.Errorf("target %s got %d requests in %v after its limit was lifted, want more than the %d of before", id, n, limitWindow, former)
		}
	}
}

// restartUnderLoad stops one entry host, kills another one, and kills all control hosts.
func (f *fleet) restartUnderLoad() {
	f.hosts[6].stop(syscall.SIGTERM)
	f.start(f.hosts[6], false)
	f.killAndRestart(f.hosts[7], 200*time.Millisecond)
	time.Sleep(time.Second)
	f.killControlHosts(f.hosts[:3], 500*time.Millisecond)
}

// setLimits makes the targets with the given IDs name a limit, and the others none. It
// returns the time of the change.
func (t *targets) setLimits(ids []string, rate float64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = map[string]float64{}
	for _, id := range ids {
		t.limits[id] = rate
	}
	return time.Now()
}

// arrivedSince returns the number of requests that a target got after a time.
func (t *targets) arrivedSince(id string, at time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range t.arrivals[id] {
		if a.After(at) {
			n++
		}
	}
	return n
}

// checkTargetLimits checks all windows of each limited target.
func checkTargetLimits(t *testing.T, tg *targets, limited []string, rate float64, namedAt time.Time) {
	t.Helper()
	tg.mu.Lock()
	defer tg.mu.Unlock()
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	for _, id := range limited {
		most := 0
		arrivals := slices.SortedFunc(slices.Values(tg.arrivals[id]), time.Time.Compare)
		for i, end := range arrivals {
			if end.Sub(namedAt) < contactTime {
				continue
			}
			// In the first second, hosts need not have known the limit for long enough.
			first := slices.IndexFunc(arrivals, func(a time.Time) bool {
				return end.Sub(a) < limitWindow && a.Sub(namedAt) > time.Second
			})
			most = max(most, i-first+1)
		}
		t.Logf("target %s, limit %v per second: %d requests in a window of %v, %.0f allowed", id, rate, most, limitWindow, allowed)
		if float64(most) > allowed {
			t.Errorf("target %s got %d requests in a window of %v, its limit allows %.0f", id, most, limitWindow, allowed)
		}
	}
}

// checkLimitsUsed checks that the limited targets together get at least minLimitUse of
// their limits after a time.
func checkLimitsUsed(t *testing.T, tg *targets, limited []string, rate float64, since time.Time) {
	t.Helper()
	n := 0
	for _, id := range limited {
		n += tg.arrivedSince(id, since)
	}
	if want := minLimitUse * rate * limitWindow.Seconds() * float64(len(limited)); float64(n) < want {
		t.Errorf("limited targets got %d requests in %v while callers asked for more, want at least %.0f", n, limitWindow, want)
	}
}

// checkUnlimitedTargetsServe checks that the given targets serve what the limited ones do
// not accept.
func checkUnlimitedTargetsServe(t *testing.T, tg *targets, ids ...string) {
	t.Helper()
	for _, id := range ids {
		if n := tg.arrivedSince(id, time.Time{}); n < 100 {
			t.Errorf("target %s, which names no limit, got %d requests, want at least 100", id, n)
		}
	}
}
