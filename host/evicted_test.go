package host

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/intake"
)

// TestEvictedRequestsDoNotRun guards against requests of callers and operators that run although
// their connection was closed for others while the end of their header was read.
func TestEvictedRequestsDoNotRun(t *testing.T) {
	const budgetBytes = 1 << 20
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received := intake.NewBudget(budgetBytes)
	var ran atomic.Bool
	server := newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Store(true) }), event.Log{})
	setState, closed := server.ConnState, make(chan struct{})
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			time.Sleep(600 * time.Millisecond) // The connection counts as slow.
			for range budgetBytes / (32 << 10) {
				other := received.Open("", func() {})
				defer other.Close()
				other.SetPhase(intake.Working)
				_ = other.Add(32 << 10) // The last one needs the memory of the connection.
			}
		}
		setState(c, state)
		if state == http.StateClosed {
			close(closed)
		}
	}
	var g errgroup.Group
	g.Go(func() error { return serve(server, intake.Listen(l, received, nil)) })
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if b, err := io.ReadAll(c); err != nil || len(b) > 0 {
		t.Errorf("the connection was not closed without a response: %q, %v", b, err)
	}
	<-closed
	_ = server.Close()
	_ = g.Wait()
	if ran.Load() {
		t.Error("the request has run")
	}
}
