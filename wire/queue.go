package wire

import "sync"

// queue holds messages until they are written. Its memory follows the number of messages
// in it, since a host has connections to hundreds of others, most of them idle. It is
// safe for concurrent use by any number of senders and one receiver.
type queue[T any] struct {
	// ready receives a value when the queue may have messages.
	ready chan struct{}
	limit int

	mu    sync.Mutex
	items []T
}

// keptCapacity is up to which capacity an empty queue keeps its memory.
const keptCapacity = 16

func newQueue[T any](limit int) *queue[T] {
	return &queue[T]{ready: make(chan struct{}, 1), limit: limit}
}

// put adds a message. It never blocks and returns false if the queue is full.
func (q *queue[T]) put(item T) bool {
	q.mu.Lock()
	full := len(q.items) >= q.limit
	if !full {
		q.items = append(q.items, item)
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

// take removes and returns all messages, in order.
func (q *queue[T]) take() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.items = nil
	return items
}

// reuse gives the memory of taken messages back, if it is small and not needed.
func (q *queue[T]) reuse(items []T) {
	if cap(items) > keptCapacity {
		return
	}
	clear(items)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.items == nil {
		q.items = items[:0]
	}
}
