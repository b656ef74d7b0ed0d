package host

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

	"github.com/banyanspur/banyanspur/event"
)

// failingListener fails to accept a connection with each of errs, and then accepts.
type failingListener struct {
	net.Listener
	errs   []syscall.Errno
	failed atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	if n := int(l.failed.Load()); n < len(l.errs) {
		l.failed.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.errs[n])}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptEndsNoHost guards against a host that ends, with all requests in flight, when
// the kernel has no memory for a connection or passes on an error of one that has failed.
func TestFailedAcceptEndsNoHost(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: inner, errs: []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.ENETDOWN, syscall.EMFILE}}
	var log strings.Builder
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	serveOn(ctx, g, &retryListener{Listener: failing, log: event.New(&log)}, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), event.Log{})
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + inner.Addr().String())
	if err != nil {
		t.Fatalf("no response after %d errors: %v", failing.failed.Load(), err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || int(failing.failed.Load()) != len(failing.errs) {
		t.Errorf("status %d after %d errors", resp.StatusCode, failing.failed.Load())
	}
	if !hasSocket(&retryListener{Listener: inner}) {
		t.Error("the state of the socket cannot be queried")
	}
	cancel()
	if err := g.Wait(); err != nil {
		t.Errorf("the group has failed: %v", err)
	}
	if n := strings.Count(log.String(), `"event":605`); n != 1 {
		t.Errorf("the failure was logged %d times: %s", n, log.String())
	}
}

func hasSocket(l syscall.Conn) bool {
	_, err := l.SyscallConn()
	return err == nil
}
