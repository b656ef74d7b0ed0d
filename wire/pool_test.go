package wire_test

import (
	"context"
	"strconv"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

// TestLinksBesideEndOfPool guards against a process that ends by the panic of a WaitGroup, with
// all its requests in flight, since a request asks for a link while the pool ends.
func TestLinksBesideEndOfPool(t *testing.T) {
	for range 3000 {
		var pool wire.Pool
		ctx, cancel := context.WithCancel(context.Background())
		var running, requests errgroup.Group
		running.Go(func() error { return pool.Run(ctx) })
		pool.Link("")
		for i := range 4 {
			requests.Go(func() error {
				for n := range 4 {
					pool.Link(strconv.Itoa(4*i + n))
				}
				return nil
			})
		}
		cancel()
		_ = running.Wait()  // Run always returns nil.
		_ = requests.Wait() // They always return nil.
		if pool.Link("late").IsConnected() {
			t.Fatal("a link of a pool that has ended is connected")
		}
	}
}
