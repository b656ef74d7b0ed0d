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

	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

func TestChainIsCompleteAndOrdered(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	writeTurn(t, w, "choir", "p", "one", "")
	writeTurn(t, w, "choir", "p", "two", "one")
	writeTurn(t, w, "choir", "other", "three", "two") // Continues the chain in another program.
	chain, err := c.client().Chain(withTimeout(t, stepTimeout), "choir", "three")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]turns.TurnID{"one", "two", "three"}, turnIDs(chain)); diff != "" {
		t.Errorf("chain (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("in two", string(chain[1].Input)); diff != "" {
		t.Errorf("input (-want +got):\n%s", diff)
	}
}

func TestTurnOfAnotherAccountIsNotFound(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	_, err := c.client().Chain(withTimeout(t, stepTimeout), "band", "one")
	if !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("turn of another account: %v, want code notFound", err)
	}
}

// TestNotFoundRequiresMajority stops all stores but one that has a turn. That
// turn is still found, and the client must not return notFound for an unknown
// turn, which the stopped stores might have.
func TestNotFoundRequiresMajority(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	remaining := slices.IndexFunc([]int{0, 1, 2}, func(i int) bool { return c.hasTurn(i, "one") })
	for i, s := range c.stores {
		if i != remaining {
			s.shutDown()
		}
	}
	if _, err := c.client().Chain(withTimeout(t, stepTimeout), "choir", "one"); err != nil {
		t.Errorf("turn of the only running store: %v", err)
	}
	_, err := c.client().Chain(withTimeout(t, stepTimeout), "choir", "none")
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("unknown turn with one of three stores running: %v, want code unavailable", err)
	}
}

// TestTurnsAreWrittenToAMajority counts the replicas of a turn, first with all
// stores running and then with one of the preferred stores stopped. With all of them running,
// only a write that takes longer than the hedge delay may be on a third store.
func TestTurnsAreWrittenToAMajority(t *testing.T) {
	const hedgeDelay = 40 * time.Millisecond
	noSync := store.Disk{Sync: func(*os.File) error { return nil }} // A sync of a busy disk takes longer.
	c := startCluster(&cluster{t: t, peers: newPeers(), disks: []store.Disk{noSync, noSync, noSync}}, 3)
	write := func(id turns.TurnID) (replicas int, took time.Duration) {
		start := time.Now()
		writeTurn(t, c.client(), "choir", "p", id, "")
		took = time.Since(start)
		for i, s := range c.stores {
			if s.stop != nil && c.hasTurn(i, id) {
				replicas++
			}
		}
		return replicas, took
	}
	for took, i := hedgeDelay, 0; took >= hedgeDelay; i++ {
		if i == 100 {
			t.Fatalf("none of %d writes took less than %v", i, hedgeDelay)
		}
		var replicas int
		replicas, took = write(turns.TurnID(fmt.Sprint("all up ", i)))
		if replicas != 2 && (replicas != 3 || took < hedgeDelay) {
			t.Errorf("%d replicas with all up, written in %v, want 2", replicas, took)
		}
	}
	c.stores[0].shutDown()
	if replicas, _ := write("one down"); replicas != 2 {
		t.Errorf("%d replicas with one down, want 2", replicas)
	}
}

// TestStoresShareTurns guards against a store that has almost all turns, and another one
// with almost none: after the loss of the first one's disk, all turns are on one store only
// until they are copied.
func TestStoresShareTurns(t *testing.T) {
	c := newCluster(t, 3)
	const programs = 160
	client := c.client()
	var g errgroup.Group
	g.SetLimit(8)
	for i := range programs {
		g.Go(func() error {
			return settleTurn(withTimeout(t, stepTimeout), client, "choir", types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("turn", i)), "")
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for store := range 3 {
		n := 0
		for i := range programs {
			if c.storeHas(store, turns.TurnID(fmt.Sprint("turn", i))) {
				n++
			}
		}
		if n < programs/2 { // Two thirds, if each turn is on two of three stores.
			t.Errorf("store %d has %d of %d turns, want about two thirds", store, n, programs)
		}
	}
}

// hasTurn reports whether store i alone can return a turn of account "choir"
// with its chain.
func (c *cluster) hasTurn(i int, id turns.TurnID) bool {
	m := *c.shardMap.Load()
	m.Members = map[turns.StoreID]turns.Member{c.stores[i].id: m.Members[c.stores[i].id]}
	single := &turns.Client{Peers: c.peers, Map: func() *turns.Map { return &m }}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, err := single.Chain(ctx, "choir", id)
	return err == nil
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within the step timeout")
		}
	}
}

// TestAcknowledgedTurnsSurviveRestart restarts every store and reads the turns
// back.
func TestAcknowledgedTurnsSurviveRestart(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	for i := range 20 {
		writeTurn(t, w, "choir", "p", turns.TurnID(fmt.Sprint(i)), "")
	}
	for i := range c.stores {
		c.stores[i].shutDown()
		c.restartStore(i)
	}
	for i := range 20 {
		if _, err := c.client().Chain(withTimeout(t, stepTimeout), "choir", turns.TurnID(fmt.Sprint(i))); err != nil {
			t.Errorf("turn %d: %v", i, err)
		}
	}
}

// TestConcurrentReservationsStayWithinBudget reserves budget for many turns of
// one program concurrently, through several clients and with one store stopped.
// The granted reservations must not exceed the budget.
func TestConcurrentReservationsStayWithinBudget(t *testing.T) {
	c := newCluster(t, 3)
	c.stores[2].shutDown()
	const limit, maxTokens, attempts = 100, 10, 30
	var mu sync.Mutex
	granted := types.Tokens(0)
	var g errgroup.Group
	for host := range 3 {
		w := c.client()
		for i := range attempts / 3 {
			g.Go(func() error {
				b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprintf("%d-%d", host, i)), Limit: limit, MaxTokens: maxTokens}
				err := claim(withTimeout(t, stepTimeout), w, b)
				if types.IsCode(err, types.CodeBudgetExceeded) {
					return nil
				}
				if err != nil {
					return err
				}
				mu.Lock()
				granted += maxTokens
				mu.Unlock()
				return w.Settle(withTimeout(t, stepTimeout), b, maxTokens, nil)
			})
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if granted > limit {
		t.Errorf("granted %d tokens of a budget of %d", granted, limit)
	}
}

// TestSettledClaimsChargeUsedTokens spends a budget turn by turn, with a restart
// of all stores in between. Settled turns must only be charged the tokens that
// they used.
func TestSettledClaimsChargeUsedTokens(t *testing.T) {
	c := newCluster(t, 3)
	granted := 0
	for i := range 40 {
		if i == 10 {
			for n := range c.stores {
				c.stores[n].shutDown()
				c.restartStore(n)
			}
		}
		w := c.client()
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprint(i)), Limit: 100, MaxTokens: 10}
		if err := claim(withTimeout(t, stepTimeout), w, b); err != nil {
			continue
		}
		granted++
		if err := w.Settle(withTimeout(t, stepTimeout), b, 5, nil); err != nil {
			t.Fatal(err)
		}
	}
	// 18 turns use 90 tokens, so the maximum of 10 is left for one more. That
	// turn uses 5, and the remaining 5 are too few for another one.
	if diff := cmp.Diff(19, granted); diff != "" {
		t.Errorf("turns granted (-want +got):\n%s", diff)
	}
}

// TestShardMoveLosesNoTurns moves all shards from a stopped store to a new empty
// one while turns are written, and then stops another store. The two stores that
// remain must have all turns between them.
func TestShardMoveLosesNoTurns(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	for i := range 50 {
		writeTurn(t, w, "choir", types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("before", i)), "")
	}
	c.stores[0].shutDown()
	added := c.addStore()
	next := []turns.StoreID{c.stores[1].id, c.stores[2].id, c.stores[added].id}
	slices.Sort(next)
	c.updatePlacements(func(p *turns.Placement) { p.Next = next })
	for i := range 50 {
		writeTurn(t, w, "choir", types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("during", i)), "")
	}
	waitFor(t, func() bool { return len(c.stores[added].CopiedShards()) == turns.ShardCount })
	c.updatePlacements(func(p *turns.Placement) { p.Current, p.Next = p.Next, nil })
	c.stores[1].shutDown()
	for i := range 50 {
		for _, when := range []string{"before", "during"} {
			id := turns.TurnID(fmt.Sprint(when, i))
			if !c.hasTurn(added, id) && !c.hasTurn(2, id) {
				t.Errorf("turn %s was lost", id)
			}
		}
	}
	if _, err := c.client().Chain(withTimeout(t, stepTimeout), "choir", "before7"); err != nil {
		t.Errorf("turn from before the move: %v", err)
	}
}

// TestOutdatedMapIsRejected makes a reservation with a client that has not
// received the map of a move. The stores must reject it, so the client waits for
// the newer map until its context ends.
func TestOutdatedMapIsRejected(t *testing.T) {
	c := newCluster(t, 3)
	oldMap := c.shardMap.Load()
	staleClient := &turns.Client{Peers: c.peers, Map: func() *turns.Map { return oldMap }}
	c.updatePlacements(func(*turns.Placement) {})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	b := turns.Budget{Account: "choir", Program: "p", Attempt: "a", Limit: 100, MaxTokens: 10}
	if err := staleClient.Reserve(ctx, b); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("claim with an outdated map: %v, want code unavailable", err)
	}
}

// TestWipedStoreLosesItsIdentity wipes a store and restarts it, while the map
// still has the old ID at its address. The store must not reply to requests for
// the old ID: its replies would count as notFound for turns that it has lost,
// or as acknowledgements.
func TestWipedStoreLosesItsIdentity(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	oldMap := *c.shardMap.Load()
	c.stores[0].shutDown()
	if err := os.RemoveAll(c.stores[0].dir); err != nil {
		t.Fatal(err)
	}
	oldID := c.stores[0].id
	c.restartStore(0)
	// The old ID, at the address of the store with the new one.
	m := oldMap
	m.Members = map[turns.StoreID]turns.Member{}
	for id, member := range oldMap.Members {
		m.Members[id] = member
	}
	wiped := c.member(0)
	wiped.ID = oldID
	m.Members[oldID] = wiped
	c.setMap(&m)
	c.stores[1].shutDown()
	_, err := c.client().Chain(withTimeout(t, stepTimeout), "choir", "none")
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("unknown turn with a wiped and a stopped store: %v, want code unavailable", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	b := turns.Budget{Account: "choir", Program: "p", Attempt: "a", Limit: 100, MaxTokens: 10}
	if err := c.client().Reserve(ctx, b); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("claim with a wiped and a stopped store: %v, want code unavailable", err)
	}
}

// TestCorruptStoreGetsNewIdentity restarts a store after a bit in its journal
// was flipped.
func TestCorruptStoreGetsNewIdentity(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	writeTurn(t, w, "choir", "p", "one", "")
	writeTurn(t, w, "choir", "p", "two", "one")
	waitFor(t, func() bool { return c.hasTurn(0, "two") })
	s := c.stores[0]
	s.shutDown()
	corruptJournal(t, s.dir)
	before := s.id
	c.startStore(s)
	if s.id == before {
		t.Error("a store with a corrupt journal kept its identity")
	}
}

// TestChooseStoresSpreadsZonesAndIsStable assigns all shards to stores in three
// zones. Each shard must use all zones, keep its stores while they are live, and
// replace only a store that is not. All stores must be used.
func TestChooseStoresSpreadsZonesAndIsStable(t *testing.T) {
	var all []turns.Candidate
	for i := range 12 {
		all = append(all, turns.Candidate{
			Member: turns.Member{ID: turns.StoreID(fmt.Sprintf("s%02d", i)), Zone: types.ZoneID(fmt.Sprint("z", i%3))}, Live: true,
		})
	}
	shardsPerStore := map[turns.StoreID]int{}
	for shard := range turns.Shard(turns.ShardCount) {
		chosen := turns.ChooseStores(shard, nil, all, 5, false)
		zones := map[types.ZoneID]int{}
		for _, c := range all {
			if slices.Contains(chosen, c.ID) {
				zones[c.Zone]++
				shardsPerStore[c.ID]++
			}
		}
		if len(chosen) != 5 || len(zones) != 3 {
			t.Errorf("shard %d is assigned to %v in zones %v, want 5 stores in 3 zones", shard, chosen, zones)
		}
		if diff := cmp.Diff(chosen, turns.ChooseStores(shard, chosen, all, 5, false)); diff != "" {
			t.Errorf("shard %d moves although its stores are live (-want +got):\n%s", shard, diff)
		}
		oneDown := slices.Clone(all)
		for i := range oneDown {
			oneDown[i].Live = oneDown[i].ID != chosen[0]
		}
		after := turns.ChooseStores(shard, chosen, oneDown, 5, false)
		kept := 0
		for _, id := range after {
			if slices.Contains(chosen, id) {
				kept++
			}
		}
		if diff := cmp.Diff(4, kept); diff != "" {
			t.Errorf("stores kept when one of five is down (-want +got):\n%s", diff)
		}
	}
	if diff := cmp.Diff(12, len(shardsPerStore)); diff != "" {
		t.Errorf("stores in use (-want +got):\n%s", diff)
	}
}
