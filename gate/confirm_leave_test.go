package gate_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestCallerLeavesWhileClaimIsConfirmed guards against a panic of a request whose caller leaves at the moment at which its
// claim is durable.
func TestCallerLeavesWhileClaimIsConfirmed(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	b.syncLatency.Store(int64(30 * time.Millisecond))
	for range 60 {
		var g errgroup.Group
		for range 60 {
			r := turnRequest("", "", "x", "1000000")
			delete(r.header, "Id")
			delete(r.header, "Program")
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(25+rand.IntN(20))*time.Millisecond)
				defer cancel()
				if resp, err := b.tryDo(ctx, r); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				return nil
			})
		}
		_ = g.Wait() // The goroutines always return nil.
	}
	if n := strings.Count(b.log.String(), `"event":108`); n > 0 {
		i := strings.Index(b.log.String(), `"event":108`)
		t.Errorf("%d requests have panicked: %.900s", n, b.log.String()[i:])
	}
}

// silentListener returns the address of a port that answers no attempt to connect, as a host without power.
func silentListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := (&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
		if err != nil {
			return address // The backlog is full.
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// TestTurnThatReachesNoTargetCountsNothing guards against a turn that is refused since the claim is durable of another one that
// waits for a connection to a silent target: if the host is lost then, the claim counts for the retention.
func TestTurnThatReachesNoTargetCountsNothing(t *testing.T) {
	b := newTestbed(t)
	b.addListedTarget("models", &httptest.Server{URL: "http://" + silentListener(t)})
	var g errgroup.Group
	g.Go(func() error {
		_, _ = b.send(turnRequest("a", "", "first;", "60")) // A turn takes 40 tokens at most.
		return nil
	})
	time.Sleep(100 * time.Millisecond)
	if code, body := b.send(turnRequest("b", "", "other;", "60")); code == http.StatusPaymentRequired {
		t.Errorf("another turn, while the first one has reached no target: status %d, %s", code, body)
	}
	_ = g.Wait() // The goroutine always returns nil.
}
