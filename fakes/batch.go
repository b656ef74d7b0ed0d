package fakes

import (
	"container/heap"
	"context"
	"sync"
)

// batch lets a number of calls run at once; the others wait, the highest
// priority first and among equals the oldest.
type batch struct {
	mu      sync.Mutex
	slots   int
	busy    int // 0 <= busy <= slots
	arrived uint64
	waiting waitQueue
}

type waiting struct {
	priority int
	order    uint64
	ready    chan struct{}
	gone     bool // the caller has left
}

// enter waits for a slot and reports false if ctx ended first.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.busy < b.slots {
		b.busy++
		b.mu.Unlock()
		return true
	}
	b.arrived++
	w := &waiting{priority: priority, order: b.arrived, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		return b.giveUp(w)
	}
}

// giveUp takes a call out of the queue, unless it has got a slot meanwhile.
func (b *batch) giveUp(w *waiting) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.ready:
		return true // The caller leaves the slot again.
	default:
		w.gone = true
		return false
	}
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.waiting) > 0 {
		w := heap.Pop(&b.waiting).(*waiting)
		if !w.gone {
			close(w.ready)
			return
		}
	}
	b.busy--
}

func (b *batch) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

func (b *batch) load() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy + len(b.waiting)
}

// waitQueue implements heap.Interface.
type waitQueue []*waiting

// Len returns the number of waiting calls.
func (q waitQueue) Len() int { return len(q) }

// Swap swaps two calls.
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Less reports whether call i goes before call j.
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].order < q[j].order
}

// Push adds a call at the end.
func (q *waitQueue) Push(x any) { *q = append(*q, x.(*waiting)) }

// Pop removes the last call.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
