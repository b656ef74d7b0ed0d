package route_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// TestMemoryIsNotExceeded guards against a target that preempts requests or ends since those
// that it runs have more tokens than its memory, while others have room. Waiting requests
// hold no memory.
func TestMemoryIsNotExceeded(t *testing.T) {
	w := typicalTurn
	w.Tokens = 14_300
	intN := rand.New(rand.NewPCG(1, 1)).IntN
	for name, c := range map[string]struct {
		inFlight types.Tokens // of target 0; the others have 300,000 and more
		requests int
		want     bool
	}{
		"room":               {171_600, 12, true},
		"full":               {290_000, 11, false},
		"least over of all":  {299_000, 11, true},
		"most of it waiting": {600_000, 47, true},
	} {
		options := idleEngines(6)
		for i := range options {
			options[i].Cached = w.Prompt
			options[i].Memory = route.Memory{Capacity: 291_669, InFlight: 300_000 + types.Tokens(i), Requests: 11}
		}
		options[0].Memory.InFlight, options[0].Memory.Requests = c.inFlight, c.requests
		if name == "full" {
			options[5].Memory.InFlight = 0
		}
		for range 20 {
			if diff := cmp.Diff(c.want, route.Place(options, w, route.DefaultPlacementCosts, intN) == 0); diff != "" {
				t.Fatalf("%s, whether target 0 is selected (-want +got):\n%s", name, diff)
			}
		}
	}
}
