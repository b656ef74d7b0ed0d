package gate_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/gate"
)

// refusal is what a new connection to a host that stops was refused with.
type refusal struct {
	at  time.Duration // since the start of the stop
	err error
}

// stopWhileCalled stops a server and opens a connection at each interval meanwhile,
// which sends one request. It returns how long the stop took, the requests by status,
// and the connections that were refused or ended without a response.
func stopWhileCalled(dialAddress string, drain func(), interval time.Duration) (took time.Duration, codes map[int]int, refusals []refusal) {
	codes = map[int]int{}
	var mu sync.Mutex
	var g errgroup.Group
	start, ended := time.Now(), make(chan struct{})
	g.Go(func() error {
		drain()
		took = time.Since(start)
		close(ended)
		return nil
	})
	for i, open := 0, true; open; i++ {
		at := time.Since(start)
		g.Go(func() error {
			code, err := callOnce(dialAddress, fmt.Sprint("during the stop ", i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refusals = append(refusals, refusal{at, err})
				return nil
			}
			codes[code]++
			return nil
		})
		select {
		case <-ended:
			open = false
		case <-time.After(interval):
		}
	}
	_ = g.Wait() // All goroutines return nil.
	return took, codes, refusals
}

// callOnce sends one request over a connection of its own.
func callOnce(address, id string) (code int, err error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	c := newRawCaller(conn)
	c.send(id, "/charge/", "1.1", "Deadline: 4000\r\n")
	resp, _, err := c.receive()
	return resp.StatusCode, err
}

// TestStoppingHostAcceptsUntilItEnds guards against connections that are refused or reset while
// the load balancer still directs callers to a host that stops, which it does for two seconds
// or, if too few other hosts are ready, until the host has ended.
func TestStoppingHostAcceptsUntilItEnds(t *testing.T) {
	const grace, inRotation = 4 * time.Second, 2 * time.Second
	b := newTestbed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		_, _ = io.WriteString(w, "fine")
	})
	var address string
	_, drain := b.startServerOn(func(l net.Listener) net.Listener {
		address = l.Addr().String()
		return l
	}, grace)
	took, codes, refusals := stopWhileCalled(address, drain, 10*time.Millisecond)
	if took < inRotation {
		t.Errorf("the host has ended after %v, while it is in rotation", took)
	}
	for _, r := range refusals {
		if r.at < took-100*time.Millisecond {
			t.Errorf("a connection opened after %v was refused, %v before the end: %v", r.at, took-r.at, r.err)
		}
	}
	if codes[http.StatusOK] == 0 || codes[http.StatusServiceUnavailable] == 0 || len(codes) > 2 {
		t.Errorf("requests by status: %v, want some of 200 and 503 only", codes)
	}
	t.Logf("ended after %v; requests by status %v, %d refused", took, codes, len(refusals))
}

// lateListener accepts connections late, as on a machine that is busy.
type lateListener struct {
	*net.TCPListener
	delay time.Duration
}

func (l lateListener) Accept() (net.Conn, error) {
	time.Sleep(l.delay)
	return l.TCPListener.Accept()
}

// TestStopResetsNoWaitingConnection guards against connections that are reset when the listener
// is closed, since they were waiting to be accepted: their requests were sent already.
func TestStopResetsNoWaitingConnection(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Proof", "p") })
	dial, drain := b.startServerOn(func(l net.Listener) net.Listener {
		return lateListener{l.(*net.TCPListener), 30 * time.Millisecond}
	}, testGrace)
	var g errgroup.Group
	start := time.Now()
	g.Go(func() error { drain(); return nil })
	// The host ends at 1.7 s if it has no connection.
	time.Sleep(time.Until(start.Add(1650 * time.Millisecond)))
	callers := make([]*rawCaller, 4)
	for i := range callers {
		callers[i] = dial()
		callers[i].send(fmt.Sprint("waiting ", i), "/charge/", "1.1", "Deadline: 4000\r\n")
	}
	for i, c := range callers {
		if resp, _, err := c.receive(); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("caller %d got status %d, %v", i, resp.StatusCode, err)
		}
	}
	_ = g.Wait() // It always returns nil.
}

// endedContext is a context that has ended. onErr runs when Err is called first, as a server does
// that drains, after it has looked for connections.
type endedContext struct {
	context.Context
	onErr func()
}

func (c endedContext) Err() error {
	c.onErr()
	return c.Context.Err()
}

// TestDrainedHostAnswersRequestThatHasJustArrived guards against a connection that is cut while a
// target runs its request, since the host had no connection a moment before and counts as drained.
func TestDrainedHostAnswersRequestThatHasJustArrived(t *testing.T) {
	b := newTestbed(t)
	running := make(chan struct{})
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		close(running)
		time.Sleep(200 * time.Millisecond)
		w.Header().Set("Proof", "p")
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &gate.Server{Gate: b.gate, Listener: l, Grace: testGrace}
	var g, caller errgroup.Group
	g.Go(s.Serve)
	ended, end := context.WithCancel(context.Background())
	end()
	arrive := sync.OnceFunc(func() {
		caller.Go(func() error {
			code, err := callOnce(l.Addr().String(), "late")
			if code != http.StatusOK {
				t.Errorf("got status %d, %v", code, err)
			}
			return nil
		})
		<-running
	})
	if err := s.Drain(endedContext{ended, arrive}); err != nil {
		t.Error(err)
	}
	_ = caller.Wait() // It always returns nil.
	if err := errors.Join(s.Close(), g.Wait()); err != nil {
		t.Error(err)
	}
}
