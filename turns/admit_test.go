package turns_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestShardWithoutMajorityLeavesOthersAdmitted guards against programs of healthy shards that
// are refused, as if all stores were slow, since the stores of another shard are down.
func TestShardWithoutMajorityLeavesOthersAdmitted(t *testing.T) {
	c := newCluster(t, 4)
	const downEvery = 4 // Of so many shards, one has only the store that is down.
	n := 0
	c.updatePlacements(func(p *turns.Placement) {
		p.Current = []turns.StoreID{c.stores[0].id, c.stores[1].id, c.stores[2].id}
		if n%downEvery == 0 {
			p.Current = []turns.StoreID{c.stores[3].id}
		}
		n++
	})
	c.stores[3].shutDown()
	w := c.client()
	var healthy, refused atomic.Int64
	var g errgroup.Group
	for i := range 300 {
		program := types.ProgramID(fmt.Sprint("p", i))
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			err := w.Reserve(ctx, turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10})
			if turns.ShardOf("choir", program)%downEvery == 0 {
				return nil
			}
			healthy.Add(1)
			if turns.NotSent(err) {
				refused.Add(1)
			}
			return nil
		})
		time.Sleep(20 * time.Millisecond)
	}
	_ = g.Wait() // The goroutines always return nil.
	if refused.Load() > 0 {
		t.Errorf("%d of %d reservations at healthy shards were refused", refused.Load(), healthy.Load())
	}
}
