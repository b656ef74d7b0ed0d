package turns

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// StoreID identifies a store. It is generated at random when the store's
// directory is created, so a store that has lost its directory is never taken
// for the one that it was before.
type StoreID string

// Epoch counts the changes to the set of stores of one shard.
type Epoch uint64

// Member is a store's entry in the [Map], with the address at which it is
// reached.
type Member struct {
	ID      StoreID      `json:"id"`
	Host    types.HostID `json:"host"`
	Zone    types.ZoneID `json:"zone"`
	Address string       `json:"address"`
}

// Placement lists the stores to which a shard is assigned.
type Placement struct {
	Epoch Epoch `json:"epoch"`
	// Current lists the current stores. Every acknowledged write is on a majority
	// of them.
	Current []StoreID `json:"now"`
	// Next lists the stores to which the shard is moving. It is empty unless a
	// move is in progress, during which writes need a majority of both lists.
	Next []StoreID `json:"next,omitempty"`
	// ReformedAt is when the shard was last formed anew from the stores that were left
	// after a majority had lost their disks, or 0. Turns that were acknowledged before may
	// be on no store then, so that no turn counts as missing. It is 0 again once these
	// turns would have expired.
	ReformedAt types.LogTime `json:"reformedAt,omitempty"`
}

// All returns the stores of both lists without duplicates.
func (p Placement) All() []StoreID {
	all := slices.Clone(p.Current)
	for _, id := range p.Next {
		if !slices.Contains(all, id) {
			all = append(all, id)
		}
	}
	return all
}

// HasQuorum reports whether the stores for which replied returns true include a
// majority of each list. A write needs it, and so does the proof that there was
// no write: if stores that all have this placement's epoch lack a record, no
// acknowledged write contains it. During a move that proof needs a majority of
// Next too, because the move may have ended on other stores, whose later writes
// are only on Next.
func (p Placement) HasQuorum(replied func(StoreID) bool) bool {
	return majority(p.Current, replied) && (len(p.Next) == 0 || majority(p.Next, replied))
}

// HasCopyQuorum reports whether the stores for which replied returns true
// include a majority of the current stores. Every write that was acknowledged
// before the move began is then on at least one of them.
func (p Placement) HasCopyQuorum(replied func(StoreID) bool) bool {
	return majority(p.Current, replied)
}

// mayLackTurns reports whether turns that were acknowledged less than the retention ago
// may be on no store.
func (m *Map) mayLackTurns() bool {
	return m != nil && slices.ContainsFunc(m.Shards, func(p Placement) bool { return p.ReformedAt != 0 })
}

// majority reports whether replied returns true for more than half of ids.
func majority(ids []StoreID, replied func(StoreID) bool) bool {
	n := 0
	for _, id := range ids {
		if replied(id) {
			n++
		}
	}
	return n > len(ids)/2
}

// Map is the shard map: it lists all stores and assigns shards to them. The zero
// value has no stores.
type Map struct {
	Members map[StoreID]Member `json:"members,omitempty"`
	Shards  []Placement        `json:"shards,omitempty"` // empty or of length ShardCount
}

// member returns the entry of a store. ok is false if there is none, or no map.
func (m *Map) member(id StoreID) (member Member, ok bool) {
	if m == nil {
		return Member{}, false
	}
	member, ok = m.Members[id]
	return member, ok
}

// Placement returns the placement of a shard. It is empty if m is nil or no
// stores are assigned yet.
func (m *Map) Placement(s Shard) Placement {
	if m == nil || int(s) >= len(m.Shards) {
		return Placement{}
	}
	return m.Shards[s]
}

// IsAssigned reports whether any shard is assigned to the store or is moving to
// it.
func (m *Map) IsAssigned(id StoreID) bool {
	for _, p := range m.Shards {
		if slices.Contains(p.Current, id) || slices.Contains(p.Next, id) {
			return true
		}
	}
	return false
}

// Candidate is a store to which shards may be assigned.
type Candidate struct {
	Member
	// Live is set while the store responds.
	Live bool
}

// ReplicaCount returns how many replicas of a shard are needed to tolerate the
// given number of lost stores. If there are too few stores for that, it returns
// the largest odd number that they allow, or 0 if there are none.
func ReplicaCount(losses, stores int) int {
	n := min(2*losses+1, stores)
	if n%2 == 0 {
		n--
	}
	return max(n, 0)
}

// ChooseStores returns the stores that a shard should be assigned to, sorted by
// ID. It prefers the live stores in current, then other live stores, then stores
// in current that are not live, and among equal ones those that spread the shard
// over the most zones. With spread, live stores of a zone that would hold a majority
// come after all other live ones, so that the shard survives the loss of any zone.
// It is deterministic.
func ChooseStores(s Shard, current []StoreID, candidates []Candidate, replicas int, spread bool) []StoreID {
	zones := map[types.ZoneID]int{}
	full := func(c Candidate) bool { return spread && zones[c.Zone] >= (replicas-1)/2 }
	hash := func(c Candidate) uint64 { return xxhash.Sum64String(string(c.ID) + "/" + string(rune('A'+s))) }
	priority := func(c Candidate) int {
		switch assigned := slices.Contains(current, c.ID); {
		case c.Live && full(c) && assigned:
			return 2
		case c.Live && full(c):
			return 3
		case assigned && c.Live:
			return 0
		case c.Live:
			return 1
		case assigned:
			return 4
		}
		return 5
	}
	remaining := slices.Clone(candidates)
	var chosen []StoreID
	for len(chosen) < replicas && len(remaining) > 0 {
		best := slices.MinFunc(remaining, func(a, b Candidate) int {
			return cmp.Or(cmp.Compare(priority(a), priority(b)), cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(hash(a), hash(b)))
		})
		chosen = append(chosen, best.ID)
		zones[best.Zone]++
		remaining = slices.DeleteFunc(remaining, func(c Candidate) bool { return c.ID == best.ID })
	}
	slices.Sort(chosen)
	return chosen
}
