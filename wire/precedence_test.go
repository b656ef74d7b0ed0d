package wire_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

// TestRequestsPrecedeThoseWithLowPrecedence guards against turns that continue others and are refused, while first turns are
// served, by a store whose memory for requests is taken by large turns, or by the requests of first turns.
func TestRequestsPrecedeThoseWithLowPrecedence(t *testing.T) {
	for _, crowd := range []struct {
		name     string
		requests int
		bytes    int
		low      bool
	}{{"large requests", 1, 5 << 20, false}, {"first turns", 1500, 100, true}} {
		t.Run(crowd.name, func(t *testing.T) {
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			var g errgroup.Group
			defer func() {
				release()
				_ = g.Wait() // The goroutines always return nil.
			}()
			s := &wire.Server{Budget: wire.NewBudget(crowdMemory)}
			wire.Handle(s, blob, func(_ context.Context, q blobRequest) ([]byte, error) {
				if q.Reply > 0 {
					<-hold
				}
				return nil, nil
			})
			server := httptest.NewServer(s)
			t.Cleanup(server.Close)
			l := startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(server.URL, "http://"))
			waitConnected(t, l)
			low := wire.WithLowPrecedence(t.Context())
			for range crowd.requests {
				ctx := t.Context()
				if crowd.low {
					ctx = low
				}
				g.Go(func() error {
					_, _ = wire.Call[blobRequest, []byte](ctx, l, blob, blobRequest{Bytes: make([]byte, crowd.bytes), Reply: 1})
					return nil
				})
			}
			small := blobRequest{Bytes: make([]byte, 100)}
			for deadline := time.Now().Add(10 * time.Second); ; { // Until the memory is taken.
				if _, err := wire.Call[blobRequest, []byte](low, l, blob, small); err != nil {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("the crowd does not take the memory")
				}
			}
			for range 100 {
				if _, err := wire.Call[blobRequest, []byte](t.Context(), l, blob, small); err != nil {
					t.Fatalf("a request without low precedence: %v", err)
				}
			}
		})
	}
}
