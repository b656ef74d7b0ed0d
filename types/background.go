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
	group errgroup.Group
	// running counts the functions that have not returned.
	running int
	// awaited is set by Wait. From then on, group gets no more work once running is 0.
	awaited bool
	idle    chan struct{} // closed when running becomes 0; nil if no Wait is blocked
}

// Go runs fn in a goroutine, and reports whether it does: not after all work that Wait was called
// for has ended. Until then, work may start more work, and Wait waits for that, too.
func (b *Background) Go(fn func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.awaited && b.running == 0 {
		return false
	}
	b.running++
	b.group.Go(func() error {
		defer b.end()
		fn()
		return nil
	})
	return true
}

// GoOrRun is like Go, but calls fn itself if no more work is started.
func (b *Background) GoOrRun(fn func()) {
	if !b.Go(fn) {
		fn()
	}
}

func (b *Background) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	if b.running == 0 && b.idle != nil {
		close(b.idle)
		b.idle = nil
	}
}

// Wait waits until all work has ended. No more work is started from then on.
func (b *Background) Wait() {
	b.mu.Lock()
	b.awaited = true
	if b.running > 0 && b.idle == nil {
		b.idle = make(chan struct{})
	}
	idle := b.idle
	b.mu.Unlock()
	if idle != nil {
		<-idle
	}
	_ = b.group.Wait() // The functions always return nil, and no more are added.
}
