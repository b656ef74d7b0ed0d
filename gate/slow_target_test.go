package gate_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
)

// addSlowTarget starts a target that answers each request with start, in which ID stands for
// the request's, and then sends a byte every 100 ms until the connection ends. open counts its
// connections with a request.
func (b *testbed) addSlowTarget(service types.ServiceID, start string, open *atomic.Int64) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			g.Go(func() error {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return nil
				}
				open.Add(1)
				defer open.Add(-1)
				_, err = io.WriteString(conn, strings.ReplaceAll(start, "ID", r.Header.Get("Id")))
				for err == nil {
					time.Sleep(100 * time.Millisecond)
					_, err = io.WriteString(conn, "x")
				}
				return nil
			})
		}
	})
	b.t.Cleanup(func() { _ = l.Close() }) // The gate still has idle connections.
	server := &httptest.Server{URL: "http://" + l.Addr().String()}
	b.addListedTarget(service, server)
}

// TestSlowTargetEndsWithDeadline guards against a target that sends a byte every 100 ms without
// end: the call must end by its deadline, the connection must be closed, and no bytes may be held.
func TestSlowTargetEndsWithDeadline(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: ID\r\nProof: p\r\n"
	for name, start := range map[string]string{
		"nothing":       "",
		"status line":   "HTTP/1.1 200 ",
		"header field":  ok + "Long: ",
		"interim":       "HTTP/1.1 103 Early Hints\r\nLong: ",
		"body":          ok + "Content-Length: 1000000\r\n\r\n",
		"body to close": ok + "\r\n",
		"chunk":         ok + "Transfer-Encoding: chunked\r\n\r\nffff\r\n",
		"chunk line":    ok + "Transfer-Encoding: chunked\r\n\r\n1;",
		"trailer":       ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nLong: ",
		"event":         ok + "Transfer-Encoding: chunked\r\n\r\nffff\r\nid: 1\ndata: x\n\ndata: ",
		"other's body":  "HTTP/1.1 200 OK\r\nId: other\r\nProof: p\r\nContent-Length: 1000000\r\n\r\n",
		"late report":   "HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nLoad: 1,2,3\r\nContent-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestbed(t)
			var open atomic.Int64
			b.addSlowTarget("plain", start, &open)
			b.addSlowTarget("models", start, &open)
			requests := []testRequest{{path: "/charge/", key: "choir-key"}, {path: "/lookup/", key: "choir-key"}, {path: "/feed/", key: "choir-key"}, turnRequest("slow", "", "x", "1000")}
			var g errgroup.Group
			for _, r := range requests {
				r.header = mergeHeader(r.header, "Deadline", "800")
				g.Go(func() error {
					ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
					defer cancel()
					start := time.Now()
					resp, err := b.tryDo(ctx, r)
					if err == nil {
						_, _ = io.Copy(io.Discard, resp.Body)
					}
					if took := time.Since(start); took > 2500*time.Millisecond {
						t.Errorf("%s took %v", r.path, took)
					}
					return nil
				})
			}
			_ = g.Wait()
			for deadline := time.Now().Add(3 * time.Second); open.Load() > 0 && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			if n := open.Load(); n > 0 {
				t.Errorf("%d connections to the target are still open 3 s after the calls have ended", n)
			}
			if used := b.gate.Backlog.Used(); used != 0 {
				t.Errorf("%d bytes are still held", used)
			}
		})
	}
}

// mergeHeader returns header with a further field.
func mergeHeader(header map[string]string, name, value string) map[string]string {
	merged := map[string]string{name: value}
	for k, v := range header {
		merged[k] = v
	}
	return merged
}
