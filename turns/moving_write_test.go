package turns_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestWriteThatWaitsForDiskIsNotLostByMove guards against turns that are acknowledged although
// a move has left them behind: their writes wait for the disks of two stores while the shard
// moves from one of these to an added store, whose copy does not contain them yet. The turns
// are then on one of the three stores only.
func TestWriteThatWaitsForDiskIsNotLostByMove(t *testing.T) {
	c := newCluster(t, 3)
	c.addStore()
	const programs = 20
	c.pauseDisk(0)
	c.pauseDisk(1)
	moving := c.movingMap(1, 2, 3)
	c.stores[2].SetMap(moving) // It rejects the writes, whose sender does not know of the move yet.
	var writes errgroup.Group
	w := c.client()
	for i := range programs {
		program, id := types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("turn", i))
		writes.Go(func() error { return settleTurn(withTimeout(t, stepTimeout), w, "choir", program, id, "") })
	}
	waitFor(t, func() bool { // All writes wait for the disks.
		for i := range programs {
			if program := types.ProgramID(fmt.Sprint("p", i)); c.claimCount(0, program) == 0 || c.claimCount(1, program) == 0 {
				return false
			}
		}
		return true
	})
	c.setMap(moving)
	c.endMove(3)
	c.stores[0].resumeDisk()
	c.stores[1].resumeDisk()
	if err := writes.Wait(); err != nil {
		t.Fatal(err)
	}
	c.stores[0].shutDown()
	for i := range programs {
		id := turns.TurnID(fmt.Sprint("turn", i))
		replicas := 0
		for n := range c.stores[1:] {
			if c.hasTurn(n+1, id) {
				replicas++
			}
		}
		if replicas < 2 {
			t.Errorf("%s was acknowledged with %d replicas in the stores that its shard moved to, want 2", id, replicas)
		}
	}
}

// TestMoveDoesNotMultiplyWrites guards against turns that are written to all stores of both lists
// while their shard moves: twice the work, beside the copies, for stores that had to be late
// already for a shard to move.
func TestMoveDoesNotMultiplyWrites(t *testing.T) {
	c := newCluster(t, 5)
	added := c.addStore()
	c.setMap(c.movingMap(0, 1, 2, 3, added))
	w := c.client()
	writeTurn(t, w, "choir", "p", "first", "") // From now on all stores are connected.
	const writes, majority = 20, 3
	more := 0
	for i := range writes {
		before := requestsHandled("turns.close")
		writeTurn(t, w, "choir", "p", turns.TurnID(fmt.Sprint("turn", i)), "")
		time.Sleep(5 * time.Millisecond) // Requests that were sent at once arrive.
		if requestsHandled("turns.close")-before > majority {
			more++ // Also if a store was late.
		}
	}
	t.Logf("%d of %d turns were sent to more than %d stores", more, writes, majority)
	if more > writes/2 {
		t.Errorf("%d of %d turns were sent to more than %d of 6 stores, want at most half of them", more, writes, majority)
	}
}
