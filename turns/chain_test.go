package turns_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

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

// TestLongChainsAreAbandoned guards against chains that are fetched to their beginning, however
// much memory they take, although the client has none left.
func TestLongChainsAreAbandoned(t *testing.T) {
	const size = 2 << 20 // A reply has one such turn.
	c := newCluster(t, 3)
	w := c.client()
	previous := turns.TurnID("")
	for i := range 4 {
		id := turns.TurnID(fmt.Sprint("t", i))
		turn := &turns.Turn{Account: "choir", ID: id, Previous: previous, Shard: turns.ShardOf("choir", "p"), Input: make([]byte, size), Output: []byte("out")}
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(id), MaxTokens: 1}
		if err := w.Settle(withTimeout(t, stepTimeout), b, 1, turn); err != nil {
			t.Fatal(err)
		}
		previous = id
	}
	full := errors.New("no memory")
	var parts []int
	_, err := c.client().ChainWithin(withTimeout(t, stepTimeout), "choir", "p", previous, func(n int) error {
		parts = append(parts, n)
		if len(parts) == 2 {
			return full
		}
		return nil
	})
	if diff := cmp.Diff([]int{size + 3, size + 3}, parts); diff != "" || !errors.Is(err, full) {
		t.Errorf("%v, parts (-want +got):\n%s", err, diff)
	}
}

// TestChainOfOtherShards guards against turns that cannot be continued since earlier ones of their chain belong to other programs,
// whose shards are on other stores, some of which are lost: no store has the whole chain.
func TestChainOfOtherShards(t *testing.T) {
	const stores, replicas, programs, lost = 7, 3, 12, 2
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
	var want []turns.TurnID
	previous, program := turns.TurnID(""), types.ProgramID("")
	for i := range programs {
		program = types.ProgramID(fmt.Sprint("p", i))
		id := turns.TurnID(fmt.Sprint("t", i))
		writeTurn(t, w, "choir", program, id, previous)
		want, previous = append(want, id), id
	}
	check := func(state string) {
		t.Helper()
		chain, err := c.client().ChainOf(withTimeout(t, stepTimeout), "choir", program, previous)
		if diff := cmp.Diff(want, turnIDs(chain)); diff != "" {
			t.Errorf("%s: %v, chain (-want +got):\n%s", state, err, diff)
		}
	}
	check("all stores")
	c.stores[lost].shutDown()
	check("one store lost")
}

// TestLostTurnOfChainIsNotDenied guards against a caller that is told that there is no such turn as the one that it continues,
// which ends its program, though only an earlier turn of the chain is missing.
func TestLostTurnOfChainIsNotDenied(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	writeTurn(t, w, "choir", "p", "second", "first")
	for name, r := range map[string]*turns.Client{"from the stores": c.client(), "from the cache": w} {
		_, err := r.ChainOf(withTimeout(t, stepTimeout), "choir", "p", "second")
		if !turns.MayBeLost(err) {
			t.Errorf("%s: %v, want that a turn may be lost", name, err)
		}
	}
	if _, err := c.client().ChainOf(withTimeout(t, stepTimeout), "choir", "p", "first"); !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("a turn that no store has: %v, want not found", err)
	}
}
