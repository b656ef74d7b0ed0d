package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/intake"
)

// pipeListener accepts the connections of tests that need no network.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is an HTTP server whose connections count in a budget.
type testServer struct {
	budget   *intake.Budget
	listener pipeListener
	maxConns int
}

// run runs a server with the limits of the deployed plans while f runs. All memory must have been
// returned at its end.
func (s *testServer) run(t *testing.T, h http.HandlerFunc, f func()) {
	t.Helper()
	s.listener = pipeListener{make(chan net.Conn), make(chan struct{})}
	l := intake.Listen(&s.listener, s.budget, func() intake.Limits {
		return intake.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second}
	})
	l.MaxConns = s.maxConns
	server := &http.Server{Handler: h, ConnState: intake.SetState, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	f()
	_ = server.Close()
	_ = g.Wait()
	synctest.Wait()
	if diff := cmp.Diff(int64(0), s.budget.Used()); diff != "" {
		t.Errorf("used after the end of all connections: %s", diff)
	}
}

// dial opens a connection and sends what it is given, in the background.
func (s *testServer) dial(t *testing.T, send string) net.Conn {
	t.Helper()
	c, server := net.Pipe()
	t.Cleanup(func() { _ = c.Close() })
	s.listener.conns <- server
	var g errgroup.Group
	g.Go(func() error { _, err := io.WriteString(c, send); return err })
	return c
}

// status reads a response and returns its status, or 0 if the connection ends without one.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func respond(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

// TestHeadersAreBounded guards against headers that hold memory: long ones, and those that do not
// end. The limits are those of the plan and not of the HTTP server.
func TestHeadersAreBounded(t *testing.T) {
	field := func(n int) string { return "A: " + strings.Repeat("x", n) + "\r\n" }
	const start = "GET / HTTP/1.1\r\nHost: a.example\r\n"
	for name, c := range map[string]struct {
		send   string
		status int
		within time.Duration
	}{
		"within the limit":   {start + field(15<<10) + "\r\n", http.StatusOK, 0},
		"beyond the limit":   {start + field(24<<10) + "\r\n", http.StatusRequestHeaderFieldsTooLarge, time.Second},
		"without an end":     {start + field(200), 0, 3 * time.Second},
		"long, without end":  {start + strings.Repeat(field(4<<10), 60), http.StatusRequestHeaderFieldsTooLarge, time.Second},
		"the second too":     {start + "\r\n" + start + field(200), http.StatusOK, 0},
		"nothing, then quit": {"", 0, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := testServer{budget: intake.NewBudget(16 * mib)}
				s.run(t, respond, func() {
					begin := time.Now()
					if got := status(s.dial(t, c.send)); got != c.status {
						t.Errorf("status %d, want %d", got, c.status)
					}
					if took := time.Since(begin); took > c.within {
						t.Errorf("it took %v, want up to %v", took, c.within)
					}
				})
			})
		})
	}
}

// TestSecondHeaderIsBounded guards against slow headers on connections that have carried a
// request before.
func TestSecondHeaderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testServer{budget: intake.NewBudget(16 * mib)}
		s.run(t, respond, func() {
			const request = "GET / HTTP/1.1\r\nHost: a.example\r\n"
			c := s.dial(t, request+"\r\n")
			if got := status(c); got != http.StatusOK {
				t.Fatalf("status %d", got)
			}
			time.Sleep(12 * time.Second) // Callers may leave a connection idle for four fifths of 15 s.
			begin := time.Now()
			_, _ = io.WriteString(c, request)
			if got, took := status(c), time.Since(begin); got != 0 || took != 3*time.Second {
				t.Errorf("status %d after %v, want the end after 3s", got, took)
			}
		})
	})
}

// TestHeadersWithoutMemoryAreRefused guards against refusals that promise nothing: a header for
// which there is no memory gets 503 with a time to retry, and has not run.
func TestHeadersWithoutMemoryAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testServer{budget: intake.NewBudget(64 << 10)}
		s.run(t, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") }, func() {
			h := s.budget.Open("", func() {})
			defer h.Close()
			if err := h.Add(44 << 10); err != nil {
				t.Fatal(err)
			}
			h.SetPhase(intake.Working)
			c := s.dial(t, "GET / HTTP/1.1\r\nHost: a.example\r\nA: "+strings.Repeat("x", 3<<10)+"\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
				t.Errorf("response %+v, %v", resp, err)
			}
		})
	})
}

// TestConnectionsAreBounded guards against callers that take all descriptors of the process: those
// that have never sent a request give way first, then the one that has been idle the longest, and
// none with a request that is being handled.
func TestConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := testServer{budget: intake.NewBudget(16 * mib), maxConns: 4}
		release := make(chan struct{})
		hold := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				<-release
			}
			respond(w, r)
		}
		get := func(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path) }
		s.run(t, hold, func() {
			working := s.dial(t, get("/hold"))
			idle := s.dial(t, get("/"))
			recent := s.dial(t, get("/"))
			silent := s.dial(t, "")
			open := func() {
				time.Sleep(time.Second)
				if got := status(s.dial(t, get("/"))); got != http.StatusOK {
					t.Errorf("new connection: status %d", got)
				}
			}
			if a, b := status(idle), status(recent); a != http.StatusOK || b != http.StatusOK {
				t.Errorf("status %d and %d", a, b)
			}
			time.Sleep(time.Second)
			_, _ = io.WriteString(recent, get("/"))
			if got := status(recent); got != http.StatusOK {
				t.Errorf("second request: status %d", got)
			}
			open()
			if got := status(silent); got != 0 {
				t.Errorf("the silent connection got %d", got)
			}
			open()
			if got := status(idle); got != 0 {
				t.Errorf("the idle connection got %d", got)
			}
			_, _ = io.WriteString(recent, get("/"))
			if got := status(recent); got != http.StatusOK {
				t.Errorf("the connection used last: status %d", got)
			}
			close(release)
			if got := status(working); got != http.StatusOK {
				t.Errorf("the request that was being handled: status %d", got)
			}
		})
	})
}
