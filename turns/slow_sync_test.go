package turns_test

import (
	"fmt"
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
	if err := w.Reserve(withTimeout(t, stepTimeout), b); err != nil {
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
