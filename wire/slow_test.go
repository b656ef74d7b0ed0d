package wire_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

// TestLinkConnectsToSlowHost guards against links that stay down as long as a handshake takes
// more than the time for a dial: after a restart of all hosts on busy machines the control
// hosts had no leader for half a minute, since none of their links connected.
func TestLinkConnectsToSlowHost(t *testing.T) {
	for _, delay := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var server wire.Server
			slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(delay) // The process waits for a processor.
				server.ServeHTTP(w, r)
			}))
			t.Cleanup(slow.Close)
			waitConnected(t, startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(slow.URL, "http://")))
		})
	}
}

// TestLateResponsesDoNotEndLink guards against links that are given up although their host
// sends replies, because it is slow to respond to a ping: on busy machines, all links of the
// control hosts were lost within seconds, and with them the requests in flight.
func TestLateResponsesDoNotEndLink(t *testing.T) {
	p := newProxy(t, startEchoServer(t))
	link := startPool(t, &wire.Pool{}).Link(p.address)
	waitConnected(t, link)
	p.delay.Store(int64(400 * time.Millisecond)) // So that a response takes 0.8 to 1.6 s.
	var g errgroup.Group
	for i := range 50 {
		time.Sleep(100 * time.Millisecond)
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := wire.Call[echoRequest, int](ctx, link, echo, echoRequest{Number: i})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Errorf("a request has failed: %v", err)
	}
	if n := p.conns.Load(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// TestLinkToLateHostIsKept guards against links to a host that always responds late that are
// lost again and again: the handshakes and repeated requests keep it busy, so that callers are
// not served long after the reason for the first delay has ended.
func TestLinkToLateHostIsKept(t *testing.T) {
	t.Parallel()
	p := newProxy(t, startEchoServer(t))
	link := startPool(t, &wire.Pool{}).Link(p.address)
	waitConnected(t, link)
	p.delay.Store(int64(700 * time.Millisecond))
	failed := 0
	for i := range 6 {
		waitConnected(t, link)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if _, err := wire.Call[echoRequest, int](ctx, link, echo, echoRequest{Number: i}); err != nil {
			failed++
		}
		cancel()
	}
	if failed > 2 {
		t.Errorf("%d of 6 requests failed, want 2 at most: each doubles the time for the next response", failed)
	}
}
