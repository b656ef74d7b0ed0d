package trial

import (
	"container/list"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Engine describes the performance of an inference engine.
type Engine struct {
	// Slots is the maximum batch size; further requests wait in FIFO order.
	Slots int
	// CacheTokens is the capacity of the prompt cache, which stores prompts and
	// answers.
	CacheTokens types.Tokens
	// StepTime is the duration of a decoding step with one running request, and
	// StepTimePerRequest what each further running request adds to it.
	StepTime, StepTimePerRequest time.Duration
	// PrefillRate is the number of prompt tokens that are prefilled per
	// millisecond, and PrefillChunk the maximum number in one step.
	PrefillRate  float64
	PrefillChunk types.Tokens
}

// turn is one request on an engine.
type turn struct {
	program      *program
	host         *host
	suffixTokens types.Tokens // size of the prompt after the shared prefix
	answerTokens types.Tokens // tokens to generate

	sentAt, firstTokenAt time.Duration
	prefillLeft          types.Tokens
	generated            types.Tokens
	reported             bool // its host has the load report of the response head
}

// engine is the state of one simulated engine.
type engine struct {
	cfg      *Engine
	id       types.TargetID
	zone     int
	slowdown float64 // factor on the duration of every step; 1 is normal
	noise    float64 // further factor, for a short time; 1 is normal
	running  []*turn
	waiting  []*turn
	cache    cache
	stepping bool // a step is in progress

	prefilled, prefilledShared types.Tokens
}

// load returns the number of running and queued requests.
func (e *engine) load() int { return len(e.running) + len(e.waiting) }

// admit moves queued requests into free slots and adds their prompts to the
// cache.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.prefillLeft = e.countPrefill(t)
		e.cache.put(cacheKey{prefix: t.program.prefix}, t.program.prefixTokens)
		e.cache.put(cacheKey{program: t.program.id}, t.suffixTokens)
		e.running = append(e.running, t)
	}
}

// countPrefill returns how many tokens of t's prompt are not cached, and adds
// them to the engine's prefill counters.
func (e *engine) countPrefill(t *turn) types.Tokens {
	shared := t.program.prefixTokens - e.cache.size(cacheKey{prefix: t.program.prefix})
	if shared > 0 {
		e.prefilled += shared + t.suffixTokens
		e.prefilledShared += shared
		return shared + t.suffixTokens // A cached suffix is useless without its prefix.
	}
	suffix := max(0, t.suffixTokens-e.cache.size(cacheKey{program: t.program.id}))
	e.prefilled += suffix
	return suffix
}

// step admits requests and runs one decoding step. It returns the duration of
// the step, 0 if the engine is idle, and the requests that finish with it.
func (e *engine) step(now time.Duration) (took time.Duration, finished []*turn) {
	e.admit()
	if len(e.running) == 0 {
		return 0, nil
	}
	took = e.cfg.StepTime + time.Duration(len(e.running)-1)*e.cfg.StepTimePerRequest
	chunk := e.cfg.PrefillChunk
	left := e.running[:0]
	for _, t := range e.running {
		if t.prefillLeft > 0 {
			n := min(chunk, t.prefillLeft)
			chunk -= n
			t.prefillLeft -= n
			took += time.Duration(float64(n) / e.cfg.PrefillRate * float64(time.Millisecond))
			left = append(left, t)
			continue
		}
		t.generated++
		if t.generated == 1 {
			t.firstTokenAt = now
		}
		if t.generated >= t.answerTokens {
			e.cache.put(cacheKey{program: t.program.id}, t.suffixTokens+t.answerTokens)
			finished = append(finished, t)
			continue
		}
		left = append(left, t)
	}
	e.running = left
	return time.Duration(float64(took) * e.slowdown * e.noise), finished
}

// cacheKey identifies a cache entry: either a shared prefix or the tokens of one
// program after its prefix. The other field is 0.
type cacheKey struct{ prefix, program int }

// cache is an LRU cache with its capacity in tokens. Eviction always keeps the
// most recently used entry, even if that alone exceeds the capacity.
type cache struct {
	capacity types.Tokens
	used     types.Tokens
	order    *list.List // of *cacheEntry, most recently used first
	entries  map[cacheKey]*list.Element
}

type cacheEntry struct {
	cacheKey
	size types.Tokens
}

func newCache(capacity types.Tokens) cache {
	return cache{capacity: capacity, order: list.New(), entries: map[cacheKey]*list.Element{}}
}

// size returns the number of tokens cached for key, 0 if there is no entry.
func (c *cache) size(key cacheKey) types.Tokens {
	if e := c.entries[key]; e != nil {
		return e.Value.(*cacheEntry).size
	}
	return 0
}

// put inserts or resizes an entry, marks it as most recently used, and evicts the
// least recently used entries that exceed the capacity.
func (c *cache) put(key cacheKey, size types.Tokens) {
	if e := c.entries[key]; e != nil {
		entry := e.Value.(*cacheEntry)
		c.used += size - entry.size
		entry.size = size
		c.order.MoveToFront(e)
	} else {
		c.entries[key] = c.order.PushFront(&cacheEntry{key, size})
		c.used += size
	}
	for c.used > c.capacity && c.order.Len() > 1 {
		e := c.order.Back()
		entry := c.order.Remove(e).(*cacheEntry)
		c.used -= entry.size
		delete(c.entries, entry.cacheKey)
	}
}
