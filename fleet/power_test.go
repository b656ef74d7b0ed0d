package fleet_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestShardsAreWritableAfterPowerLoss guards against shards that take no writes long after all
// hosts have lost power, and two of nine stores their disks with it, although three of the
// five copies of each shard are left at least.
func TestShardsAreWritableAfterPowerLoss(t *testing.T) {
	const limit = 6 * time.Second // half of the 12 s within which service must be back
	f := newFleet(t, 3)
	f.losses = 2
	f.runAll()
	for i := range 9 {
		f.addStore(types.HostID(fmt.Sprint("store-", i)))
	}
	c, peers := f.client("entry-1")
	waitFor(t, "the first shard map", func() bool { return storeHosts(c.View()) != nil })
	client := &turns.Client{Peers: peers, Map: func() *turns.Map { return c.View().Map }}
	programs := map[turns.Shard]types.ProgramID{} // one for each shard
	for i := 0; len(programs) < turns.ShardCount; i++ {
		program := types.ProgramID(fmt.Sprint("p", i))
		programs[turns.ShardOf("choir", program)] = program
	}
	writeAll := func(step string, previous func(types.ProgramID) turns.TurnID) {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		var g errgroup.Group
		for shard, program := range programs {
			id := turns.TurnID(step + " " + string(program))
			g.Go(func() error {
				budget := turns.Budget{Account: "choir", Program: program, Attempt: types.AttemptID(id), Limit: 100, MaxTokens: 10}
				return client.Settle(ctx, budget, 5, &turns.Turn{Account: "choir", ID: id, Previous: previous(program), Shard: shard, Input: []byte("in")})
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
	}
	writeAll("before", func(types.ProgramID) turns.TurnID { return "" })
	f.allowBootstrap.Store(false)
	processes := append(append([]*process(nil), f.controls...), f.stores...)
	for _, p := range processes {
		p.stop()
	}
	for _, p := range f.stores[:2] {
		if err := os.RemoveAll(p.dir); err != nil {
			t.Fatal(err)
		}
	}
	start := time.Now()
	for _, p := range processes {
		p.run()
	}
	c, peers = f.client("entry-2") // Knows no map yet, as an entry host that has started.
	client = &turns.Client{Peers: peers, Map: func() *turns.Map { return c.View().Map }}
	writeAll("after", func(program types.ProgramID) turns.TurnID { return turns.TurnID("before " + string(program)) })
	took := time.Since(start)
	t.Logf("all shards are writable after %v", took)
	if took > limit {
		t.Errorf("all shards are writable after %v, want %v", took, limit)
	}
	for _, program := range programs {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		chain, err := (&turns.Client{Peers: peers, Map: client.Map}).Chain(ctx, "choir", turns.TurnID("after "+string(program)))
		cancel()
		if len(chain) != 2 {
			t.Errorf("program %s: a chain of %d turns, %v; want 2", program, len(chain), err)
		}
	}
	for _, p := range c.View().Map.Shards {
		if p.ReformedAt != 0 {
			t.Error("a shard was formed anew although three of its five stores have kept their disks")
		}
	}
}
