package fetch_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fetch"
)

// newIdleTarget returns a target that closes connections that are idle for longer than idle(),
// and counts the connections.
func newIdleTarget(t *testing.T, idle func() time.Duration) (*target, *atomic.Int64) {
	t.Helper()
	conns := new(atomic.Int64)
	return newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		conns.Add(1)
		for {
			id, ok := next()
			if !ok {
				return
			}
			_, _ = io.WriteString(c, okResponse(id, "ok"))
			_ = c.SetReadDeadline(time.Now().Add(idle()))
		}
	}), conns
}

func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// TestIdleClosesCostNoRequests guards against requests that cross the close of a connection
// whose target keeps it idle for 25 ms only. They cannot be repeated, since they may have run.
func TestIdleClosesCostNoRequests(t *testing.T) {
	const targets, requests, learning = 32, 200, 20
	var failed, failedLearning, sent, unsent, conns atomic.Int64
	var g errgroup.Group
	for i := range targets {
		tg, n := newIdleTarget(t, always(25*time.Millisecond))
		random := rand.New(rand.NewPCG(7, uint64(i)))
		g.Go(func() error {
			var p fetch.Pool
			for k := range requests {
				tg.makeRoom()
				if _, err := send(t, &p, tg, fmt.Sprint(k)); mayBeSent(err) {
					if k < learning {
						failedLearning.Add(1)
					} else {
						failed.Add(1)
					}
				} else if err != nil { // Such as a dial that a busy machine does not complete in time.
					unsent.Add(1)
					continue
				}
				sent.Add(1)
				time.Sleep(15*time.Millisecond + time.Duration(random.Int64N(int64(20*time.Millisecond))))
			}
			conns.Add(n.Load())
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %d failed, %d of the first %d to each target failed, %d connections", sent.Load(), failed.Load(), failedLearning.Load(), learning, conns.Load())
	if unsent.Load() > targets*requests/10 {
		t.Errorf("%d requests were not sent", unsent.Load())
	}
	if failed.Load() > sent.Load()/1000 {
		t.Errorf("%d of %d requests failed", failed.Load(), sent.Load())
	}
}

// closingConn is a connection that calls beforeWrite right before a request is written to it.
type closingConn struct {
	net.Conn
	beforeWrite func()
}

func (c closingConn) Quiet() bool { return true }

func (c closingConn) SetBusy(busy bool) {
	if busy {
		c.beforeWrite()
	}
}

func (c closingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// TestCloseBeforeFirstByteLosesNoRequest guards against a request that is reported as sent
// although the target's close arrived before its first byte was written.
func TestCloseBeforeFirstByteLosesNoRequest(t *testing.T) {
	for name, closeConn := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			served := make(chan net.Conn, 10)
			tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
				served <- c
				for id, ok := next(); ok; id, ok = next() {
					_, _ = io.WriteString(c, okResponse(id, "ok"))
				}
			})
			writes := 0
			p := fetch.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				c, err := fetch.DialTCP(ctx, address)
				return closingConn{Conn: c, beforeWrite: func() {
					if writes++; writes == 2 { // The second request, over the connection of the first.
						closeConn(<-served)
						time.Sleep(20 * time.Millisecond) // Until the close arrives.
					}
				}}, err
			}}
			for i := range 2 {
				if got, err := send(t, &p, tg, fmt.Sprint(i)); err != nil || got != "ok" {
					t.Errorf("request %d: response %q, %v", i, got, err)
				}
			}
			if n := tg.requestCount(); n != 2 {
				t.Errorf("%d requests were read, expected 2", n)
			}
		})
	}
}

// TestIdleTimeOfTargetIsLearned guards against connections that are used until shortly before
// the target closes them, and against short-lived connections after the target keeps them
// for longer again.
func TestIdleTimeOfTargetIsLearned(t *testing.T) {
	idle := atomic.Int64{}
	idle.Store(int64(200 * time.Millisecond))
	tg, conns := newIdleTarget(t, func() time.Duration { return time.Duration(idle.Load()) })
	var p fetch.Pool
	request := func() {
		t.Helper()
		if _, err := send(t, &p, tg, fmt.Sprint(conns.Load())); err != nil {
			t.Fatal(err)
		}
	}
	for range 6 {
		_, _ = send(t, &p, tg, "learn") // Fails if the target closes late.
		time.Sleep(220 * time.Millisecond)
	}
	request()
	time.Sleep(185 * time.Millisecond)
	if p.HasIdle(tg.address) {
		t.Error("a connection is in use until shortly before it is closed")
	}
	request()
	before := conns.Load()
	time.Sleep(50 * time.Millisecond)
	request()
	if n := conns.Load(); n != before {
		t.Errorf("%d connections instead of %d after a short pause", n, before)
	}
	idle.Store(int64(time.Minute))
	request()
	const pauses = 20
	for n := 1; ; n++ { // On a busy machine some pauses are longer.
		before = conns.Load()
		time.Sleep(300 * time.Millisecond)
		request()
		if conns.Load() == before {
			break
		}
		if n == pauses {
			t.Fatalf("each of %d pauses opens a connection after the target keeps them for longer", n)
		}
	}
}

// TestRestartOfTargetKeepsConnections guards against short-lived connections after a target
// has closed all of its connections once.
func TestRestartOfTargetKeepsConnections(t *testing.T) {
	all := make(chan net.Conn, 100)
	count := atomic.Int64{}
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		count.Add(1)
		all <- c
		for id, ok := next(); ok; id, ok = next() {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, okResponse(id, "ok"))
		}
	})
	var p fetch.Pool
	batch := func(name string) {
		t.Helper()
		var g errgroup.Group
		for i := range 8 {
			g.Go(func() error {
				_, err := send(t, &p, tg, fmt.Sprint(name, i))
				return err
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	batch("a")
	time.Sleep(30 * time.Millisecond)
	for len(all) > 0 {
		_ = (<-all).Close()
	}
	time.Sleep(20 * time.Millisecond) // Until the closes arrive.
	batch("b")
	before := count.Load()
	time.Sleep(300 * time.Millisecond)
	batch("c")
	if n := count.Load() - before; n != 0 {
		t.Errorf("%d new connections 300 ms after a restart", n)
	}
}

// TestUnreadResponseCountsAsIdle guards against a connection that is used until shortly before
// the target closes it, since its idle time counts from when the response was read, or closed,
// and not from when it was received.
func TestUnreadResponseCountsAsIdle(t *testing.T) {
	const idle = 200 * time.Millisecond
	tg, _ := newIdleTarget(t, always(idle))
	var p fetch.Pool
	for range 6 {
		_, _ = send(t, &p, tg, "learn") // Fails if the target closes late.
		time.Sleep(idle + idle/10)
	}
	resp, err := p.Do(context.Background(), tg.address, &fetch.Request{Method: "GET", RequestTarget: "/", Host: "a.example", ID: "late", IDHeader: "Id"})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(idle - idle/10)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	resp.Close()
	if p.HasIdle(tg.address) {
		t.Errorf("a connection is in use though its target closes it in %v", idle/10)
	}
}

// TestLateClosesCostFewRequests guards against an idle time that is overestimated since the
// target is late: it closes a connection 40 ms after it has ceased to read from it.
func TestLateClosesCostFewRequests(t *testing.T) {
	const targets, requests, learning = 8, 200, 50
	var failed, failedLearning atomic.Int64
	var g errgroup.Group
	for i := range targets {
		tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			for {
				id, ok := next()
				if !ok {
					time.Sleep(40 * time.Millisecond)
					return
				}
				_, _ = io.WriteString(c, okResponse(id, "ok"))
				_ = c.SetReadDeadline(time.Now().Add(25 * time.Millisecond))
			}
		})
		random := rand.New(rand.NewPCG(11, uint64(i)))
		g.Go(func() error {
			var p fetch.Pool
			for k := range requests {
				tg.makeRoom()
				if _, err := send(t, &p, tg, fmt.Sprint(k)); mayBeSent(err) {
					if k < learning {
						failedLearning.Add(1)
					} else {
						failed.Add(1)
					}
				}
				time.Sleep(5*time.Millisecond + time.Duration(random.Int64N(int64(65*time.Millisecond))))
			}
			return nil
		})
	}
	_ = g.Wait() // All goroutines return nil.
	t.Logf("%d of %d requests failed, %d of the first %d to each target", failed.Load(), targets*(requests-learning), failedLearning.Load(), learning)
	if failed.Load() > targets*(requests-learning)/100 {
		t.Errorf("%d of %d requests failed", failed.Load(), targets*(requests-learning))
	}
}
