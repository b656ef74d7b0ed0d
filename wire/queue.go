package wire

import (
	"slices"
	"sync"
)

// queue holds messages until they are written. Its memory follows the number of messages
// in it, since a host has connections to hundreds of others, most of them idle. It is
// safe for concurrent use by any number of senders and one receiver.
type queue[T any] struct {
	// ready receives a value when the queue may have messages.
	ready chan struct{}
	limit int // of the number of messages
	// maxBytes limits the size of the messages that are queued or being written. A single one
	// may be larger.
	maxBytes int
	// total bounds the size of the messages of all queues. It may be nil.
	total *byteCounter

	mu           sync.Mutex
	items        []queued[T]
	bytes, taken int // size of all messages, and of those that were taken and not yet written
	closed       bool
}

// queued is a message and its size.
type queued[T any] struct {
	message T
	size    int
}

// keptCapacity is up to which capacity an empty queue keeps its memory.
const keptCapacity = 16

func newQueue[T any](limit, maxBytes int) *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1), limit: limit, maxBytes: maxBytes}
}

// put adds a message of the given size. It never blocks and returns false if the queue is
// full.
func (q *queue[T]) put(item T, size int) bool {
	q.mu.Lock()
	full := q.closed || len(q.items) >= q.limit || q.bytes > 0 && q.bytes+size > q.maxBytes || !q.takeTotal(size)
	if !full {
		q.items = append(q.items, queued[T]{item, size})
		q.bytes += size
	}
	q.mu.Unlock()
	if full {
		return false
	}
	select {
	case q.ready <- struct{}{}:
	default: // The receiver has not taken the last value yet.
	}
	return true
}

// takeTotal counts a message in the total.
func (q *queue[T]) takeTotal(size int) bool {
	if q.total == nil {
		return true
	}
	reserve := int64(0)
	if size <= smallMessageBytes {
		reserve = q.total.limit.Load() / queueReserve
	}
	return q.total.take(int64(size), reserve)
}

// close drops all messages. Further ones are refused.
func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.total != nil {
		q.total.release(int64(q.bytes))
	}
	q.items, q.bytes, q.taken = nil, 0, 0
}

// take removes and returns the first messages, in order, until they have batchBytes together. They count
// until reuse is called. The others can still be dropped.
func (q *queue[T]) take(batchBytes int) []queued[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		return nil // What reuse has kept stays.
	}
	n := 0
	for ; n < len(q.items) && q.taken < batchBytes; n++ {
		q.taken += q.items[n].size
	}
	items := q.items[:n]
	if q.items = q.items[n:]; len(q.items) == 0 {
		q.items = nil
	}
	return items
}

// drop removes the first message for which match returns true, unless it was taken, and reports whether it has.
func (q *queue[T]) drop(match func(T) bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.items, func(m queued[T]) bool { return match(m.message) })
	if i < 0 {
		return false
	}
	size := q.items[i].size
	q.items = slices.Delete(q.items, i, i+1)
	q.bytes -= size
	if q.total != nil {
		q.total.release(int64(size))
	}
	return true
}

// reuse records that taken messages are no longer used, and gives their memory back, if it
// is small and not needed.
func (q *queue[T]) reuse(items []queued[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.total != nil {
		q.total.release(int64(q.taken))
	}
	q.bytes, q.taken = q.bytes-q.taken, 0
	clear(items)
	if q.items == nil && cap(items) <= keptCapacity {
		q.items = items[:0]
	}
}
