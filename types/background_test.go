package types_test

import (
	"sync/atomic"
	"testing"

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
