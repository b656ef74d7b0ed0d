package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// drainTime is the time after a target has first announced that it drains from which on it
// gets no requests that callers send then.
const drainTime = 3 * time.Second

// drainPeriod is the time in which a target announces that it drains.
type drainPeriod struct {
	target   string
	from, to time.Time
}

// drain makes a target announce in all responses that it drains. After listLag the list
// shows it as well, and after d another process starts in its place, with the same ID.
func (t *targets) drain(ctx context.Context, i int, listLag, d time.Duration) {
	id := fmt.Sprint("t", i)
	t.setDraining(id, true)
	from := time.Now()
	types.Sleep(ctx, min(listLag, d))
	t.setState(i, "draining")
	types.Sleep(ctx, d-min(listLag, d))
	t.servers[i].crash(crashDowntime / 2)
	t.mu.Lock()
	t.drains = append(t.drains, drainPeriod{target: id, from: from, to: time.Now()})
	t.mu.Unlock()
	t.setDraining(id, false)
	types.Sleep(ctx, crashDowntime)
	t.setState(i, "ready")
}

// drainRandomly drains one target after another until ctx ends.
func (t *targets) drainRandomly(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	for types.Sleep(ctx, time.Duration(r.IntN(1000))*time.Millisecond) {
		t.drain(ctx, r.IntN(len(t.list)), time.Duration(r.IntN(2000))*time.Millisecond, drainTime+time.Second)
	}
}

// setDraining sets whether a target announces in its responses that it drains.
func (t *targets) setDraining(id string, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining[id] = draining
}

// setState sets the state of a target in the list.
func (t *targets) setState(i int, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list[i]["state"] = state
}

// checkDrains checks that no target got a request that a caller sent later than drainTime
// after the target had announced that it drains. A host that was started or had a fault
// since then is excused.
func checkDrains(t *testing.T, c *callers, tg *targets) {
	t.Helper()
	attempts := map[string]attempt{}
	for _, a := range c.attempts {
		attempts[a.id] = a
	}
	disturbedAt := map[string]time.Time{}
	for _, h := range c.fleet.hosts {
		disturbedAt[h.name] = h.disturbedAt
	}
	late, checked := 0, 0
	for _, d := range tg.drains {
		for id, runs := range tg.runs {
			for _, r := range runs {
				if r.target != d.target || r.startedAt.Before(d.from) || r.startedAt.After(d.to) {
					continue
				}
				checked++
				if a := attempts[id]; a.sentAt.After(d.from.Add(drainTime)) && !disturbedAt[a.entry].After(d.from) {
					late++
					t.Errorf("target %s got %s from %s %v after it had announced that it drains", d.target, id, a.entry, a.sentAt.Sub(d.from))
				}
			}
		}
	}
	t.Logf("%d drains: %d requests reached the targets, %d too late", len(tg.drains), checked, late)
}

// TestAnnouncedDrainIsKeptByAllHosts guards against requests to targets that announce in
// their responses that they drain while the platform's list shows them as ready for
// long: neither a host that was told so itself nor another one may send them any, also
// after the leader was lost, and the other targets serve the load.
func TestAnnouncedDrainIsKeptByAllHosts(t *testing.T) {
	c, tg := startServing(t, 7, 3, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var load, drains errgroup.Group
	for i := range uint64(concurrentPrograms) {
		load.Go(func() error { c.runPrograms(ctx, 700+i); return nil })
	}
	time.Sleep(500 * time.Millisecond)
	for _, i := range []int{0, 3} { // One of each service.
		drains.Go(func() error { tg.drain(ctx, i, 7*time.Second, 8*time.Second); return nil })
	}
	time.Sleep(time.Second)
	c.fleet.killControlHosts(c.fleet.hosts[:3], 100*time.Millisecond)
	_ = drains.Wait() // All goroutines always return nil.
	restartedAt := time.Now()
	time.Sleep(3 * time.Second)
	cancel()
	_ = load.Wait()
	checkDrains(t, c, tg)
	checkRuns(t, c, tg)
	for _, id := range []string{"t0", "t3"} {
		if tg.arrivedSince(id, restartedAt) == 0 {
			t.Errorf("target %s got no requests after another process had taken its place", id)
		}
	}
}
