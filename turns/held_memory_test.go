package turns_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestHeldClaimsOfManyProgramsAreBounded guards against memory of a store that grows beyond its capacity with programs of which no
// turn has reached a target, if each stayed in the index for twice the retention and counted nothing.
func TestHeldClaimsOfManyProgramsAreBounded(t *testing.T) {
	c := newCluster(t, 1)
	w := c.client()
	ctx := withTimeout(t, 3*stepTimeout)
	const programs, bytesEach = 5000, 64
	heapAfter := func(first int) int64 {
		for i := range programs {
			b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", first+i)), Attempt: "a", Limit: 100, MaxTokens: 10}
			if err := w.Reserve(ctx, b); err != nil {
				t.Fatal(err)
			}
			if err := w.Withdraw(ctx, b); err != nil {
				t.Fatal(err)
			}
		}
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	// The heap varies by what else the process does, and memory that programs keep adds up with each round.
	const rounds = 4
	before, least := heapAfter(0), int64(math.MaxInt64)
	for round := 1; round <= rounds; round++ {
		after := heapAfter(round * programs)
		least, before = min(least, after-before), after
	}
	if least > programs*bytesEach {
		t.Errorf("in each of %d rounds %d programs more, of which no target has got a turn, take %d bytes each or more", rounds, programs, least/programs)
	}
}
