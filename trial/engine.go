package trial

import (
	"container/list"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Engine is how a model engine behaves.
type Engine struct {
	// Slots is how many requests run at once; further ones wait in their order.
	Slots int
	// Memory is how many tokens of prompts and answers it keeps.
	Memory types.Tokens
	// Step is how long a token takes on an idle engine, and Beside how much longer
	// for each further request that runs.
	Step, Beside time.Duration
	// ReadRate is how many prompt tokens it reads in a millisecond, and Chunk how
	// many between two tokens of the others.
	ReadRate float64
	Chunk    types.Tokens
}

// turn is one request on an engine.
type turn struct {
	program *program
	host    *host
	own     types.Tokens // the size of its prompt behind the shared part
	answer  types.Tokens // tokens to generate

	sent, first time.Duration
	unread      types.Tokens
	made        types.Tokens
}

// engine is the state of one engine.
type engine struct {
	kind    *Engine
	id      types.TargetID
	zone    int
	pace    float64 // 1 is usual; a slower engine has more
	running []*turn
	waiting []*turn
	cache   cache
	busy    bool // a step is under way

	read, reread types.Tokens
}

func (e *engine) load() int { return len(e.running) + len(e.waiting) }

// admit fills free slots.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.kind.Slots {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.unread = e.missing(t)
		e.cache.use(part{shared: t.program.part}, t.program.shared)
		e.cache.use(part{program: t.program.id}, t.own)
		e.running = append(e.running, t)
	}
}

// missing returns how much of a prompt has to be read.
func (e *engine) missing(t *turn) types.Tokens {
	shared := t.program.shared - e.cache.size(part{shared: t.program.part})
	if shared > 0 {
		e.read += shared + t.own
		e.reread += shared
		return shared + t.own // What follows a part that is missing is of no use.
	}
	own := max(0, t.own-e.cache.size(part{program: t.program.id}))
	e.read += own
	return own
}

// step lets one token time pass and returns how long it took and which requests
// have ended.
func (e *engine) step(now time.Duration) (took time.Duration, ended []*turn) {
	e.admit()
	if len(e.running) == 0 {
		return 0, nil
	}
	took = e.kind.Step + time.Duration(len(e.running)-1)*e.kind.Beside
	chunk := e.kind.Chunk
	left := e.running[:0]
	for _, t := range e.running {
		if t.unread > 0 {
			n := min(chunk, t.unread)
			chunk -= n
			t.unread -= n
			took += time.Duration(float64(n) / e.kind.ReadRate * float64(time.Millisecond))
			left = append(left, t)
			continue
		}
		t.made++
		if t.made == 1 {
			t.first = now
		}
		if t.made >= t.answer {
			e.cache.use(part{program: t.program.id}, t.own+t.answer)
			ended = append(ended, t)
			continue
		}
		left = append(left, t)
	}
	e.running = left
	return time.Duration(float64(took) * e.pace), ended
}

// part names what an engine keeps: a shared part, or what belongs to a program.
type part struct{ shared, program int }

// cache keeps the parts that were used most recently.
type cache struct {
	room  types.Tokens
	used  types.Tokens
	order *list.List // of kept, the one used last in front
	of    map[part]*list.Element
}

type kept struct {
	part
	size types.Tokens
}

func newCache(room types.Tokens) cache {
	return cache{room: room, order: list.New(), of: map[part]*list.Element{}}
}

func (c *cache) size(p part) types.Tokens {
	if e := c.of[p]; e != nil {
		return e.Value.(*kept).size
	}
	return 0
}

// use makes a part the one used last and drops others that do not fit any more.
func (c *cache) use(p part, size types.Tokens) {
	if e := c.of[p]; e != nil {
		k := e.Value.(*kept)
		c.used += size - k.size
		k.size = size
		c.order.MoveToFront(e)
	} else {
		c.of[p] = c.order.PushFront(&kept{p, size})
		c.used += size
	}
	for c.used > c.room && c.order.Len() > 1 {
		e := c.order.Back()
		k := c.order.Remove(e).(*kept)
		c.used -= k.size
		delete(c.of, k.part)
	}
}
