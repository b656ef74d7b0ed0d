package turns

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// StoreID names one copy's identity. It is drawn at random when a store's
// folder is made, so that a lost folder never counts as what it was.
type StoreID string

// Epoch numbers the changes of one shard's stores.
type Epoch uint64

// Member is a store as others reach it.
type Member struct {
	ID      StoreID      `json:"id"`
	Host    types.HostID `json:"host"`
	Zone    types.ZoneID `json:"zone"`
	Address string       `json:"address"`
}

// Placement tells which stores carry a shard.
type Placement struct {
	Epoch Epoch `json:"epoch"`
	// Now lists the stores that hold everything that was acknowledged.
	Now []StoreID `json:"now"`
	// Next lists the stores of a move under way, or is empty. Writers then
	// need a majority of both lists.
	Next []StoreID `json:"next,omitempty"`
}

// All returns the stores of both lists, each once.
func (p Placement) All() []StoreID {
	all := slices.Clone(p.Now)
	for _, id := range p.Next {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// Enough reports whether the stores in got are a majority of each list.
func (p Placement) Enough(got func(StoreID) bool) bool {
	return majority(p.Now, got) && (len(p.Next) == 0 || majority(p.Next, got))
}

// EnoughToDeny reports whether the stores in got, which hold everything, are a
// majority of those that do.
func (p Placement) EnoughToDeny(got func(StoreID) bool) bool { return majority(p.Now, got) }

func majority(ids []StoreID, got func(StoreID) bool) bool {
	n := 0
	for _, id := range ids {
		if got(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// Map tells which stores there are and what they carry. The zero value has no
// stores.
type Map struct {
	Members map[StoreID]Member `json:"members,omitempty"`
	Shards  []Placement        `json:"shards,omitempty"` // empty or of length Shards
}

// Placement returns the placement of a shard; it is empty if there are no
// stores yet.
func (m *Map) Placement(s Shard) Placement {
	if m == nil || int(s) >= len(m.Shards) {
		return Placement{}
	}
	return m.Shards[s]
}

// Carries reports whether any shard names the store.
func (m *Map) Carries(id StoreID) bool {
	for _, p := range m.Shards {
		if slices.Contains(p.Now, id) || slices.Contains(p.Next, id) {
			return true
		}
	}
	return false
}

// Candidate is a store that may carry shards.
type Candidate struct {
	Member
	// Live is set while the store answers.
	Live bool
}

// Copies returns how many stores carry a shard if the given number of losses
// is to be borne and that many stores are there.
func Copies(losses, stores int) int {
	n := min(2*losses+1, stores)
	if n%2 == 0 {
		n--
	}
	return max(n, 0)
}

// Choose returns the stores that should carry a shard: those that carry it
// already as long as they are live, then the ones that spread it over the most
// zones. Equal inputs give equal outputs.
func Choose(s Shard, now []StoreID, from []Candidate, copies int) []StoreID {
	rank := func(c Candidate) uint64 { return xxhash.Sum64String(string(c.ID) + "/" + string(rune('A'+s))) }
	class := func(c Candidate) int {
		switch carries := slices.Contains(now, c.ID); {
		case carries && c.Live:
			return 0
		case c.Live:
			return 1
		case carries:
			return 2
		}
		return 3
	}
	rest := slices.Clone(from)
	var chosen []StoreID
	zones := map[types.ZoneID]int{}
	for len(chosen) < copies && len(rest) > 0 {
		best := slices.MinFunc(rest, func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(rank(a), rank(b)))
		})
		chosen = append(chosen, best.ID)
		zones[best.Zone]++
		rest = slices.DeleteFunc(rest, func(c Candidate) bool { return c.ID == best.ID })
	}
	slices.Sort(chosen)
	return chosen
}
