package turns

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// missingTurn is a turn that has not been fetched yet.
type missingTurn struct {
	bytes   int
	age     time.Duration // the lowest of its sources
	sources []StoreID
	// requested is set while a request for the turn is under way that is not late.
	requested bool
	fetcher   StoreID // that fetches it, or ownCopy
}

// addMissing adds the listed turns that the index lacks, and marks the others
// as used. The caller must hold the lock of the index.
func (c *shardCopy) addMissing(x *index, now types.Mono, source StoreID, list []ListedTurn) {
	for _, t := range list {
		key, age := turnKey{t.Account, t.ID}, max(0, t.Age)
		if x.turns[key] != nil {
			x.markUsed(key, now.Add(-age))
			continue
		}
		m := c.missing[key]
		if m == nil {
			m = &missingTurn{bytes: t.Bytes, age: age}
			c.missing[key] = m
		}
		m.age = min(m.age, age)
		m.sources = append(m.sources, source)
	}
}

// removeReplicated removes the turns that a majority of the given stores has listed.
func (c *shardCopy) removeReplicated(stores []StoreID) {
	for key, m := range c.missing {
		if majority(stores, func(id StoreID) bool { return slices.Contains(m.sources, id) }) {
			delete(c.missing, key)
		}
	}
}

// copyRisk is how many times likelier it is, roughly, that the next stores to be lost have all that is
// left of a turn, for each store less that has it: 8 if the next two of nine stores are lost.
const copyRisk = 8

// sortMissing sorts the turns in the order in which they are fetched: by how likely it is that they are
// lost with the next stores and that a caller would have continued them. Callers continue those that
// were used last.
func (c *shardCopy) sortMissing() {
	weight := func(key turnKey) float64 {
		m := c.missing[key]
		return float64(m.age+recentAge) * math.Pow(copyRisk, float64(len(m.sources)))
	}
	c.order = slices.SortedFunc(maps.Keys(c.missing), func(a, b turnKey) int { return cmp.Compare(weight(a), weight(b)) })
}

// recentAge is the age up to which turns differ little in how likely it is that they are continued.
const recentAge = time.Second

// missingBytes returns the size of the turns that are missing.
func (c *shardCopy) missingBytes() int64 {
	var sum int64
	for _, m := range c.missing {
		sum += int64(m.bytes)
	}
	return sum
}

// removeSource records that a source lacks a turn.
func (c *shardCopy) removeSource(key turnKey, source StoreID) {
	if m := c.missing[key]; m != nil {
		m.sources = slices.DeleteFunc(m.sources, func(id StoreID) bool { return id == source })
		if len(m.sources) == 0 {
			delete(c.missing, key)
		}
	}
}
