package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
)

// TestSlowFrameEndsConnection guards against a peer that never finishes a frame: its connection
// and what was received would be held without end.
func TestSlowFrameEndsConnection(t *testing.T) {
	ended := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		s := newStream(conn, false, NewBudget(0), "")
		s.frameTimeout = 500 * time.Millisecond
		ended <- s.run(r.Context(), func(envelope) {})
	}))
	defer server.Close()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\x82\xfe\x40\x00\x00\x00\x00\x00")
	deadline := time.After(5 * time.Second)
	for {
		select {
		case err := <-ended:
			if !errors.Is(err, errFrameTimeout) {
				t.Errorf("the connection ended with: %v", err)
			}
			return
		case <-deadline:
			t.Fatal("the connection is still open after 5 s")
		case <-time.After(50 * time.Millisecond):
			_, _ = io.WriteString(conn, "x")
		}
	}
}

// TestQueueIsBoundedInBytes guards against a send queue of 8,192 messages of a megabyte each,
// to a peer that requests much and reads nothing.
func TestQueueIsBoundedInBytes(t *testing.T) {
	q := newQueue[int](10, 100)
	accepts := func(size int, want bool) {
		t.Helper()
		if got := q.put(0, size); got != want {
			t.Errorf("a message of %d bytes is accepted: %v", size, got)
		}
	}
	accepts(150, true) // The only one may be larger.
	accepts(1, false)
	q.reuse(q.take(1))
	accepts(60, true)
	items := q.take(1)
	accepts(60, false) // What is being written counts.
	accepts(40, true)
	q.reuse(items)
	accepts(60, true)
	accepts(1, false)
}

// TestLargestFrameYields guards against large frames that wait for each other's memory: the
// largest one ends.
func TestLargestFrameYields(t *testing.T) {
	b := newFrameBudget(3 * chunkBytes)
	ctx, cancel := context.WithCancelCause(t.Context())
	large, small := &frame{cancel: cancel}, &frame{cancel: func(error) { t.Error("the smaller frame ends") }}
	for range 3 {
		if err := b.take(ctx, large, chunkBytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.take(ctx, large, chunkBytes); !errors.Is(err, errFrameBudget) {
		t.Errorf("the only frame goes on: %v", err)
	}
	context.AfterFunc(ctx, func() { b.release(large) })
	if err := b.take(t.Context(), small, chunkBytes); err != nil || !errors.Is(context.Cause(ctx), errFrameBudget) {
		t.Errorf("the smaller frame got %v, the larger one ended with %v", err, context.Cause(ctx))
	}
	b.release(small)
	if b.free != 3*chunkBytes || len(b.holders) > 0 {
		t.Errorf("%d bytes are free, %d frames hold some", b.free, len(b.holders))
	}
}
