package gate_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/gate"
)

// TestResetOfNewConnection guards against a request that is not sent to another target although
// its connection was reset before its first byte, and against a target at its limit of
// connections that counts as one that was down and has started. On a busy machine, the reset
// arrives before the host has seen that the connection was accepted, so that opening it fails.
func TestResetOfNewConnection(t *testing.T) {
	for name, dial := range map[string]func(ctx context.Context, address string) (net.Conn, error){
		"after it was opened": func(ctx context.Context, address string) (net.Conn, error) {
			c, err := fetch.DialTCP(ctx, address)
			time.Sleep(20 * time.Millisecond) // Until the reset arrives.
			return c, err
		},
		"while it was opened": func(context.Context, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
		},
	} {
		t.Run(name, func(t *testing.T) { testResetOfNewConnection(t, dial) })
	}
}

// testResetOfNewConnection sends a request whose first connection dial opens, to an address that
// resets all connections.
func testResetOfNewConnection(t *testing.T, dial func(ctx context.Context, address string) (net.Conn, error)) {
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
			return dial(ctx, l.Addr().String())
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
