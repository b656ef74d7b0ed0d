package wire_test

import (
	"context"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

// TestIdleConnectionsNeedLittleMemory guards against connections that each allocate the
// memory of a full send queue: with some 200 of them, a store's heap was above its memory
// limit and its process collected garbage all the time. The bound leaves 100 connections
// at a process less than a tenth of the memory limit of a store (86 MB).
func TestIdleConnectionsNeedLittleMemory(t *testing.T) {
	const count, maxBytes = 100, 80 << 10 // The latter for both ends of a connection.
	s := &wire.Server{}
	server := httptest.NewServer(s)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
		server.Close()
	})
	var links []*wire.Link
	connect := func(n int) {
		for range n {
			l := &wire.Link{Address: strings.TrimPrefix(server.URL, "http://")}
			links = append(links, l)
			g.Go(func() error { return l.Run(ctx) })
		}
		for _, l := range links {
			waitConnected(t, l)
		}
	}
	connect(10) // What is allocated once is there then.
	before := heapBytes()
	connect(count)
	if n := (heapBytes() - before) / count; n > maxBytes {
		t.Errorf("an idle connection takes %d bytes, at most %d may be used", n, maxBytes)
	}
}

// heapBytes returns the memory of the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
