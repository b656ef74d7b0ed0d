package turns_test

import (
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/turns"
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
