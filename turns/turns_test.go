package turns_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

func TestChainIsWholeAndInOrder(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	keep(t, w, "choir", "p", "one", "")
	keep(t, w, "choir", "p", "two", "one")
	keep(t, w, "choir", "other", "three", "two") // Another program goes on from it.
	chain, err := c.client().Chain(within(t, stepTimeout), "choir", "three")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]turns.TurnID{"one", "two", "three"}, ids(chain)); diff != "" {
		t.Errorf("chain (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("in two", string(chain[1].Input)); diff != "" {
		t.Errorf("input (-want +got):\n%s", diff)
	}
}

func TestTurnOfAnotherAccountIsNotFound(t *testing.T) {
	c := newCluster(t, 3)
	keep(t, c.client(), "choir", "p", "one", "")
	_, err := c.client().Chain(within(t, stepTimeout), "band", "one")
	if !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("another account's turn: %v", err)
	}
}

// TestNotFoundNeedsAMajority stops all stores but one that has a turn: a turn
// that nobody knows is then not denied, and the one that it has is found.
func TestNotFoundNeedsAMajority(t *testing.T) {
	c := newCluster(t, 3)
	keep(t, c.client(), "choir", "p", "one", "")
	left := slices.IndexFunc([]int{0, 1, 2}, func(i int) bool { return c.has(i, "one") })
	for i, s := range c.stores {
		if i != left {
			s.halt()
		}
	}
	if _, err := c.client().Chain(within(t, stepTimeout), "choir", "one"); err != nil {
		t.Errorf("a turn that one store has: %v", err)
	}
	_, err := c.client().Chain(within(t, stepTimeout), "choir", "none")
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("a turn that one of three stores denies: %v", err)
	}
}

// TestTurnsAreWrittenToAMajority counts copies, with all stores up and with one
// of those down that are written to first.
func TestTurnsAreWrittenToAMajority(t *testing.T) {
	c := newCluster(t, 3)
	for _, id := range []turns.TurnID{"all up", "one down"} {
		keep(t, c.client(), "choir", "p", id, "")
		copies := 0
		for i, s := range c.stores {
			if s.stop != nil && c.has(i, id) {
				copies++
			}
		}
		if diff := cmp.Diff(2, copies); diff != "" {
			t.Errorf("copies with %s (-want +got):\n%s", id, diff)
		}
		c.stores[0].halt()
	}
}

// has reports whether a store by itself has a turn of the account "choir".
func (c *cluster) has(i int, id turns.TurnID) bool {
	m := *c.now.Load()
	m.Members = map[turns.StoreID]turns.Member{c.stores[i].id: m.Members[c.stores[i].id]}
	alone := &turns.Client{Peers: c.peers, Map: func() *turns.Map { return &m }}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, err := alone.Chain(ctx, "choir", id)
	return err == nil
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it does not come about")
		}
	}
}

// TestAcknowledgedTurnsOutliveAllProcesses restarts every store.
func TestAcknowledgedTurnsOutliveAllProcesses(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	for i := range 20 {
		keep(t, w, "choir", "p", turns.TurnID(fmt.Sprint(i)), "")
	}
	for i := range c.stores {
		c.stores[i].halt()
		c.restart(i)
	}
	for i := range 20 {
		if _, err := c.client().Chain(within(t, stepTimeout), "choir", turns.TurnID(fmt.Sprint(i))); err != nil {
			t.Errorf("turn %d: %v", i, err)
		}
	}
}

// TestBudgetUnderRivals lets many turns of one program claim at once, through
// several hosts and with one store down: what is granted never exceeds the
// budget, and the budget is not left unused.
func TestBudgetUnderRivals(t *testing.T) {
	c := newCluster(t, 3)
	c.stores[2].halt()
	const limit, most, rivals = 100, 10, 30
	var mu sync.Mutex
	granted := types.Tokens(0)
	var g errgroup.Group
	for host := range 3 {
		w := c.client()
		for i := range rivals / 3 {
			g.Go(func() error {
				b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprintf("%d-%d", host, i)), Limit: limit, Most: most}
				if err := w.Reserve(within(t, stepTimeout), b); err == nil {
					mu.Lock()
					granted += most
					mu.Unlock()
				} else if !types.IsCode(err, types.CodeBudgetExceeded) {
					return err
				}
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if granted > limit {
		t.Errorf("%d tokens were granted of a budget of %d", granted, limit)
	}
}

// TestBudgetCountsWhatWasUsed spends a budget turn by turn, over a restart of
// all stores.
func TestBudgetCountsWhatWasUsed(t *testing.T) {
	c := newCluster(t, 3)
	granted := 0
	for i := range 40 {
		if i == 10 {
			for n := range c.stores {
				c.stores[n].halt()
				c.restart(n)
			}
		}
		w := c.client()
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprint(i)), Limit: 100, Most: 10}
		if err := w.Reserve(within(t, stepTimeout), b); err != nil {
			continue
		}
		granted++
		if err := w.Settle(within(t, stepTimeout), b, 5, nil); err != nil {
			t.Fatal(err)
		}
	}
	// 18 turns use 90; one more could generate 10, and then 5 are left.
	if diff := cmp.Diff(19, granted); diff != "" {
		t.Errorf("turns granted (-want +got):\n%s", diff)
	}
}

// TestMoveKeepsEverything moves all shards from a store that is gone to a new,
// empty one while turns are written, and then loses another store.
func TestMoveKeepsEverything(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	for i := range 50 {
		keep(t, w, "choir", types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("before", i)), "")
	}
	c.stores[0].halt()
	added := c.add()
	next := []turns.StoreID{c.stores[1].id, c.stores[2].id, c.stores[added].id}
	slices.Sort(next)
	c.move(func(p *turns.Placement) { p.Next = next })
	for i := range 50 {
		keep(t, w, "choir", types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("during", i)), "")
	}
	waitFor(t, func() bool { return len(c.stores[added].Copied()) == turns.Shards })
	c.move(func(p *turns.Placement) { p.Now, p.Next = p.Next, nil })
	c.stores[1].halt()
	for i := range 50 {
		for _, when := range []string{"before", "during"} {
			id := turns.TurnID(fmt.Sprint(when, i))
			if !c.has(added, id) && !c.has(2, id) {
				t.Errorf("turn %s is lost", id)
			}
		}
	}
	if _, err := c.client().Chain(within(t, stepTimeout), "choir", "before7"); err != nil {
		t.Errorf("a turn from before the move: %v", err)
	}
}

// TestOldMapIsRefused has a writer that has not heard of a move: it waits for
// the newer map in place of being counted.
func TestOldMapIsRefused(t *testing.T) {
	c := newCluster(t, 3)
	old := c.now.Load()
	behind := &turns.Client{Peers: c.peers, Map: func() *turns.Map { return old }}
	c.move(func(*turns.Placement) {})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	b := turns.Budget{Account: "choir", Program: "p", Attempt: "a", Limit: 100, Most: 10}
	if err := behind.Reserve(ctx, b); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("a claim under an old map: %v", err)
	}
}

// TestLostFolderCountsForNothing wipes a store that comes back at its address
// under the old map: it neither denies nor acknowledges in its former name.
func TestLostFolderCountsForNothing(t *testing.T) {
	c := newCluster(t, 3)
	keep(t, c.client(), "choir", "p", "one", "")
	was := *c.now.Load()
	c.stores[0].halt()
	if err := os.RemoveAll(c.stores[0].dir); err != nil {
		t.Fatal(err)
	}
	old := c.stores[0].id
	c.restart(0)
	// The old identity, at the address where the new one answers.
	m := was
	m.Members = map[turns.StoreID]turns.Member{}
	for id, member := range was.Members {
		m.Members[id] = member
	}
	impostor := c.member(0)
	impostor.ID = old
	m.Members[old] = impostor
	c.setMap(&m)
	c.stores[1].halt()
	_, err := c.client().Chain(within(t, stepTimeout), "choir", "none")
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("a turn that a wiped store would deny: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	b := turns.Budget{Account: "choir", Program: "p", Attempt: "a", Limit: 100, Most: 10}
	if err := c.client().Reserve(ctx, b); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("a claim that a wiped store would acknowledge: %v", err)
	}
}

// TestDamagedFolderComesBackAsANewStore flips a byte within the journal.
func TestDamagedFolderComesBackAsANewStore(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	keep(t, w, "choir", "p", "one", "")
	keep(t, w, "choir", "p", "two", "one")
	waitFor(t, func() bool { return c.has(0, "two") })
	s := c.stores[0]
	s.halt()
	spoil(t, s.dir)
	before := s.id
	c.start(s)
	if s.id == before {
		t.Error("a store with a damaged journal keeps its identity")
	}
}

func TestChooseSpreadsAndStays(t *testing.T) {
	var all []turns.Candidate
	for i := range 12 {
		all = append(all, turns.Candidate{
			Member: turns.Member{ID: turns.StoreID(fmt.Sprintf("s%02d", i)), Zone: types.ZoneID(fmt.Sprint("z", i%3))}, Live: true,
		})
	}
	load := map[turns.StoreID]int{}
	for shard := range turns.Shard(turns.Shards) {
		chosen := turns.Choose(shard, nil, all, 5)
		zones := map[types.ZoneID]int{}
		for _, c := range all {
			if slices.Contains(chosen, c.ID) {
				zones[c.Zone]++
				load[c.ID]++
			}
		}
		if len(chosen) != 5 || len(zones) != 3 {
			t.Errorf("shard %d is on %v, in zones %v", shard, chosen, zones)
		}
		if diff := cmp.Diff(chosen, turns.Choose(shard, chosen, all, 5)); diff != "" {
			t.Errorf("shard %d moves without a reason (-want +got):\n%s", shard, diff)
		}
		gone := slices.Clone(all)
		for i := range gone {
			gone[i].Live = gone[i].ID != chosen[0]
		}
		after := turns.Choose(shard, chosen, gone, 5)
		kept := 0
		for _, id := range after {
			if slices.Contains(chosen, id) {
				kept++
			}
		}
		if diff := cmp.Diff(4, kept); diff != "" {
			t.Errorf("stores kept when one of five is gone (-want +got):\n%s", diff)
		}
	}
	if diff := cmp.Diff(12, len(load)); diff != "" {
		t.Errorf("stores in use (-want +got):\n%s", diff)
	}
}
