package turns

import (
	"container/list"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// cache is an LRU cache of turns. Turns are immutable, so an entry is never
// stale. The zero value is an empty cache that is ready to use. It is safe for
// concurrent use.
type cache struct {
	mu       sync.Mutex
	elements map[turnKey]*list.Element
	lru      list.List // of cachedTurn, most recently used first
	bytes    int       // total memoryBytes of the turns in lru
}

// cachedTurn is a turn in the cache.
type cachedTurn struct {
	Turn
	// writtenAt is when this process wrote the turn, or 0 if it was read from a
	// store and may have been written at any time before.
	writtenAt types.Mono
}

// get returns a turn, however old it is.
func (c *cache) get(account types.AccountID, id TurnID) (Turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elements[turnKey{account, id}]
	if e == nil {
		return Turn{}, false
	}
	c.lru.MoveToFront(e)
	return e.Value.(cachedTurn).Turn, true
}

// getRecent returns a turn that this process wrote no longer than maxAge before
// now.
func (c *cache) getRecent(account types.AccountID, id TurnID, now types.Mono, maxAge time.Duration) (Turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.elements[turnKey{account, id}]
	if e == nil {
		return Turn{}, false
	}
	t := e.Value.(cachedTurn)
	if t.writtenAt == 0 || now.Sub(t.writtenAt) > maxAge {
		return Turn{}, false
	}
	c.lru.MoveToFront(e)
	return t.Turn, true
}

// maxTurnShare is the part of the cache, as one in so many, that a single turn may take. A few
// large turns would displace those of hundreds of programs.
const maxTurnShare = 8

// put adds a turn unless it is too large, then evicts the least recently used turns until the
// cache takes at most maxBytes. writtenAt is 0 unless this process wrote the turn.
func (c *cache) put(t Turn, writtenAt types.Mono, maxBytes int) {
	if t.memoryBytes() > maxBytes/maxTurnShare {
		return
	}
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
	c.elements[key] = c.lru.PushFront(cachedTurn{Turn: t, writtenAt: writtenAt})
	c.bytes += t.memoryBytes()
	for c.bytes > maxBytes {
		evicted := c.lru.Remove(c.lru.Back()).(cachedTurn)
		delete(c.elements, turnKey{evicted.Account, evicted.ID})
		c.bytes -= evicted.memoryBytes()
	}
}

// turnOverheadBytes is the memory that a cached turn takes in addition to its
// input and output.
const turnOverheadBytes = 300

// memoryBytes returns the memory that the turn takes in the cache.
func (t Turn) memoryBytes() int { return t.dataBytes() + turnOverheadBytes }

func (t Turn) dataBytes() int { return len(t.Input) + len(t.Output) }
