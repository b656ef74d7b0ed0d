package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/gate"
)

const (
	// testGrace is the grace period of hosts that these tests stop.
	testGrace = 2 * time.Second
	// acceptTime is the time for which such a host serves all requests.
	acceptTime = 700 * time.Millisecond
)

// rawCaller is a connection of a caller.
type rawCaller struct {
	net.Conn
	responses *bufio.Reader
}

func newRawCaller(c net.Conn) *rawCaller { return &rawCaller{c, bufio.NewReader(c)} }

// startServer starts a server for the callers of the testbed's gate. dial opens a connection
// to it, and drain stops it.
func (b *testbed) startServer() (dial func() *rawCaller, drain func()) {
	return b.startServerOn(func(l net.Listener) net.Listener { return l }, testGrace)
}

// startServerOn is like startServer, with a listener that wrap returns and a grace period.
func (b *testbed) startServerOn(wrap func(net.Listener) net.Listener, grace time.Duration) (dial func() *rawCaller, drain func()) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	s := &gate.Server{Gate: b.gate, Listener: wrap(l), Grace: grace}
	var g errgroup.Group
	g.Go(s.Serve)
	drain = sync.OnceFunc(func() {
		start := time.Now()
		if err := s.Drain(context.Background()); err != nil {
			b.t.Error(err)
		}
		if err := s.Close(); err != nil {
			b.t.Error(err)
		}
		if d := time.Since(start); d >= grace {
			b.t.Errorf("the server took %v to stop", d)
		}
		if err := g.Wait(); err != nil {
			b.t.Error(err)
		}
	})
	b.t.Cleanup(drain)
	return func() *rawCaller {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			b.t.Error(err)
			return &rawCaller{&net.TCPConn{}, bufio.NewReader(strings.NewReader(""))}
		}
		b.t.Cleanup(func() { _ = c.Close() })
		return newRawCaller(c)
	}, drain
}

// send sends a request with an empty body and additional header lines.
func (c *rawCaller) send(id, path, proto, lines string) {
	fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: a.example\r\nId: %s\r\nAuthorization: Bearer choir-key\r\nContent-Length: 0\r\n%s\r\n", path, proto, id, lines)
}

// receive reads a response and its body. The status is 0 if there is none.
func (c *rawCaller) receive() (resp *http.Response, body string, err error) {
	if resp, err = http.ReadResponse(c.responses, nil); err != nil {
		return &http.Response{}, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// TestStoppingHostServesWhatItCanComplete guards against a host that stops and passes on
// requests that it cannot complete, or refuses those that it can.
func TestStoppingHostServesWhatItCanComplete(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		_, _ = io.WriteString(w, "fine")
	})
	dial, drain := b.startServer()
	fits, tooLong, atEnd := dial(), dial(), dial()
	var g errgroup.Group
	g.Go(func() error { drain(); return nil })
	time.Sleep(acceptTime + 200*time.Millisecond)
	fits.send("fits", "/charge/", "1.1", "Deadline: 700\r\n")
	tooLong.send("too long", "/charge/", "1.1", "Deadline: 2000\r\n")
	if resp, body, err := fits.receive(); resp.StatusCode != http.StatusOK || body != "fine" || !resp.Close {
		t.Errorf("request with time: status %d, closes %t, body %q, %v", resp.StatusCode, resp.Close, body, err)
	}
	if resp, _, err := tooLong.receive(); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("request without time: status %d, closes %t, header %v, %v", resp.StatusCode, resp.Close, resp.Header, err)
	}
	time.Sleep(300 * time.Millisecond)
	atEnd.send("at the end", "/charge/", "1.1", "Deadline: 500\r\n")
	if resp, _, err := atEnd.receive(); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request near the end: status %d, %v", resp.StatusCode, err)
	}
	_ = g.Wait() // It always returns nil.
}

// TestStopBreaksOffStreamVisibly guards against a stream that looks complete although the host
// has stopped before its end, and against a target that is blamed for it.
func TestStopBreaksOffStreamVisibly(t *testing.T) {
	for _, proto := range []string{"1.0", "1.1"} {
		t.Run(proto, func(t *testing.T) {
			b := newTestbed(t)
			b.addTarget("plain", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Proof", "p")
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 0, "first")
				<-r.Context().Done()
			})
			dial, drain := b.startServer()
			c := dial()
			c.send("stream", "/feed/", proto, "")
			if _, err := c.responses.Peek(1); err != nil {
				t.Fatal(err)
			}
			drain()
			if resp, _, err := c.receive(); resp.StatusCode != http.StatusOK || !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("status %d, the stream ended with %v", resp.StatusCode, err)
			}
			if log := b.log.String(); strings.Contains(log, `"event":505`) {
				t.Errorf("the target was probed:\n%s", log)
			}
		})
	}
}

// TestRequestThatCrossesCloseIsNotRun guards against a request that a target runs although the
// host has closed its idle connection at the moment at which the request arrived.
func TestRequestThatCrossesCloseIsNotRun(t *testing.T) {
	const callers = 300
	b := newTestbed(t)
	var mu sync.Mutex
	runs := map[string]int{}
	b.addTarget("plain", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs[r.Header.Get("Id")]++
		mu.Unlock()
		w.Header().Set("Proof", "p")
	})
	dial, drain := b.startServer()
	conns := make([]*rawCaller, callers)
	for i := range conns {
		conns[i] = dial()
		conns[i].send(fmt.Sprint("before ", i), "/charge/", "1.1", "")
		if resp, _, err := conns[i].receive(); resp.StatusCode != http.StatusOK {
			t.Fatalf("request before the stop: status %d, %v", resp.StatusCode, err)
		}
	}
	start, r := time.Now(), rand.New(rand.NewPCG(1, 0))
	var g errgroup.Group
	g.Go(func() error { drain(); return nil })
	codes := make([]int, callers)
	for i, c := range conns {
		// They are sent around the time at which idle connections are closed.
		at := start.Add(acceptTime - 5*time.Millisecond + time.Duration(r.IntN(10_000))*time.Microsecond)
		g.Go(func() error {
			time.Sleep(time.Until(at))
			c.send(fmt.Sprint("crossing ", i), "/charge/", "1.1", "Deadline: 700\r\n")
			resp, _, _ := c.receive()
			codes[i] = resp.StatusCode
			return nil
		})
	}
	_ = g.Wait()                       // All goroutines return nil.
	time.Sleep(100 * time.Millisecond) // Requests of closed connections are not waited for.
	mu.Lock()
	defer mu.Unlock()
	served := 0
	for i, code := range codes {
		ran := runs[fmt.Sprint("crossing ", i)]
		if ran > 1 || ran == 1 && (code == 0 || code == http.StatusServiceUnavailable) {
			t.Errorf("caller %d got status %d, %d targets have run the request", i, code, ran)
		}
		served += ran
	}
	t.Logf("%d of %d requests were served", served, callers)
}
