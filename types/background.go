package types

import (
	"sync"

	"golang.org/x/sync/errgroup"
)

// Background runs work that outlives the request which has caused it. Unlike with an
// [errgroup.Group], Go may be called while another goroutine is in Wait: a WaitGroup that is used
// like that may panic, which ends the process. The zero value is ready to use. It is safe for
// concurrent use.
type Background struct {
	mu    sync.Mutex
	ended bool // Wait was called, so that group gets no more work
	group errgroup.Group
}

// Go runs fn in a goroutine, and reports whether it does. After a call of Wait, it does not.
func (b *Background) Go(fn func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.group.Go(func() error {
		fn()
		return nil
	})
	return true
}

// Wait waits until all work has ended. No more work is started from then on.
func (b *Background) Wait() {
	b.mu.Lock()
	b.ended = true
	b.mu.Unlock()
	_ = b.group.Wait() // The functions always return nil.
}
