package wire

import "sync"

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
	items        []T
	bytes, taken int // size of all messages, and of those that were taken and not yet written
	closed       bool
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
		q.items = append(q.items, item)
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

// take removes and returns all messages, in order. They count until reuse is called.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items, q.taken = nil, q.bytes
	return items
}

// reuse records that taken messages are no longer used, and gives their memory back, if it
// is small and not needed.
func (q *queue[T]) reuse(items []T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.total != nil {
		q.total.release(int64(q.taken))
	}
	q.bytes, q.taken = q.bytes-q.taken, 0
	if cap(items) > keptCapacity {
		return
	}
	clear(items)
	if q.items == nil {
		q.items = items[:0]
	}
}
