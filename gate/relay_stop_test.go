package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/relay"
)

// TestStoppingHostEndsNoRelayedRequest guards against a host that stops once its own callers
// have their responses, and ends the requests of other hosts whose connections it relays.
func TestStoppingHostEndsNoRelayedRequest(t *testing.T) {
	b := newTestbedWith(t, func(g *gate.Gate) { g.RelayAddress, g.Secret = "127.0.0.1:1", "relay secret" })
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(acceptTime + 300*time.Millisecond)
		_, _ = io.WriteString(w, "fine")
	})
	_, drain := b.startServer()
	processCtx, endProcess := context.WithCancel(context.Background())
	relaying := httptest.NewUnstartedServer(b.gate.RelayHandler())
	relaying.Config.BaseContext = func(net.Listener) context.Context { return processCtx }
	relaying.Start()
	t.Cleanup(relaying.Close)
	other := &relay.Dialer{
		ID: "entry-2", Secret: "relay secret", Keep: func(_ string, c net.Conn) { _ = c.Close() },
		Direct: func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
	}
	other.SetHosts([]relay.Host{{ID: "entry-1", Address: strings.TrimPrefix(relaying.URL, "http://")}})
	conn, err := other.Dial(context.Background(), b.fleet.View().Targets[0].Address)
	if err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		defer conn.Close()
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	})
	time.Sleep(100 * time.Millisecond)
	drain()
	endProcess()
	if err := g.Wait(); err != nil {
		t.Errorf("the request of the other host: %v", err)
	}
}
