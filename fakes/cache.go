package fakes

import (
	"container/list"
	"time"
)

// promptCache is an LRU cache of the prefixes of programs. Prefixes with an empty
// key are not cached.
type promptCache struct {
	capacity int // tokens
	used     int // tokens; used <= capacity
	entries  map[string]*list.Element
	lru      *list.List     // of *cachedPrefix, the least recently used last
	longest  map[string]int // the longest prefix that each key ever had, in tokens
	events   []cacheEvent
}

type cachedPrefix struct {
	key    string
	tokens int
}

type cacheEvent struct {
	Seq       int    `json:"seq"`
	Key       string `json:"hold"`
	Tokens    int    `json:"tokens"` // 0 if the prefix was evicted
	createdAt time.Time
	lost      bool // never published
}

func newPromptCache(capacity int) promptCache {
	return promptCache{capacity: capacity, entries: map[string]*list.Element{}, lru: list.New(), longest: map[string]int{}}
}

// update sets the length of the key's prefix. It returns the previous length in
// the cache and the longest one that the key ever had.
func (c *promptCache) update(key string, tokens int) (cached, longest int) {
	if key == "" {
		return 0, 0
	}
	cached, longest = c.cachedTokens(key), c.longest[key]
	c.evict(key)
	c.put(key, tokens)
	return cached, longest
}

func (c *promptCache) cachedTokens(key string) int {
	if e := c.entries[key]; e != nil {
		return e.Value.(*cachedPrefix).tokens
	}
	return 0
}

func (c *promptCache) put(key string, tokens int) {
	c.longest[key] = max(c.longest[key], tokens)
	if tokens > c.capacity {
		return
	}
	for c.used+tokens > c.capacity {
		c.evict(c.lru.Back().Value.(*cachedPrefix).key)
	}
	c.entries[key] = c.lru.PushFront(&cachedPrefix{key: key, tokens: tokens})
	c.used += tokens
	c.recordEvent(key, tokens)
}

func (c *promptCache) evict(key string) {
	e := c.entries[key]
	if e == nil {
		return
	}
	c.used -= e.Value.(*cachedPrefix).tokens
	c.lru.Remove(e)
	delete(c.entries, key)
	c.recordEvent(key, 0)
}

// maxCacheEvents is the maximum number of events that are kept.
const maxCacheEvents = 4096

func (c *promptCache) recordEvent(key string, tokens int) {
	seq := 1
	if n := len(c.events); n > 0 {
		seq = c.events[n-1].Seq + 1
	}
	c.events = append(c.events, cacheEvent{Seq: seq, Key: key, Tokens: tokens, createdAt: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}
