package turns_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// reserve claims budget for the next turn of a program.
func reserve(t *testing.T, c *turns.Client, program types.ProgramID, attempt types.AttemptID) error {
	t.Helper()
	return c.Reserve(withTimeout(t, stepTimeout), turns.Budget{Account: "choir", Program: program, Attempt: attempt, Limit: 1000, MaxTokens: 10})
}

// TestFullStoresRefuseProgramsAndKeepTurns guards against stores that drop turns, or fail
// programs in progress, when their disk or memory is nearly used up. They must refuse new
// programs at once and with a retry delay, and accept them again when turns have expired.
func TestFullStoresRefuseProgramsAndKeepTurns(t *testing.T) {
	for name, capacity := range map[string]turns.Capacity{
		"disk":   {DiskBytes: 100 << 10},
		"memory": {MemoryBytes: 60 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(&cluster{t: t, peers: newPeers(), virtual: true, capacity: capacity}, 3)
			c.setRetention(time.Minute)
			w := c.client()
			var last types.ProgramID
			refused := error(nil)
			written := 0
			for ; refused == nil && written < 500; written++ {
				program := types.ProgramID(fmt.Sprint("p", written))
				if refused = reserve(t, w, program, "first"); refused != nil {
					break
				}
				c.writeTurnOn(turns.Turn{ID: turns.TurnID(program), Input: make([]byte, 1000)}, program, 0, 1, 2)
				last = program
			}
			if fault := types.AsFault(refused); refused == nil || fault.Code != types.CodeOverloaded || fault.RetryAfter <= 0 || fault.Ran != types.NotRun {
				t.Fatalf("program %d: %v, want an overloaded fault with a retry delay", written, refused)
			}
			if err := reserve(t, w, last, "second"); err != nil {
				t.Errorf("second turn of a program in progress: %v", err)
			}
			writeTurn(t, w, "choir", last, "second", turns.TurnID(last))
			c.advance(time.Minute)
			for i := range written {
				c.requireChain(turns.TurnID(fmt.Sprint("p", i)), []turns.TurnID{turns.TurnID(fmt.Sprint("p", i))})
			}
			c.advance(2 * time.Minute)
			if err := reserve(t, w, "later", "first"); err != nil {
				t.Errorf("program after turns have expired: %v", err)
			}
		})
	}
}

// diskRoom is the free space of a disk that is not full.
const diskRoom = 1 << 30

// newClusterWithRoom starts three stores in virtual time, and returns the free space of the
// disk of each, which a test can change.
func newClusterWithRoom(t *testing.T) (*cluster, *[3]atomic.Int64) {
	t.Helper()
	free := &[3]atomic.Int64{}
	stores := 0
	c := &cluster{t: t, peers: newPeers(), virtual: true}
	c.capacityOf = func() turns.Capacity {
		own := &free[stores]
		own.Store(diskRoom)
		stores++
		return turns.Capacity{FreeBytes: func(string) (int64, error) { return own.Load(), nil }}
	}
	startCluster(c, len(free))
	c.setRetention(time.Minute)
	return c, free
}

// TestStoreAcceptsTurnsOnceDiskHasRoom guards against a store that still refuses turns when
// its disk has room again, until its next check for expired turns: the disks of two stores
// are full one after the other, never both at once, and each turn needs one of them.
func TestStoreAcceptsTurnsOnceDiskHasRoom(t *testing.T) {
	c, free := newClusterWithRoom(t)
	w := c.client()
	writeTurn(t, w, "choir", "p", "first", "")
	for i := range 2 {
		free[i].Store(0)
	}
	c.advance(2 * time.Second)
	if err := settleTurn(withTimeout(t, time.Second), w, "choir", "p", "refused", "first"); err == nil {
		t.Error("a turn was written with two full disks")
	}
	free[0].Store(diskRoom)
	c.elapsed.Add(int64(200 * time.Millisecond)) // Without a check for expired turns.
	if err := settleTurn(withTimeout(t, time.Second), w, "choir", "p", "second", "first"); err != nil {
		t.Errorf("a turn while one disk is full: %v", err)
	}
}
