package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/types"
)

// target is a TCP server that sends back what it receives, until it receives "end" or
// "break", upon which it closes or resets the connection.
type target struct {
	address  string
	accepted atomic.Int32
}

func newTarget(t *testing.T) *target {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{address: l.Addr().String()}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			tg.accepted.Add(1)
			g.Go(func() error { return echo(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait() // The connections of the test have been closed by then.
	})
	return tg
}

func echo(c *net.TCPConn) error {
	defer c.Close()
	b := make([]byte, 64<<10)
	for {
		n, err := c.Read(b)
		if err != nil {
			return err
		}
		switch string(b[:n]) {
		case "end":
			return nil
		case "break":
			return c.SetLinger(0)
		}
		if _, err := c.Write(b[:n]); err != nil {
			return err
		}
	}
}

// network is what a host can reach: all addresses, or none.
type network struct {
	mu  sync.Mutex
	cut error // nil if nothing is cut
}

func (n *network) setCut(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = err
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	cut := n.cut
	n.mu.Unlock()
	if errors.Is(cut, errSilent) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if cut != nil {
		return nil, cut
	}
	return fetch.DialTCP(ctx, address)
}

// errSilent makes dials hang.
var errSilent = errors.New("silent")

// relayingHost is a host that relays connections.
type relayingHost struct {
	network network
	server  *httptest.Server
	host    relay.Host

	mu    sync.Mutex
	conns []net.Conn // from other hosts
}

// lose closes all connections from other hosts, as when the process is killed.
func (h *relayingHost) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
}

const secret = "s3"

func newRelayingHost(t *testing.T, id types.HostID, sameZone bool, tg *target) *relayingHost {
	h := &relayingHost{}
	ctx, cancel := context.WithCancel(context.Background())
	h.server = httptest.NewUnstartedServer(&relay.Server{
		Secret: secret, IsTarget: func(address string) bool { return address == tg.address }, Accepting: func() bool { return true },
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, relay.TargetTimeout)
			defer cancel()
			return h.network.dial(ctx, address)
		},
	})
	h.server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	h.server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateHijacked {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.conns = append(h.conns, c)
		}
	}
	h.server.Start()
	t.Cleanup(func() {
		cancel()
		h.server.CloseClientConnections()
		h.server.Close()
	})
	h.host = relay.Host{ID: id, Address: strings.TrimPrefix(h.server.URL, "http://"), SameZone: sameZone}
	return h
}

// dialer is a [relay.Dialer] with the connections that it was given to keep and the
// changes of paths that it has reported.
type dialer struct {
	*relay.Dialer
	network network
	mu      sync.Mutex
	changes []string
	stop    func() // ends Run and waits until it has returned
}

func newDialer(t *testing.T, hosts ...*relayingHost) *dialer {
	d := &dialer{}
	change := func(what string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.changes = append(d.changes, what)
	}
	d.Dialer = &relay.Dialer{
		ID: "entry-1", Secret: secret, Direct: d.network.dial, Keep: func(_ string, c net.Conn) { _ = c.Close() },
		OnCut: func(_ string, silent bool) {
			if silent {
				change("cut silently")
			} else {
				change("cut")
			}
		},
		OnHeal: func(string) { change("healed") },
	}
	var list []relay.Host
	for _, h := range hosts {
		list = append(list, h.host)
	}
	d.SetHosts(list)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return d.Run(ctx) })
	d.stop = func() {
		cancel()
		_ = g.Wait() // Run always returns nil.
	}
	t.Cleanup(d.stop)
	return d
}

// awaitChanges waits until the dialer has reported the given changes.
func (d *dialer) awaitChanges(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		d.mu.Lock()
		got = append([]string(nil), d.changes...)
		d.mu.Unlock()
		if cmp.Equal(want, got) {
			return
		}
	}
	t.Errorf("changes of the path (-want +got):\n%s", cmp.Diff(want, got))
}

// exchange sends a text on a connection and returns what comes back.
func exchange(t *testing.T, c net.Conn, text string) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	b := make([]byte, len(text))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

// dialThrough returns a connection through another host.
func (d *dialer) dialThrough(t *testing.T, tg *target) *relay.Conn {
	t.Helper()
	c, err := d.Dial(context.Background(), tg.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	relayed, ok := c.(*relay.Conn)
	if !ok {
		t.Fatalf("connection %T, want a relayed one", c)
	}
	return relayed
}
