package turns_test

import (
	"fmt"
	"testing"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestReformedShardTakesPartialCopies guards against turns that are left on one store, and lost
// with it, after a shard was formed anew: store 3 had copied a part of the turns of stores that
// have lost their disks since, and store 2 has others.
func TestReformedShardTakesPartialCopies(t *testing.T) {
	c := newCluster(t, 3)
	const programs = 30
	for range 2 {
		c.addStore()
	}
	// As during the first move, in which store 3 gets what is written.
	c.updatePlacements(func(p *turns.Placement) { p.Next = []turns.StoreID{c.stores[1].id, c.stores[2].id, c.stores[3].id} })
	for i := range programs {
		turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("turn", i)), Input: make([]byte, 4000)}
		c.writeTurnOn(turn, types.ProgramID(fmt.Sprint("p", i)), 2+i%2)
	}
	c.stores[0].shutDown()
	c.stores[1].shutDown()
	c.updatePlacements(func(p *turns.Placement) {
		p.Current, p.Next = []turns.StoreID{c.stores[2].id}, []turns.StoreID{c.stores[2].id, c.stores[3].id, c.stores[4].id}
		p.ReformedAt = 1
	})
	c.endMove(4)
	for i := range programs {
		id, n := turns.TurnID(fmt.Sprint("turn", i)), 0
		for _, store := range []int{2, 3, 4} {
			if c.storeHas(store, id) {
				n++
			}
		}
		if n < 2 {
			t.Errorf("turn %s is on %d of three stores, want a majority", id, n)
		}
	}
}
