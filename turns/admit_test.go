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
	c := &cluster{t: t, peers: newPeers()}
	for range 4 {
		disk := &slowDisk{simulated: true} // A stall of the machine's own disk makes reservations late, too.
		c.disks = append(c.disks, disk.disk())
	}
	startCluster(c, 4)
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
			err := claim(ctx, w, turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10})
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

// newClientOfSlowDisks returns a client of three stores, which have written a turn, and their disks. These
// are simulated: a stall of the machine's own disk would make reservations late, too.
func newClientOfSlowDisks(t *testing.T) (*turns.Client, []*slowDisk) {
	t.Helper()
	c, disks := newSlowCluster(t)
	for _, d := range disks {
		d.simulate()
	}
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	return w, disks
}

// TestContinuingTurnsAreAdmittedFirst guards against turns that continue others and are refused
// while first turns are admitted, when stores take so long that only a few reservations are
// admitted at a time. Callers of the former count them as lost after some tries.
func TestContinuingTurnsAreAdmittedFirst(t *testing.T) {
	w, disks := newClientOfSlowDisks(t)
	for _, d := range disks {
		d.slow(300 * time.Millisecond)
	}
	const load, firstInterval, continuingInterval = 6 * time.Second, 5 * time.Millisecond, 250 * time.Millisecond
	var firstRefused, refused, failed atomic.Int64
	var g errgroup.Group
	reserve := func(i int, continues bool, timeout time.Duration) {
		g.Go(func() error {
			b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i, continues)), Attempt: "a", Limit: 100, MaxTokens: 10, Continues: continues}
			err := claimWithin(withTimeout(t, 3*timeout), w, b, timeout)
			switch {
			case !continues && turns.NotSent(err):
				firstRefused.Add(1)
			case turns.NotSent(err):
				refused.Add(1)
			case continues && err != nil:
				failed.Add(1)
			}
			return nil
		})
	}
	first, continuing := 0, 0
	for start := time.Now(); time.Since(start) < load; time.Sleep(firstInterval) {
		reserve(first, false, 250*time.Millisecond) // Too short, so that the bound falls and stays low.
		if first++; time.Since(start) > time.Duration(continuing+4)*continuingInterval {
			reserve(continuing, true, 1300*time.Millisecond) // As long as a turn of 4 s may wait.
			continuing++
		}
	}
	_ = g.Wait() // The goroutines always return nil.
	t.Logf("%d of %d first turns were refused; of %d that continue others %d were refused, and %d not in time", firstRefused.Load(), first, continuing, refused.Load(), failed.Load())
	if firstRefused.Load() < int64(first)/2 {
		t.Fatal("the bound has not fallen")
	}
	if n := refused.Load() + failed.Load(); n > 0 {
		t.Errorf("%d of %d turns that continue others were refused or not in time", n, continuing)
	}
}

// TestWaitForAdmissionLeavesTime guards against turns that wait for their admission until hardly any
// time is left. Their reservations are then given up before the stores can reply, although these
// do the work, and count as proof that the stores are late.
func TestWaitForAdmissionLeavesTime(t *testing.T) {
	const remaining = 900 * time.Millisecond // As of the last try of a caller.
	w, disks := newClientOfSlowDisks(t)
	for _, d := range disks {
		d.slow(2 * time.Second)
	}
	var g errgroup.Group
	for i := range 100 { // More than are admitted.
		g.Go(func() error {
			b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i)), Attempt: "a", Limit: 100, MaxTokens: 10}
			_ = claim(withTimeout(t, stepTimeout), w, b) // Some are refused.
			return nil
		})
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), remaining)
	defer cancel()
	b := turns.Budget{Account: "choir", Program: "late", Attempt: "a", Limit: 100, MaxTokens: 10, Continues: true}
	start := time.Now()
	err := w.ReserveWithin(ctx, b, remaining)
	if took := time.Since(start); !turns.NotSent(err) || took > remaining/2 {
		t.Errorf("a turn with %v left has waited for its admission for %v: %v", remaining, took, err)
	}
	for _, d := range disks {
		d.slow(0)
	}
	_ = g.Wait() // The goroutines always return nil.
}

// TestStallLowersBoundOnce guards against first turns that are refused for long after a stall of the
// stores' disks, since each of the reservations that were in progress lowers the bound, to the lowest
// one.
func TestStallLowersBoundOnce(t *testing.T) {
	const stalled, rest, timeout = 40, 20, 500 * time.Millisecond
	w, disks := newClientOfSlowDisks(t)
	reserve := func(n int, program string) (refused int64) {
		var notSent atomic.Int64
		var g errgroup.Group
		for i := range n {
			g.Go(func() error {
				b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint(program, i)), Attempt: "a", Limit: 100, MaxTokens: 10}
				if turns.NotSent(claimWithin(withTimeout(t, stepTimeout), w, b, timeout)) {
					notSent.Add(1)
				}
				return nil
			})
		}
		_ = g.Wait() // The goroutines always return nil.
		return notSent.Load()
	}
	for _, d := range disks {
		d.stall(2 * timeout)
	}
	if n := reserve(stalled, "stalled"); n > 0 {
		t.Errorf("%d of %d reservations were refused before any was late", n, stalled)
	}
	if n := reserve(rest, "rest"); n > 0 {
		t.Errorf("%d of %d reservations at a time were refused after %d were late by one stall", n, rest, stalled)
	}
}
