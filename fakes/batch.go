package fakes

import (
	"container/heap"
	"context"
	"sync"
)

// batch limits the number of concurrent calls. Further calls wait in a queue,
// ordered by descending priority and then by arrival.
type batch struct {
	mu        sync.Mutex
	slots     int
	usedSlots int    // 0 <= usedSlots <= slots
	enqueued  uint64 // number of calls ever enqueued
	queue     waitQueue
}

type waitingCall struct {
	priority int
	sequence uint64
	ready    chan struct{} // closed when the call gets a slot
	canceled bool          // the caller has given up
}

// acquire waits for a slot and reports false if ctx ended first.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.usedSlots < b.slots {
		b.usedSlots++
		b.mu.Unlock()
		return true
	}
	b.enqueued++
	w := &waitingCall{priority: priority, sequence: b.enqueued, ready: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return b.cancelWait(w)
	}
}

// cancelWait marks a waiting call as canceled and returns false. It returns true
// if the call has got a slot in the meantime.
func (b *batch) cancelWait(w *waitingCall) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.ready:
		return true // The caller releases the slot.
	default:
		w.canceled = true
		return false
	}
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.queue) > 0 {
		w := heap.Pop(&b.queue).(*waitingCall)
		if !w.canceled {
			close(w.ready)
			return
		}
	}
	b.usedSlots--
}

func (b *batch) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedSlots
}

func (b *batch) inFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedSlots + len(b.queue)
}

// waitQueue implements heap.Interface.
type waitQueue []*waitingCall

// Len returns the number of waiting calls.
func (q waitQueue) Len() int { return len(q) }

// Swap swaps two calls.
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Less reports whether call i runs before call j.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}

// Push adds a call at the end.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*waitingCall)) }

// Pop removes the last call.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
