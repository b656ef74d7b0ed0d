package turns_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestTurnsContinueBesideCopiesOfTwoDisks guards against turns that continue others of a shard which has lost two of its
// five disks, and that reach no target while it is copied: the chain is on few stores, and the claim and the end of the
// turn need all three stores that are left. Nothing of them may be lost with the next disk after the copies.
func TestTurnsContinueBesideCopiesOfTwoDisks(t *testing.T) {
	const syncTime, bytesPerSecond, interval, count = 50 * time.Millisecond, 8_000_000, 30 * time.Millisecond, 60
	c := newTwoLostDisks(t, 800, 36<<10)
	c.catchUp = 4 * time.Second
	c.slow(syncTime, bytesPerSecond)
	added := []int{c.addStore(), c.addStore()}
	c.setMap(c.movingMap(0, 1, 2, added[0], added[1]))
	w := c.client()
	var mu sync.Mutex
	longest := map[string]time.Duration{}
	timed := func(step string, do func() error) error {
		began := time.Now()
		err := do()
		mu.Lock()
		defer mu.Unlock()
		longest[step] = max(longest[step], time.Since(began))
		return err
	}
	next := func(i int) turns.TurnID { return turns.TurnID(fmt.Sprint("next", i)) }
	var g errgroup.Group
	for i := range count {
		program := types.ProgramID(fmt.Sprint("p", i))
		g.Go(func() error {
			err := timed("chain", func() error {
				_, err := w.ChainOf(withTimeout(t, stepTimeout), "choir", program, c.written[i])
				return err
			})
			if err != nil {
				return err
			}
			b := turns.Budget{Account: "choir", Program: program, Attempt: types.AttemptID(next(i)), Limit: 100, MaxTokens: 10, Continues: true}
			if err := timed("claim", func() error { return w.Reserve(withTimeout(t, stepTimeout), b) }); err != nil {
				return err
			}
			return timed("end", func() error {
				return settleTurn(withTimeout(t, stepTimeout), w, "choir", program, next(i), c.written[i])
			})
		})
		time.Sleep(interval)
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, i := range added {
		waitFor(t, func() bool { return len(c.stores[i].CopiedShards()) == turns.ShardCount })
	}
	t.Logf("%d turns; the longest took %v", count, longest)
	// The batch under way and the own one take three syncs each at most.
	const limit = 2*3*syncTime + 600*time.Millisecond // on a busy machine
	for step, took := range longest {
		if took > limit {
			t.Errorf("%s: the longest took %v, want at most %v", step, took, limit)
		}
	}
	c.updatePlacements(func(p *turns.Placement) { p.Current, p.Next = p.Next, nil })
	c.stores[0].shutDown()
	r := c.client()
	for i := range count {
		chain, err := r.ChainOf(withTimeout(t, stepTimeout), "choir", types.ProgramID(fmt.Sprint("p", i)), next(i))
		if diff := cmp.Diff([]turns.TurnID{c.written[i], next(i)}, turnIDs(chain)); diff != "" || err != nil {
			t.Errorf("chain of %s after the loss of one more store: %v (-want +got):\n%s", next(i), err, diff)
		}
	}
}
