package crash

import "math/rand/v2"

// States returns the functions for [Model.LosePower] that bring about the states after a loss of
// power now: all of them if they are at most limit, otherwise those in which everything, nothing,
// everything but one, or one only is lost or torn, and random ones, up to limit or a few more.
func (m *Model) States(r *rand.Rand, limit int) []func(isName bool) Fate {
	writes, names := m.Pending()
	var kinds []bool // isName, in the order in which LosePower asks
	m.mu.Lock()
	for _, n := range m.nodes() {
		for range n.writes {
			kinds = append(kinds, false)
		}
		for range n.changes {
			kinds = append(kinds, true)
		}
	}
	m.mu.Unlock()
	if count := combinations(writes, names, limit); count <= limit {
		return allStates(kinds, count)
	}
	var lists [][]Fate
	add := func(others, one Fate) {
		for i, isName := range kinds {
			if isName && (one == Torn || others == Torn) {
				continue
			}
			list := filled(len(kinds), others)
			list[i] = one
			lists = append(lists, list)
		}
	}
	lists = append(lists, filled(len(kinds), Lost), filled(len(kinds), Kept))
	add(Kept, Lost)
	add(Lost, Kept)
	add(Kept, Torn)
	add(Lost, Torn)
	for len(lists) < limit {
		list := make([]Fate, len(kinds))
		for i, isName := range kinds {
			list[i] = RandomFate(r, isName)
		}
		lists = append(lists, list)
	}
	states := make([]func(bool) Fate, 0, len(lists))
	for _, list := range lists {
		states = append(states, inOrder(list))
	}
	return states
}

// RandomFate returns a random fate of a name or a write.
func RandomFate(r *rand.Rand, isName bool) Fate {
	if isName {
		return Fate(r.IntN(2))
	}
	return Fate(r.IntN(3))
}

// RandomLoss returns a random kind of a loss of power, with a name for messages: one that takes
// all that is not durable, one that takes each write and name by itself, or names only.
func RandomLoss(r *rand.Rand) (name string, fate func(isName bool) Fate) {
	switch r.IntN(3) {
	case 0:
		return "all", func(bool) Fate { return Lost }
	case 1:
		return "each by itself", func(isName bool) Fate { return RandomFate(r, isName) }
	}
	return "names", func(isName bool) Fate {
		if !isName {
			return Kept
		}
		return RandomFate(r, isName)
	}
}

// combinations returns the number of states, or more than limit if it is larger.
func combinations(writes, names, limit int) int {
	count := 1
	for range writes {
		if count *= 3; count > limit {
			return count
		}
	}
	for range names {
		if count *= 2; count > limit {
			return count
		}
	}
	return count
}

// allStates returns count states, which are all there are.
func allStates(kinds []bool, count int) []func(bool) Fate {
	states := make([]func(bool) Fate, 0, count)
	for i := range count {
		list, rest := make([]Fate, len(kinds)), i
		for j, isName := range kinds {
			choices := 3
			if isName {
				choices = 2
			}
			list[j], rest = Fate(rest%choices), rest/choices
		}
		states = append(states, inOrder(list))
	}
	return states
}

func filled(n int, f Fate) []Fate {
	list := make([]Fate, n)
	for i := range list {
		list[i] = f
	}
	return list
}

// inOrder returns a function that returns the fates of a list one after another.
func inOrder(list []Fate) func(bool) Fate {
	i := -1
	return func(bool) Fate {
		i = (i + 1) % len(list)
		return list[i]
	}
}
