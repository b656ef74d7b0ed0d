package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// candidates returns some of the options for a prompt. Hosts hear of each
// other's requests only now and then: if all looked at all targets, all would
// send to the one that was idle last.
func (p Prices) candidates(options []Option, w Work, ranks []float64, draw func(n int) int) []int {
	sound := indices(options, func(o Option) bool { return !o.Failing })
	if len(sound) == 0 {
		sound = indices(options, func(Option) bool { return true })
	}
	var holders, others []int
	for _, i := range sound {
		if 2*options[i].Held >= w.Prompt {
			holders = append(holders, i)
		} else {
			others = append(others, i)
		}
	}
	var list []int
	if len(holders) == 0 { // Hosts that know nothing agree on its homes.
		slices.SortFunc(others, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
		list = append(list, others[:min(p.Holders, len(others))]...)
	} else {
		list = append(list, slices.MaxFunc(holders, func(a, b int) int { return cmp.Compare(options[a].Held, options[b].Held) }))
		list = append(list, drawn(near(options, holders), p.Holders, draw)...)
	}
	list = append(list, drawn(near(options, others), p.Others, draw)...)
	return append(list, sound[draw(len(sound))]) // Its zone may be less busy.
}

// near returns those of a list that are in the zone of this host, or all if none
// is.
func near(options []Option, list []int) []int {
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

// indices returns the places of the options that are to be kept.
func indices(options []Option, keep func(Option) bool) []int {
	var list []int
	for i, o := range options {
		if keep(o) {
			list = append(list, i)
		}
	}
	return list
}

// drawn returns n of a list, some perhaps twice.
func drawn(list []int, n int, draw func(n int) int) []int {
	var chosen []int
	for range min(n, len(list)) {
		chosen = append(chosen, list[draw(len(list))])
	}
	return chosen
}

// homeRanks returns the place of each option in the order of homes. Without a
// home all are equal.
func homeRanks(options []Option, home string) []float64 {
	ranks := make([]float64, len(options))
	if home == "" {
		return ranks
	}
	weights := make([]uint64, len(options))
	order := make([]int, len(options))
	for i, o := range options {
		weights[i] = xxhash.Sum64String(home + "/" + string(o.ID))
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	for rank, i := range order {
		ranks[i] = float64(rank)
	}
	return ranks
}
