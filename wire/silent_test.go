package wire_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

// proxy forwards connections to a server. It counts the bytes, and can make the
// connections that exist go silent without closing them.
type proxy struct {
	address string
	bytes   atomic.Int64
	delay   atomic.Int64 // in nanoseconds, of what is forwarded in each direction
	conns   atomic.Int64 // connections accepted

	mu      sync.Mutex
	silence chan struct{} // closed when the present connections go silent
	group   errgroup.Group
}

func newProxy(t *testing.T, server string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{address: l.Addr().String(), silence: make(chan struct{})}
	var conns []net.Conn
	p.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			upstream, err := net.Dial("tcp4", server)
			if err != nil {
				_ = c.Close()
				continue
			}
			p.conns.Add(1)
			p.mu.Lock()
			silence := p.silence
			conns = append(conns, c, upstream)
			p.mu.Unlock()
			p.group.Go(func() error { p.forward(c, upstream, silence); return nil })
			p.group.Go(func() error { p.forward(upstream, c, silence); return nil })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, c := range conns {
			_ = c.Close()
		}
		p.mu.Unlock()
		_ = p.group.Wait()
	})
	return p
}

func (p *proxy) forward(dst, src net.Conn, silence <-chan struct{}) {
	b := make([]byte, 4096)
	for {
		n, err := src.Read(b)
		time.Sleep(time.Duration(p.delay.Load()))
		p.bytes.Add(int64(n))
		select {
		case <-silence:
			_, _ = io.Copy(io.Discard, src)
			return
		default:
		}
		if _, writeErr := dst.Write(b[:n]); err != nil || writeErr != nil {
			_ = dst.Close()
			return
		}
	}
}

// silenceAll makes the present connections go silent. Later ones work.
func (p *proxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silence)
	p.silence = make(chan struct{})
}

// silenceNew sets whether connections are silent from the start, as those to a host that
// has no power.
func (p *proxy) silenceNew(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence = make(chan struct{})
	if silent {
		close(p.silence)
	}
}

// startEchoServer starts a server that echoes numbers and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	s := &wire.Server{}
	wire.Handle(s, echo, func(_ context.Context, q echoRequest) (int, error) { return q.Number, nil })
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startPool runs a pool until the test ends, and returns it.
func startPool(t *testing.T, p *wire.Pool) *wire.Pool {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return p.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return p
}

// TestIdleLinkIsQuiet guards against traffic for each pair of hosts that have nothing to
// say to each other: 171 entry hosts and 24 stores pinged each other 13,000 times a second.
func TestIdleLinkIsQuiet(t *testing.T) {
	p := newProxy(t, startEchoServer(t))
	l := startPool(t, &wire.Pool{}).Link(p.address)
	waitConnected(t, l)
	if _, err := wire.Call[echoRequest, int](t.Context(), l, echo, echoRequest{}); err != nil {
		t.Fatal(err)
	}
	before := p.bytes.Load()
	time.Sleep(2 * time.Second)
	if n := p.bytes.Load() - before; n > 0 {
		t.Errorf("%d bytes were exchanged over an idle link within 2 s", n)
	}
}

// TestSilentConnectionIsReplacedWhenUsed guards against a link whose connection has gone
// silent without being closed: once it is used, it must be replaced within some 1.2 s.
func TestSilentConnectionIsReplacedWhenUsed(t *testing.T) {
	p := newProxy(t, startEchoServer(t))
	l := startPool(t, &wire.Pool{}).Link(p.address)
	waitConnected(t, l)
	p.silenceAll()
	callUntilReply(t, l)
}

// callUntilReply sends requests over a link until one is answered.
func callUntilReply(t *testing.T, l *wire.Link) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := wire.Call[echoRequest, int](ctx, l, echo, echoRequest{})
		cancel()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the link was not replaced within 10 s")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLostConnectionChecksTheOthers guards against links that are found to be silent only
// one by one, each when it is needed: after one has been lost, the pool checks all.
func TestLostConnectionChecksTheOthers(t *testing.T) {
	server := startEchoServer(t)
	used, idle := newProxy(t, server), newProxy(t, server)
	pool := startPool(t, &wire.Pool{})
	waitConnected(t, pool.Link(used.address))
	waitConnected(t, pool.Link(idle.address))
	used.silenceAll()
	idle.silenceAll()
	callUntilReply(t, pool.Link(used.address))
	for deadline := time.Now().Add(3 * time.Second); idle.conns.Load() < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the link that is not used was not replaced within 3 s")
		}
	}
}
