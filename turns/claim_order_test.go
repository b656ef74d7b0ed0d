package turns_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// holdOn places the held claim of a turn on store i.
func (c *cluster) holdOn(i int, b turns.Budget) {
	c.t.Helper()
	ctx := withTimeout(c.t, stepTimeout)
	shard := turns.ShardOf(b.Account, b.Program)
	link := c.peers.Link(c.member(i).Address)
	link.WaitConnected(ctx)
	if _, err := wire.Call[turns.ClaimRequest, turns.ClaimReply](ctx, link, turns.KindClaim, turns.ClaimRequest{
		To: c.stores[i].id, Shard: shard, Epoch: c.shardMap.Load().Placement(shard).Epoch, Account: b.Account, Program: b.Program,
		Claim: turns.Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Line: b.Line, Hold: turns.HoldPlaced},
	}); err != nil {
		c.t.Fatal(err)
	}
}

// TestClaimsInDifferentOrdersGrantOne guards against sub-agents that wait for each other in a circle until each gives up,
// though the budget covers one of them: their claims have reached the three stores that reply in three different orders, so
// that each one has another one before it on two of the three.
func TestClaimsInDifferentOrdersGrantOne(t *testing.T) {
	c := newCluster(t, 5)
	c.stores[3].shutDown()
	c.stores[4].shutDown()
	var agents []turns.Budget
	for i := range 3 {
		agents = append(agents, turnOf(types.AttemptID(fmt.Sprint(i)), turns.Line(fmt.Sprint("helper ", i)), 600))
	}
	for store := range 3 {
		for n := range agents {
			c.holdOn(store, agents[(store+n)%len(agents)])
		}
	}
	var mu sync.Mutex
	granted := 0
	var errs []error
	var g errgroup.Group
	for _, b := range agents {
		g.Go(func() error {
			err := claim(withTimeout(t, 2*time.Second), c.client(), b)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
			if err == nil {
				granted++
			}
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
	if granted != 1 {
		t.Errorf("%d of 3 turns were granted, the budget covers one: %v", granted, errs)
	}
}

// TestWaitForClaimsLeavesOthersAdmitted guards against turns of other programs that are refused as if the stores were slow, since
// turns that wait for claims of their own program take all places of their host.
func TestWaitForClaimsLeavesOthersAdmitted(t *testing.T) {
	c := newCluster(t, 3)
	if err := c.client().Reserve(withTimeout(t, stepTimeout), turnOf("first", "main", 600)); err != nil {
		t.Fatal(err)
	}
	w := c.client()
	var g errgroup.Group
	for i := range 64 {
		g.Go(func() error {
			_ = w.Reserve(withTimeout(t, time.Second), turnOf(types.AttemptID(fmt.Sprint(i)), turns.Line(fmt.Sprint("helper ", i)), 600))
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	other := turnOf("other", "main", 600)
	other.Program = "q"
	if err := w.Reserve(withTimeout(t, stepTimeout), other); err != nil {
		t.Errorf("a turn of another program, while stores reply at once: %v", err)
	}
	_ = g.Wait() // The goroutines always return nil.
}

// TestSimultaneousTurnsOfFiveStores guards against turns that are reserved together, from different majorities, and then refuse each
// other after targets have run them.
func TestSimultaneousTurnsOfFiveStores(t *testing.T) {
	c := newCluster(t, 5)
	const rounds, agents, covered = 40, 4, 1
	taken, none := 0, 0
	for round := range rounds {
		var mu sync.Mutex
		granted := 0
		var g errgroup.Group
		for i := range agents {
			w := c.client()
			g.Go(func() error {
				b := turnOf(types.AttemptID(fmt.Sprint(i)), turns.Line(fmt.Sprint("helper ", i)), 600)
				b.Program = types.ProgramID(fmt.Sprint("p", round))
				err := claim(withTimeout(t, 4*time.Second), w, b)
				if err == nil {
					_ = w.Settle(withTimeout(t, stepTimeout), b, b.MaxTokens, nil) // Otherwise the others fail, too.
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					granted++
				case turns.BudgetTaken(err):
					taken++
				case !types.IsCode(err, types.CodeBudgetExceeded):
					t.Logf("round %d, turn %d: %v", round, i, err)
				}
				return nil
			})
		}
		_ = g.Wait() // The goroutines always return nil.
		if granted < covered {
			none++
		}
	}
	if none > 0 || taken > 0 {
		t.Errorf("in %d of %d rounds no turn was granted, and %d turns were refused after a target had them", none, rounds, taken)
	}
}
