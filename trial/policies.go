package trial

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/route"
)

// Policies maps names to the production policy ("expected"), its variants that evaluate
// all targets ("expectedOfAll") or six random ones ("expectedOfSix"), and the baselines.
var Policies = map[string]Policy{
	"expected": func(options []route.Option, w route.Work, r *rand.Rand) int {
		return route.Place(options, w, route.DefaultPlacementCosts, r.IntN)
	},
	"expectedOfAll": func(options []route.Option, w route.Work, _ *rand.Rand) int {
		return route.Place(options, w, route.DefaultPlacementCosts, nil)
	},
	"expectedOfSix": func(options []route.Option, w route.Work, r *rand.Rand) int {
		return expectedOfSome(options, w, r, 6)
	},
	"leastLoaded": leastLoaded,
	"sticky":      sticky,
	"random": func(options []route.Option, _ route.Work, r *rand.Rand) int {
		return r.IntN(len(options))
	},
}

// leastLoaded selects the target with the smallest sum of this host's own
// requests and the reported ones.
func leastLoaded(options []route.Option, _ route.Work, r *rand.Rand) int {
	best := r.IntN(len(options))
	for i, o := range options {
		if o.InFlight+o.Running < options[best].InFlight+options[best].Running {
			best = i
		}
	}
	return best
}

// sticky selects a target by rendezvous hashing of the shared prefix and the
// target, regardless of load.
func sticky(options []route.Option, w route.Work, _ *rand.Rand) int {
	best, weight := 0, uint64(0)
	for i, o := range options {
		if x := xxhash.Sum64String(w.AffinityKey + "/" + string(o.ID)); x >= weight {
			best, weight = i, x
		}
	}
	return best
}

// expectedOfSome is the production policy on n random targets.
func expectedOfSome(options []route.Option, w route.Work, r *rand.Rand, n int) int {
	order := r.Perm(len(options))[:min(n, len(options))]
	some := make([]route.Option, len(order))
	for k, i := range order {
		some[k] = options[i]
	}
	return order[route.Place(some, w, route.DefaultPlacementCosts, r.IntN)]
}
