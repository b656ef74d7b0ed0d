package turns_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestFirstReservationAfterRestart guards against turns that are refused after all stores have
// restarted on slow disks, since the first reservations wait until the stores have started a new
// segment, in three syncs. Stores have time for that while the control hosts elect a leader, which
// takes three as well.
func TestFirstReservationAfterRestart(t *testing.T) {
	const syncTime = 300 * time.Millisecond
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	for _, s := range c.stores {
		s.shutDown()
	}
	for _, d := range disks {
		d.slow(syncTime)
	}
	for i := range c.stores {
		c.restartStore(i)
	}
	time.Sleep(3 * syncTime)
	start := time.Now()
	b := turns.Budget{Account: "choir", Program: "q", Attempt: "a", Limit: 100, MaxTokens: 10}
	if err := claim(withTimeout(t, stepTimeout), w, b); err != nil {
		t.Fatal(err)
	}
	took := time.Since(start)
	t.Logf("the first reservation took %v, a sync %v", took, syncTime)
	if limit := 2 * syncTime; took > limit {
		t.Errorf("the first reservation took %v, want at most %v", took, limit)
	}
}

// TestTurnsShareSlowSyncs guards against stores that fall behind on disks whose syncs take long,
// because only few turns share a sync: claims wait behind them, and callers are refused. Turns that
// arrive together take the sync under way and the next one, and the stores that are asked later one
// more.
func TestTurnsShareSlowSyncs(t *testing.T) {
	const syncTime, programs, outputBytes = 500 * time.Millisecond, 60, 100_000
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	for _, d := range disks {
		d.slow(syncTime)
	}
	start := time.Now()
	var g errgroup.Group
	for i := range programs {
		program := types.ProgramID(fmt.Sprint("p", i))
		g.Go(func() error {
			b := turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10}
			turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("t", i)), Account: "choir", Program: program, Output: make([]byte, outputBytes)}
			return w.Settle(withTimeout(t, stepTimeout), b, 1, &turn)
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	took := time.Since(start)
	t.Logf("%d turns of %d bytes were written in %v, a sync takes %v", programs, outputBytes, took, syncTime)
	if limit := 4 * syncTime; took > limit {
		t.Errorf("the turns were written in %v, want at most %v", took, limit)
	}
}

// TestRotationHoldsUpNoReservation guards against reservations that wait while a store starts another
// segment, which takes three syncs, and so are given up on disks whose syncs take long. A reservation
// waits for the sync under way and its own one.
func TestRotationHoldsUpNoReservation(t *testing.T) {
	const syncTime, outputBytes, interval, load = 400 * time.Millisecond, 100_000, 20 * time.Millisecond, 6 * time.Second
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	for _, d := range disks {
		d.slow(syncTime)
	}
	var longest atomic.Int64
	var g errgroup.Group
	n := 0
	for start := time.Now(); time.Since(start) < load; time.Sleep(interval) {
		n++
		b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", n)), Attempt: "a", Limit: 100, MaxTokens: 10}
		g.Go(func() error {
			began := time.Now()
			if err := claim(withTimeout(t, stepTimeout), w, b); err != nil {
				return err
			}
			for took := int64(time.Since(began)); ; {
				if old := longest.Load(); took <= old || longest.CompareAndSwap(old, took) {
					break
				}
			}
			turn := turns.Turn{ID: turns.TurnID("t" + b.Program), Account: "choir", Program: b.Program, Output: make([]byte, outputBytes)}
			return w.Settle(withTimeout(t, stepTimeout), b, 1, &turn)
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	took := time.Duration(longest.Load())
	t.Logf("%d turns of %d bytes; the longest reservation took %v, a sync %v", n, outputBytes, took, syncTime)
	if limit := 3 * syncTime; took > limit {
		t.Errorf("a reservation took %v, want at most %v", took, limit)
	}
}

// TestCompactionsLeaveTimeForReservations guards against stores that spend most of the time of a disk
// whose syncs take long on starting, rewriting and removing segments, while reservations wait.
func TestCompactionsLeaveTimeForReservations(t *testing.T) {
	const syncTime, load = 200 * time.Millisecond, 6 * time.Second
	disks := []*slowDisk{{}, {}, {}}
	c := &cluster{t: t, peers: newPeers(), virtual: true}
	for _, d := range disks {
		c.disks = append(c.disks, d.disk())
	}
	startCluster(c, 3)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	ctx := withTimeout(t, load)
	var g errgroup.Group
	for i, s := range c.stores {
		s.SetRetention(time.Minute, 0)
		disks[i].slow(syncTime)
		g.Go(func() error {
			for {
				c.elapsed.Add(int64(5 * time.Second)) // Each check ages the segments.
				select {
				case s.ticks <- time.Time{}:
				case <-ctx.Done():
					return nil
				}
			}
		})
	}
	n := 0
	for ctx.Err() == nil {
		b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", n)), Attempt: "a", Limit: 100, MaxTokens: 10}
		if claim(ctx, w, b) == nil {
			n++
		}
	}
	_ = g.Wait() // The goroutines always return nil.
	t.Logf("%d reservations, one after the other, within the time of %d syncs", n, load/syncTime)
	if least := int(load / syncTime / 2); n < least {
		t.Errorf("%d reservations, one after the other, within the time of %d syncs, want at least %d", n, load/syncTime, least)
	}
}
