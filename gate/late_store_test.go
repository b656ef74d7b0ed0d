package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
)

// TestTurnWaitsForLateStore guards against turns that are refused shortly before a store replies
// that is late, but up: the caller repeats the turn, and the store gets its claim again, and a
// request to withdraw each.
func TestTurnWaitsForLateStore(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	b.delayClaims(1100 * time.Millisecond)
	begin := time.Now()
	code, body := b.send(turnRequest("a", "", "first;", "1000"))
	want := fmt.Sprint(http.StatusOK, " id: 0\ndata: one\n\n")
	if diff := cmp.Diff(want, fmt.Sprint(code, " ", body)); diff != "" {
		t.Errorf("a store that is late by 1.1 s; the caller waits for 5 s; after %v (-want +got):\n%s", time.Since(begin), diff)
	}
}

// TestContinuingTurnOutlastsStall guards against a turn that continues another one and is refused since
// its stores stall for more than half of its time: its caller counts it as lost.
func TestContinuingTurnOutlastsStall(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	if code, body := b.send(turnRequest("a", "", "first;", "1000")); code != http.StatusOK {
		t.Fatal(code, body)
	}
	b.delayClaims(3200 * time.Millisecond)
	begin := time.Now()
	code, body := b.send(turnRequest("b", "a", "second;", "1000"))
	want := fmt.Sprint(http.StatusOK, " id: 0\ndata: one\n\n")
	if diff := cmp.Diff(want, fmt.Sprint(code, " ", body)); diff != "" {
		t.Errorf("a store that is late by 3.2 s; the caller waits for 5 s; after %v (-want +got):\n%s", time.Since(begin), diff)
	}
}

// TestTurnsWaitForSlowSyncs guards against turns that are refused though stores that take 0.9 s for
// a sync could claim and write all of them before their callers' deadlines, 5 s: a claim that just
// misses a sync takes two. Each one that is given up lowers the bound on reservations, until most
// turns are refused.
func TestTurnsWaitForSlowSyncs(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	b.syncLatency.Store(int64(900 * time.Millisecond))
	const offered, interval = 100, 40 * time.Millisecond
	var failed atomic.Int64
	var g errgroup.Group
	for i := range offered {
		g.Go(func() error {
			r := turnRequest(fmt.Sprint("a", i), "", "first;", "1000")
			r.header["Program"] = fmt.Sprint("p", i)
			code, body := b.send(r)
			if code != http.StatusOK && failed.Add(1) <= 3 {
				t.Logf("%d %s", code, body)
			}
			return nil
		})
		time.Sleep(interval)
	}
	_ = g.Wait() // The goroutines always return nil.
	if n := failed.Load(); n > 0 {
		t.Errorf("%d of %d turns were refused", n, offered)
	}
}

// TestCompletedTurnWaitsForStoresUntilDeadline guards against a stream that is cut after its target
// has completed it, long before its caller's deadline, because the stores have been late for some
// seconds: all turns that end meanwhile lose their connections at once.
func TestCompletedTurnWaitsForStoresUntilDeadline(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		b.syncLatency.Store(int64(3500 * time.Millisecond))
		time.AfterFunc(time.Second, func() { b.syncLatency.Store(0) })
		streamEvents("one")(w, r)
	})
	begin := time.Now()
	resp := b.do(t.Context(), turnRequest("a", "", "first;", "1000"))
	body, err := io.ReadAll(resp.Body)
	want := fmt.Sprint(http.StatusOK, " id: 0\ndata: one\n\n")
	if diff := cmp.Diff(want, fmt.Sprint(resp.StatusCode, " ", string(body))); diff != "" || err != nil {
		t.Errorf("the store is late by 3.5 s; the caller waits for 5 s; after %v %v (-want +got):\n%s", time.Since(begin), err, diff)
	}
}

// TestStoppingHostStoresCompletedTurn guards against a host that stops and breaks off a turn
// whose target has completed it, since the stores are late near the end of the grace period.
func TestStoppingHostStoresCompletedTurn(t *testing.T) {
	const grace, sync = 4 * time.Second, 300 * time.Millisecond
	b := newTestbed(t)
	var stop turnDuringStop
	// The target ends at 0.8 of the grace period, the host its own responses at 0.85.
	const work = 3200 * time.Millisecond
	b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, 0, "one")
		time.Sleep(time.Until(stop.begin.Add(work)))
		b.syncLatency.Store(int64(sync))
	})
	dial, drain := b.startServerOn(func(l net.Listener) net.Listener { return l }, grace)
	stop.requireTurn(t, dial, drain)
}

// lateWriter delays the writes on accepted connections while delay is set, as a process does that
// gets little of a processor.
type lateWriter struct {
	*net.TCPListener
	delay *atomic.Int64
}

type lateConn struct {
	*net.TCPConn
	delay *atomic.Int64
}

func (l lateWriter) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return lateConn{c, l.delay}, nil
}

func (c lateConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.delay.Load()))
	return c.TCPConn.Write(b)
}

// TestStoppingHostWritesEndOfStoredTurn guards against a host that stops and breaks off a turn
// that it has just stored, before it has written the end to the caller.
func TestStoppingHostWritesEndOfStoredTurn(t *testing.T) {
	// The turn is stored at 0.86 of the grace period. From 0.88 on, no response is waited for.
	const grace, work, sync, write = 4 * time.Second, 3140 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond
	b := newTestbed(t)
	var delay atomic.Int64
	var stop turnDuringStop
	b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, 0, "one")
		time.Sleep(time.Until(stop.begin.Add(work)))
		b.syncLatency.Store(int64(sync))
		delay.Store(int64(write))
	})
	dial, drain := b.startServerOn(func(l net.Listener) net.Listener { return lateWriter{l.(*net.TCPListener), &delay} }, grace)
	stop.requireTurn(t, dial, drain)
}

// turnDuringStop is a stop of a host during which a turn is sent.
type turnDuringStop struct {
	// begin is when the host began to stop. Targets end by it: the time after the start of their
	// request would be later in the grace period by as much as the store took to admit the turn.
	begin time.Time
}

// requireTurn stops a host and checks that a turn sent right after is answered whole.
func (s *turnDuringStop) requireTurn(t *testing.T, dial func() *rawCaller, drain func()) {
	t.Helper()
	caller := dial()
	s.begin = time.Now()
	var g errgroup.Group
	g.Go(func() error { drain(); return nil })
	time.Sleep(100 * time.Millisecond)
	caller.send("turn", "/chat/", "1.1", "Deadline: 5000\r\n")
	resp, body, err := caller.receive()
	if resp.StatusCode != http.StatusOK || body != "id: 0\ndata: one\n\n" || err != nil {
		t.Errorf("%v after the start of the stop: status %d, body %q, %v", time.Since(s.begin), resp.StatusCode, body, err)
	}
	_ = g.Wait() // It always returns nil.
}

// TestTurnWithoutChainIsRefusedAtOnce guards against turns that are refused since their chain is
// missing, but only once late stores have replied to their reservations, which take the places of
// turns that can run.
func TestTurnWithoutChainIsRefusedAtOnce(t *testing.T) {
	const sync = 1100 * time.Millisecond
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	other := turns.Budget{Account: "choir", Program: "p", Attempt: "other", Limit: 1000, MaxTokens: 1000, Line: "other"}
	if err := b.gate.Turns.Reserve(t.Context(), other); err != nil { // The reservation waits for this one.
		t.Fatal(err)
	}
	begin := time.Now()
	code, body := b.send(turnRequest("b", "none", "next;", "1000"))
	if took := time.Since(begin); code != http.StatusNotFound || took > sync/2 {
		t.Errorf("after %v: status %d, %q", took, code, body)
	}
}
