package turns

import (
	"container/list"
	"sync"

	"github.com/banyanspur/banyanspur/types"
)

// cache is an LRU cache of turns. Turns are immutable, so an entry is never
// stale. The zero value is an empty cache that is ready to use. It is safe for
// concurrent use.
type cache struct {
	mu       sync.Mutex
	elements map[turnKey]*list.Element
	lru      list.List // of Turn, most recently used first
	bytes    int       // total memoryBytes of the turns in lru
}

func (c *cache) get(account types.AccountID, id TurnID) (Turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elements[turnKey{account, id}]
	if e == nil {
		return Turn{}, false
	}
	c.lru.MoveToFront(e)
	return e.Value.(Turn), true
}

// put adds a turn, then evicts the least recently used turns until the cache
// takes at most maxBytes.
func (c *cache) put(t Turn, maxBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.elements == nil {
		c.elements = map[turnKey]*list.Element{}
	}
	key := turnKey{t.Account, t.ID}
	if e := c.elements[key]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.elements[key] = c.lru.PushFront(t)
	c.bytes += t.memoryBytes()
	for c.bytes > maxBytes {
		evicted := c.lru.Remove(c.lru.Back()).(Turn)
		delete(c.elements, turnKey{evicted.Account, evicted.ID})
		c.bytes -= evicted.memoryBytes()
	}
}

// turnOverheadBytes is the memory that a cached turn takes in addition to its
// input and output.
const turnOverheadBytes = 300

// memoryBytes returns the memory that the turn takes in the cache.
func (t Turn) memoryBytes() int { return len(t.Input) + len(t.Output) + turnOverheadBytes }
