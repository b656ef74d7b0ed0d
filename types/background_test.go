package types_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// TestBackgroundStartsWorkBesideWait guards against a process that ends by a panic, with all its
// requests in flight, since a request starts background work while the process waits for the
// rest of it.
func TestBackgroundStartsWorkBesideWait(t *testing.T) {
	for range 20_000 {
		var b types.Background
		var started, ran atomic.Int32
		start := func() {
			if b.Go(func() { ran.Add(1) }) {
				started.Add(1)
			}
		}
		var requests errgroup.Group
		start()
		for range 2 {
			requests.Go(func() error {
				start()
				return nil
			})
		}
		b.Wait()
		_ = requests.Wait() // It always returns nil.
		b.Wait()
		if diff := cmp.Diff(started.Load(), ran.Load()); diff != "" {
			t.Fatalf("work that has ended, -started +ended:\n%s", diff)
		}
		if b.Go(func() {}) {
			t.Fatal("work was started after the end")
		}
	}
}

// TestBackgroundWorkStartsMoreBesideWait guards against work that never ends, or is left out,
// since it needs further work while the process waits for it, as a dial that asks other hosts.
func TestBackgroundWorkStartsMoreBesideWait(t *testing.T) {
	var b types.Background
	awaited, ended := make(chan struct{}), make(chan struct{})
	nested := false
	b.Go(func() {
		<-awaited
		inner := make(chan struct{})
		if b.Go(func() { close(inner) }) {
			<-inner
			nested = true
		}
	})
	var waiting errgroup.Group
	waiting.Go(func() error {
		defer close(ended)
		b.Wait()
		return nil
	})
	select {
	case <-ended:
		t.Error("Wait has returned before the work")
	case <-time.After(20 * time.Millisecond):
	}
	close(awaited)
	_ = waiting.Wait() // It always returns nil.
	if !nested {
		t.Error("work in progress could not start more")
	}
	ran := false
	b.GoOrRun(func() { ran = true })
	if !ran {
		t.Error("the caller does not run the work that comes after the end")
	}
}
