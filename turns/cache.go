package turns

import (
	"container/list"
	"sync"

	"github.com/banyanspur/banyanspur/types"
)

// cache keeps the turns used last. Turns never change, so that nothing in it
// can be stale. The zero value is empty and ready; it is safe for concurrent
// use.
type cache struct {
	mu    sync.Mutex
	turns map[turnKey]*list.Element
	order list.List // of Turn, the most recently used first
	bytes int       // what the turns in order hold
}

func (c *cache) get(account types.AccountID, id TurnID) (Turn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.turns[turnKey{account, id}]
	if e == nil {
		return Turn{}, false
	}
	c.order.MoveToFront(e)
	return e.Value.(Turn), true
}

func (c *cache) put(t Turn, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.turns == nil {
		c.turns = map[turnKey]*list.Element{}
	}
	key := turnKey{t.Account, t.ID}
	if e := c.turns[key]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.turns[key] = c.order.PushFront(t)
	c.bytes += t.size()
	for c.bytes > limit {
		last := c.order.Remove(c.order.Back()).(Turn)
		delete(c.turns, turnKey{last.Account, last.ID})
		c.bytes -= last.size()
	}
}

// turnOverhead is what a turn takes in memory besides input and output, in
// bytes.
const turnOverhead = 300

func (t Turn) size() int { return len(t.Input) + len(t.Output) + turnOverhead }
