package turns_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestOneSlowStoreDelaysTurnsBriefly guards against turns that wait long for one store with a
// slow disk, since it made the client expect that of all stores, while the third one is fast.
func TestOneSlowStoreDelaysTurnsBriefly(t *testing.T) {
	c, disks := newSlowCluster(t)
	w := c.client()
	settle := func(i int) time.Duration {
		id := turns.TurnID(fmt.Sprint("t", i))
		begin := time.Now()
		if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", types.ProgramID(fmt.Sprint("p", i)), id, ""); err != nil {
			t.Error(err)
		}
		return time.Since(begin)
	}
	settle(0)
	disks[0].slow(300 * time.Millisecond)
	const before, measured = 150, 45
	var g errgroup.Group
	g.SetLimit(10)
	for i := range before {
		g.Go(func() error {
			settle(1 + i)
			return nil
		})
	}
	_ = g.Wait()
	var sum time.Duration
	for i := range measured {
		sum += settle(1 + before + i)
	}
	// Two thirds of the turns go to the slow store first, and to the third one 40 ms later.
	if mean := sum / measured; mean > 100*time.Millisecond {
		t.Errorf("one of three disks takes 0.3 s, and a turn takes %v on average", mean)
	}
}
