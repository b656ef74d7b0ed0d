package wire_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

// startingHost is a host that gets connection requests before it has started: those are
// lost, so that they get no answer.
type startingHost struct {
	address string
	started atomic.Bool
	lost    atomic.Int64
}

// newStartingHost returns a host that forwards connections to server once it has started.
func newStartingHost(t *testing.T, server string) *startingHost {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &startingHost{address: l.Addr().String()}
	forward := newProxy(t, server)
	var g errgroup.Group
	var conns []net.Conn
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			conns = append(conns, c)
			if !h.started.Load() {
				h.lost.Add(1)
				continue
			}
			upstream, err := net.Dial("tcp4", forward.address)
			if err != nil {
				continue
			}
			conns = append(conns, upstream)
			never := make(chan struct{})
			g.Go(func() error { forward.forward(c, upstream, never); return nil })
			g.Go(func() error { forward.forward(upstream, c, never); return nil })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		for _, c := range conns {
			_ = c.Close()
		}
		_ = g.Wait()
	})
	return h
}

// TestLinkRedialsHostThatHasStarted guards against links that wait for a connection
// request that was lost, since it was sent before its host started, although the host has
// connected to this process since: after a power failure of all hosts, the first election
// waits for the last link.
func TestLinkRedialsHostThatHasStarted(t *testing.T) {
	var own, other wire.Server
	ownServer, otherServer := httptest.NewServer(&own), httptest.NewServer(&other)
	defer ownServer.Close()
	defer otherServer.Close()
	host := newStartingHost(t, strings.TrimPrefix(otherServer.URL, "http://"))

	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	defer func() { cancel(); _ = g.Wait() }()
	pool := &wire.Pool{OwnAddress: strings.TrimPrefix(ownServer.URL, "http://"), DialTimeout: time.Hour}
	own.OnPeer = pool.Redial
	g.Go(func() error { return pool.Run(ctx) })
	link := pool.Link(host.address)
	for host.lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if link.IsConnected() {
		t.Fatal("the link is connected to a host that has not started")
	}

	host.started.Store(true)
	back := &wire.Pool{OwnAddress: host.address, DialTimeout: time.Hour}
	g.Go(func() error { return back.Run(ctx) })
	back.Link(pool.OwnAddress)
	waitCtx, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	if !link.WaitConnected(waitCtx) {
		t.Errorf("the link is not connected; the host has lost %d connection requests", host.lost.Load())
	}
}

// TestRedialOfUnknownAddress checks that addresses without a link, and odd ones, change
// nothing.
func TestRedialOfUnknownAddress(t *testing.T) {
	var pool wire.Pool
	for _, address := range []string{"", "nowhere", "127.0.0.1:1", "\x00"} {
		pool.Redial(address)
	}
}
