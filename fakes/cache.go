package fakes

import (
	"container/list"
	"time"
)

// cache keeps the prefixes of programs. Those without a name are not kept.
type cache struct {
	room    int // tokens
	used    int // tokens; used <= room
	entries map[string]*list.Element
	order   *list.List     // of *prefix, the least recently used last
	seen    map[string]int // the longest prefix that each name ever had
	events  []cacheEvent
}

type prefix struct {
	name   string
	tokens int
}

type cacheEvent struct {
	Seq     int       `json:"seq"`
	Hold    string    `json:"hold"`
	Tokens  int       `json:"tokens"` // 0 if the prefix was dropped
	at      time.Time // when it happened
	dropped bool      // it is never published
}

func newCache(room int) cache {
	return cache{room: room, entries: map[string]*list.Element{}, order: list.New(), seen: map[string]int{}}
}

// use returns how much of the name's prefix is cached and how long it ever
// was, and makes it as long as given.
func (c *cache) use(name string, tokens int) (cached, seen int) {
	if name == "" {
		return 0, 0
	}
	cached, seen = c.size(name), c.seen[name]
	c.drop(name)
	c.put(name, tokens)
	return cached, seen
}

func (c *cache) size(name string) int {
	if e := c.entries[name]; e != nil {
		return e.Value.(*prefix).tokens
	}
	return 0
}

func (c *cache) put(name string, tokens int) {
	c.seen[name] = max(c.seen[name], tokens)
	if tokens > c.room {
		return
	}
	for c.used+tokens > c.room {
		c.drop(c.order.Back().Value.(*prefix).name)
	}
	c.entries[name] = c.order.PushFront(&prefix{name: name, tokens: tokens})
	c.used += tokens
	c.note(name, tokens)
}

func (c *cache) drop(name string) {
	e := c.entries[name]
	if e == nil {
		return
	}
	c.used -= e.Value.(*prefix).tokens
	c.order.Remove(e)
	delete(c.entries, name)
	c.note(name, 0)
}

// maxEvents bounds the events that are kept.
const maxEvents = 4096

func (c *cache) note(name string, tokens int) {
	seq := 1
	if n := len(c.events); n > 0 {
		seq = c.events[n-1].Seq + 1
	}
	c.events = append(c.events, cacheEvent{Seq: seq, Hold: name, Tokens: tokens, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}
