package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sampleOptions returns the indices of the options to compare for a prompt,
// possibly with repetitions. Targets that are failing or would exceed their memory are
// among them only if all targets are. Hosts exchange their load reports only periodically: if every host
// compared all targets, all of them would send to the target that was last
// reported idle.
func (p PlacementCosts) sampleOptions(options []Option, w Work, ranks []float64, intN func(n int) int) []int {
	healthy := indices(options, func(o *Option) bool { return !o.Failing && o.excess(&w) <= 0 })
	if len(healthy) == 0 {
		healthy = indices(options, func(*Option) bool { return true })
	}
	var cached []int
	uncached := make([]int, 0, len(healthy))
	for _, i := range healthy {
		if 2*options[i].Cached >= w.Prompt {
			cached = append(cached, i)
		} else {
			uncached = append(uncached, i)
		}
	}
	var selected []int
	if len(cached) == 0 { // Hosts without cache information agree on these targets.
		slices.SortFunc(uncached, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
		selected = append(selected, uncached[:min(p.CachedSamples, len(uncached))]...)
	} else {
		selected = append(selected, slices.MaxFunc(cached, func(a, b int) int { return cmp.Compare(options[a].Cached, options[b].Cached) }))
		selected = append(selected, sample(preferSameZone(options, cached), p.CachedSamples, intN)...)
	}
	selected = append(selected, sample(preferSameZone(options, uncached), p.UncachedSamples, intN)...)
	return append(selected, healthy[intN(len(healthy))]) // Another zone may be less loaded.
}

// preferSameZone returns the indices in list whose options are in the zone of
// this host, or all of list if there are none.
func preferSameZone(options []Option, list []int) []int {
	var same []int
	for _, i := range list {
		if options[i].SameZone {
			same = append(same, i)
		}
	}
	if len(same) == 0 {
		return list
	}
	return same
}

// indices returns the indices of the options for which keep returns true.
func indices(options []Option, keep func(*Option) bool) []int {
	kept := make([]int, 0, len(options))
	for i := range options {
		if keep(&options[i]) {
			kept = append(kept, i)
		}
	}
	return kept
}

// sample draws min(n, len(list)) elements of list, with replacement.
func sample(list []int, n int, intN func(n int) int) []int {
	var chosen []int
	for range min(n, len(list)) {
		chosen = append(chosen, list[intN(len(list))])
	}
	return chosen
}

// rendezvousRanks returns the rank of each option in the rendezvous hashing order
// of key, 0 being the first. Without a key all ranks are 0.
func rendezvousRanks(options []Option, key string) []float64 {
	ranks := make([]float64, len(options))
	if key == "" {
		return ranks
	}
	weights := make([]uint64, len(options))
	order := make([]int, len(options))
	text := append(make([]byte, 0, len(key)+64), key+"/"...)
	for i := range options {
		weights[i] = xxhash.Sum64(append(text[:len(key)+1], options[i].ID...))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	for rank, i := range order {
		ranks[i] = float64(rank)
	}
	return ranks
}
