package poison_test

import (
	"fmt"
	"testing"

	"github.com/banyanspur/banyanspur/poison"
	"github.com/banyanspur/banyanspur/types"
)

// Targets and requests in flight of a zone at the size of docs/CAPACITY.md: an eighth of
// 1,800 targets with 12 requests each.
const (
	benchTargets  = 225
	benchInFlight = 12
)

// lostZone returns a table after the loss of a zone at the aimed size.
func lostZone() *poison.Table {
	var table poison.Table
	for target := range benchTargets {
		for i := range benchInFlight {
			table.Record(crash(fmt.Sprintf("%064d", target*benchInFlight+i), "a", target, 0, 1000), 1100*ms)
		}
	}
	return &table
}

func BenchmarkLostZone(b *testing.B) {
	for b.Loop() {
		lostZone()
	}
}

func BenchmarkVerdictsAfterLostZone(b *testing.B) {
	table := lostZone()
	for b.Loop() {
		table.Verdicts(poison.ZoneSizes{"a": benchTargets}, types.Mono(2000)*ms)
	}
}
