package turns_test

import (
	"fmt"
	"testing"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestChainIsRequestedFromItsShard guards against chains that are requested from stores that
// cannot have them: with many stores, most requests find nothing, and the searches of many
// programs load all stores.
func TestChainIsRequestedFromItsShard(t *testing.T) {
	const stores, replicas, programs = 6, 3, 32
	c := newCluster(t, stores)
	n := 0
	c.updatePlacements(func(p *turns.Placement) {
		p.Current = nil
		for i := range replicas {
			p.Current = append(p.Current, c.stores[(n+i)%stores].id)
		}
		n++
	})
	w := c.client()
	for i := range programs {
		program, id := types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("t", i))
		if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", program, id, ""); err != nil {
			t.Fatal(err)
		}
	}
	before := requestsHandled("turns.chain")
	r := c.client()
	for i := range programs {
		program, id := types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("t", i))
		if _, err := r.ChainOf(withTimeout(t, stepTimeout), "choir", program, id); err != nil {
			t.Fatal(err)
		}
	}
	sent := requestsHandled("turns.chain") - before
	t.Logf("%d requests for %d chains", sent, programs)
	// The store that is asked first has the turn. A busy machine may ask further ones.
	if limit := uint64(programs + programs/4); sent > limit {
		t.Errorf("%d requests for %d chains, want at most %d", sent, programs, limit)
	}
}
