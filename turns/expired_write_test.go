package turns_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestExpiredWritesAreLeftOut guards against stores that fall behind for good: after a stall they write what hosts have given up
// meanwhile, and what arrives in that time is late as well, while the memory of the store fills with what waits.
func TestExpiredWritesAreLeftOut(t *testing.T) {
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	const given, bytes = 50, 20_000
	const stall = 2 * time.Second
	for _, d := range disks {
		d.stall(stall)
	}
	begun := time.Now()
	var g errgroup.Group
	for i := range given {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), stall/10)
			defer cancel()
			b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i)), Attempt: types.AttemptID(fmt.Sprint(i)), Limit: 1000, MaxTokens: 10}
			turn := turns.Turn{Account: "choir", ID: turns.TurnID(fmt.Sprint(i)), Shard: turns.ShardOf(b.Account, b.Program), Input: make([]byte, bytes)}
			if err := w.Settle(ctx, b, 1, &turn); err == nil {
				return fmt.Errorf("turn %d was stored while the disks stalled", i)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(begun.Add(stall)))
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "last", "first"); err != nil {
		t.Fatal(err)
	}
	for i, d := range disks {
		// The first batch had begun when the disks stalled.
		if n := d.writtenBytes(); n > given*bytes/2 {
			t.Errorf("store %d has written %d bytes, %d of which its hosts had given up", i, n, given*bytes)
		}
	}
}
