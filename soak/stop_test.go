package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// stopGrace is the grace period in the settings of all hosts.
const stopGrace = 4 * time.Second

// stopRequest is a request around the planned stop of its entry host. Times are counted from
// the SIGTERM.
type stopRequest struct {
	name      string
	path      string
	takes     time.Duration // how long the target works on it
	opened    time.Duration // when the connection is opened
	kept      bool          // the connection has carried a request before
	headSent  time.Duration // when the header is sent
	sent      time.Duration // when the body is sent; never if it is stopGrace
	splitHead bool          // the last line of the header is sent with the body
	halfClose bool          // the caller closes its side once it has sent the request
	// codes are the statuses that the caller may get. A request whose connection may also be
	// closed without a response, if no target gets it, has the code 0 among them.
	codes []int

	id string
}

// stopOutcome is what the caller of a stopRequest has received.
type stopOutcome struct {
	code int
	err  error // set if the response is not complete
}

// send sends the request to an entry host and returns the outcome. at waits until a time.
func (r *stopRequest) send(address string, at func(time.Duration)) (stopOutcome, error) {
	at(r.opened)
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return stopOutcome{}, err
	}
	defer conn.Close()
	responses := bufio.NewReader(conn)
	body := fmt.Sprintf("%s%d;", waitInput, r.takes.Milliseconds())
	head := func(id string, length int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-%s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n", r.path, id, unlimitedAccount, length)
	}
	if r.kept {
		_, _ = io.WriteString(conn, head(r.id+"-before", 1)+"\r\nx")
		if code, _, err := readOutcome(responses); code != http.StatusOK || err != nil {
			return stopOutcome{}, fmt.Errorf("request before the stop: status %d, %w", code, err)
		}
	}
	first, last := head(r.id, len(body))+"\r\n", body
	if r.splitHead {
		first, last = head(r.id, len(body)), "\r\n"+body
	}
	at(r.headSent)
	_, _ = io.WriteString(conn, first) // If this fails, so does the read.
	if r.sent < stopGrace {
		at(r.sent)
		_, _ = io.WriteString(conn, last)
	}
	if r.halfClose {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	var o stopOutcome
	o.code, _, o.err = readOutcome(responses)
	return o, nil
}

// readOutcome reads one response. The code is 0 if there is none, closes is set if no other
// follows on the connection, and err is set if the response is not complete.
func readOutcome(responses *bufio.Reader) (code int, closes bool, err error) {
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

// startStop starts to stop an entry host. wait waits until a time after that, and exited
// returns when the process has ended.
func startStop(h *testHost) (wait func(time.Duration), exited func() time.Duration) {
	start := time.Now()
	h.mu.Lock()
	process, ended, done := h.process, h.exited, make(chan time.Duration, 1)
	h.process = nil
	h.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error {
		_ = process.Process.Signal(syscall.SIGTERM)
		kill := time.AfterFunc(stopGrace, func() { _ = process.Process.Kill() })
		defer kill.Stop()
		<-ended
		done <- time.Since(start)
		return nil
	})
	return func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }, func() time.Duration { return <-done }
}

// TestStopAnswersWhatItAccepts guards against a planned stop that passes a request on and then
// closes its connection without a response: requests on connections that had carried none
// before, requests of which the last part came late, and requests whose target works on them
// for longer than the host has left.
func TestStopAnswersWhatItAccepts(t *testing.T) {
	c, tg := startServing(t, 41, 2, 2)
	const before = -200 * time.Millisecond
	unknown := []int{http.StatusBadGateway, http.StatusGatewayTimeout}
	refused := []int{http.StatusServiceUnavailable}
	refusedOrClosed := []int{http.StatusServiceUnavailable, 0}
	early, late := 300*time.Millisecond, 2*time.Second
	requests := []*stopRequest{
		{name: "early, kept connection", path: "/charge/", takes: time.Second, opened: before, kept: true, headSent: early, sent: early, codes: []int{http.StatusOK}},
		{name: "early, half-closed", path: "/charge/", takes: time.Second, opened: before, headSent: early, sent: early, halfClose: true, codes: []int{http.StatusOK}},
		{name: "early, target works past the end", path: "/charge/", takes: 10 * time.Second, opened: before, headSent: early, sent: early, codes: unknown},
		{name: "early, repeatable, past the end", path: "/lookup/", takes: 10 * time.Second, opened: before, headSent: early, sent: early, codes: unknown},
		{name: "early, stream without events", path: "/turn/", takes: 10 * time.Second, opened: before, headSent: early, sent: early, codes: unknown},
		{name: "late, new connection", path: "/charge/", takes: late, opened: time.Second, headSent: late, sent: late, codes: refused},
		{name: "late, repeatable, new connection", path: "/lookup/", takes: late, opened: time.Second, headSent: late, sent: late, codes: refused},
		{name: "late, stream on a new connection", path: "/turn/", takes: late, opened: time.Second, headSent: late, sent: late, codes: refused},
		{name: "late end of the header", path: "/charge/", takes: late, opened: time.Second, headSent: time.Second, sent: late, splitHead: true, codes: refused},
		{name: "late body", path: "/charge/", takes: late, opened: before, headSent: time.Second, sent: late, codes: refused},
		{name: "late body of a stream", path: "/turn/", takes: late, opened: before, headSent: time.Second, sent: late, codes: refused},
		{name: "body that never ends", path: "/charge/", opened: before, headSent: time.Second, sent: stopGrace, codes: refused},
		{name: "late, unused connection", path: "/charge/", takes: late, opened: before, headSent: 3200 * time.Millisecond, sent: 3200 * time.Millisecond, codes: refusedOrClosed},
		{name: "late end of the header, kept connection", path: "/charge/", takes: late, opened: before, kept: true, headSent: time.Second, sent: late, splitHead: true, codes: refusedOrClosed},
	}
	outcomes := make([]stopOutcome, len(requests))
	var wait func(time.Duration)
	started := make(chan struct{})
	var g errgroup.Group
	for i, r := range requests {
		r.id = c.newID()
		g.Go(func() error {
			at := func(d time.Duration) {
				if d > before {
					<-started
					wait(d)
				}
			}
			var err error
			if outcomes[i], err = r.send(fmt.Sprintf("%s:%d", c.fleet.address(c.fleet.hosts[6]), callerPort), at); err != nil {
				return fmt.Errorf("%s: %w", r.name, err)
			}
			return nil
		})
	}
	time.Sleep(-before)
	wait, exited := startStop(c.fleet.hosts[6])
	close(started)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if d := exited(); d >= stopGrace {
		t.Errorf("the process had to be killed after %v", d)
	}
	for i, r := range requests {
		o := outcomes[i]
		ran := len(tg.runsOf(r.id))
		allowed := false
		for _, code := range r.codes {
			allowed = allowed || o.code == code && (o.err == nil || code == 0)
		}
		notRun := o.code == 0 || o.code == http.StatusServiceUnavailable
		if !allowed || notRun && ran > 0 {
			t.Errorf("%s: status %d, %d targets have run it; %v", r.name, o.code, ran, o.err)
		}
	}
}

// stopCallers is the number of callers in TestStopUnderLoad, each with a connection.
const stopCallers = 60

// TestStopUnderLoad guards against a planned stop that loses requests of callers that go on
// using their connections, and open new ones, until the host accepts none.
func TestStopUnderLoad(t *testing.T) {
	c, tg := startServing(t, 42, 2, 2)
	entry := c.fleet.hosts[6]
	address := net.JoinHostPort(c.fleet.address(entry), strconv.Itoa(callerPort))
	var mu sync.Mutex
	codes := map[string]int{}
	var g errgroup.Group
	for i := range uint64(stopCallers) {
		g.Go(func() error {
			r := rand.New(rand.NewPCG(42, i))
			for {
				conn, err := net.Dial("tcp4", address)
				if err != nil {
					return nil // The host accepts no more connections.
				}
				responses := bufio.NewReader(conn)
				for closes := false; !closes; {
					time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
					id, body := c.newID(), fmt.Sprintf("%s%d;", waitInput, r.IntN(100))
					fmt.Fprintf(conn, "POST /charge/ HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-%s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", id, unlimitedAccount, len(body), body)
					code, last, err := readOutcome(responses)
					closes = last || err != nil
					mu.Lock()
					codes[id] = code
					mu.Unlock()
				}
				_ = conn.Close()
			}
		})
	}
	time.Sleep(time.Second)
	_, exited := startStop(entry)
	_ = g.Wait() // All goroutines return nil.
	if d := exited(); d >= stopGrace {
		t.Errorf("the process had to be killed after %v", d)
	}
	counts := map[int]int{}
	for id, code := range codes {
		counts[code]++
		if ran := len(tg.runsOf(id)); ran > 1 || ran == 1 && (code == 0 || code == http.StatusServiceUnavailable) {
			t.Errorf("%s: status %d, %d targets have run it", id, code, ran)
		}
	}
	t.Logf("requests by status, 0 for no response: %v", counts)
	if counts[http.StatusOK] < stopCallers {
		t.Error("too few requests were served")
	}
}

// rotationTime is how long a load balancer that asks once a second may direct connections to a
// host that is not ready: two misses take it out.
const rotationTime = 2 * time.Second

// maxEndTime is the time before the end of a process within which it may refuse connections: it
// closes its listener and ends.
const maxEndTime = 150 * time.Millisecond

// TestStopAcceptsUntilItEnds guards against connections that a host refuses or resets while it
// stops: load balancers go on using it until two checks of its readiness have failed, or, if too
// few other hosts are ready, until it has ended.
func TestStopAcceptsUntilItEnds(t *testing.T) {
	for name, c := range map[string]struct {
		seed        uint64
		maxSendTime time.Duration // how long after a connection is opened its request is sent
		calledFor   time.Duration // time after the SIGTERM until which connections are opened
	}{
		"as in rotation":           {seed: 43, calledFor: 2200 * time.Millisecond},
		"until the end":            {seed: 44, calledFor: stopGrace},
		"requests are sent late":   {seed: 45, calledFor: stopGrace, maxSendTime: time.Second},
		"late, and as in rotation": {seed: 46, calledFor: 2200 * time.Millisecond, maxSendTime: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { testStopAccepts(t, c.seed, c.calledFor, c.maxSendTime) })
	}
}

func testStopAccepts(t *testing.T, seed uint64, calledFor, maxSendTime time.Duration) {
	const interval = 15 * time.Millisecond
	c, tg := startServing(t, seed, 2, 2)
	r := rand.New(rand.NewPCG(seed, 0))
	entry := c.fleet.hosts[6]
	address := net.JoinHostPort(c.fleet.address(entry), strconv.Itoa(callerPort))
	wait, exited := startStop(entry)
	var requests []*stopRequest
	for at := time.Duration(0); at < calledFor; at += interval {
		sent := at + time.Duration(r.Int64N(int64(maxSendTime)+1))
		requests = append(requests, &stopRequest{
			id: c.newID(), path: "/charge/", takes: time.Duration(r.IntN(100)) * time.Millisecond, opened: at, headSent: sent, sent: min(sent, stopGrace-1),
		})
	}
	outcomes, refused := make([]stopOutcome, len(requests)), make([]error, len(requests))
	var g errgroup.Group
	for i, r := range requests {
		g.Go(func() error {
			outcomes[i], refused[i] = r.send(address, wait)
			return nil
		})
	}
	ended := exited()
	_ = g.Wait() // All goroutines return nil.
	if ended >= stopGrace || ended < rotationTime {
		t.Errorf("the process has ended after %v, want %v at least and less than %v", ended, rotationTime, stopGrace)
	}
	counts := map[int]int{}
	for i, r := range requests {
		o := outcomes[i]
		counts[o.code]++
		if r.sent < ended-maxEndTime && (refused[i] != nil || o.err != nil) {
			t.Errorf("opened after %v, sent after %v, the process has ended after %v: status %d, refused: %v, %v", r.opened, r.sent, ended, o.code, refused[i], o.err)
		}
		if ran := len(tg.runsOf(r.id)); ran > 1 || ran == 1 && (o.code == 0 || o.code == http.StatusServiceUnavailable) {
			t.Errorf("sent after %v: status %d, %d targets have run it", r.sent, o.code, ran)
		}
	}
	t.Logf("the process has ended after %v; requests by status, 0 for none: %v", ended, counts)
}
