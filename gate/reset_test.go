package gate_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/gate"
)

// TestResetOfNewConnection guards against a request that is not sent to another target although
// its connection was reset before its first byte, and against a target at its limit of
// connections that counts as one that was down and has started.
func TestResetOfNewConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var resets errgroup.Group
	resets.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	})
	defer func() {
		_ = l.Close()
		_ = resets.Wait()
	}()
	var dials, ran atomic.Int32
	b := newTestbedWith(t, func(g *gate.Gate) {
		g.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
			if dials.Add(1) > 1 {
				return fetch.DialTCP(ctx, address)
			}
			c, err := fetch.DialTCP(ctx, l.Addr().String())
			time.Sleep(20 * time.Millisecond) // Until the reset arrives.
			return c, err
		}
	})
	b.addTarget("plain", countRequests(&ran, respondOK))
	b.addTarget("plain", countRequests(&ran, respondOK))
	if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK || ran.Load() != 1 {
		t.Errorf("status %d (%s) after %d runs, want 200 after one", code, body, ran.Load())
	}
	if strings.Contains(b.log.String(), `"event":514`) {
		t.Error("the target counts as unreachable")
	}
}
