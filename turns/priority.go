package turns

import (
	"context"
	"slices"
	"sync"

	"github.com/banyanspur/banyanspur/wire"
)

// slack is the number of stores of a shard that may cease to reply before it has no majority. It is negative if a
// majority does not reply. What is copied of the shard with the least slack goes first: all stores that are left of it must
// reply to each write until its copies end, and the next lost disk takes its majority.
type slack int

// slackOf returns the slack of a shard. A current store counts as replying if self, which asks, is that store or has
// a connection to it, unless it is lost: another store has its address then, to which there is a connection, and the
// shard moves away from it.
func slackOf(m *Map, shard Shard, self StoreID, peers *wire.Pool) slack {
	p := m.Placement(shard)
	replying := 0
	for _, id := range p.Current {
		if id == self || peers.Link(m.Members[id].Address).IsConnected() && (slices.Contains(p.Next, id) || !m.sharesAddress(id)) {
			replying++
		}
	}
	return slack(replying - (len(p.Current)/2 + 1))
}

// sharesAddress reports whether another store has the address of a store.
func (m *Map) sharesAddress(id StoreID) bool {
	for other, member := range m.Members {
		if other != id && member.Address == m.Members[id].Address {
			return true
		}
	}
	return false
}

// slackSemaphore is a weighted semaphore. Among those that wait, the one with the least slack is the next, and among equal
// ones the first. It is safe for concurrent use.
type slackSemaphore struct {
	mu      sync.Mutex
	free    int
	waiting []*slackWaiter // in the order in which they are next
}

type slackWaiter struct {
	slack    slack
	n        int
	acquired chan struct{} // closed once it has acquired n
}

func newSlackSemaphore(size int) *slackSemaphore { return &slackSemaphore{free: size} }

// acquire waits until n are free, which must not be more than the size. It fails if ctx ends before.
func (s *slackSemaphore) acquire(ctx context.Context, of slack, n int) error {
	w := &slackWaiter{slack: of, n: n, acquired: make(chan struct{})}
	s.mu.Lock()
	s.waiting = slices.Insert(s.waiting, indexBySlack(s.waiting, of, func(w *slackWaiter) slack { return w.slack }), w)
	s.grant()
	s.mu.Unlock()
	select {
	case <-w.acquired:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, w)
	if i < 0 { // It has acquired meanwhile.
		s.free += n
	} else {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.grant()
	return ctx.Err()
}

// release ends what acquire has begun.
func (s *slackSemaphore) release(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free += n
	s.grant()
}

// grant lets the next ones acquire as long as there is room. The caller must hold mu.
func (s *slackSemaphore) grant() {
	for len(s.waiting) > 0 && s.waiting[0].n <= s.free {
		s.free -= s.waiting[0].n
		close(s.waiting[0].acquired)
		s.waiting = s.waiting[1:]
	}
}

// indexBySlack returns where an element with a slack is inserted into a list that is sorted by it, after those that
// have the same.
func indexBySlack[T any](list []T, of slack, slackOf func(T) slack) int {
	if i := slices.IndexFunc(list, func(other T) bool { return slackOf(other) > of }); i >= 0 {
		return i
	}
	return len(list)
}
