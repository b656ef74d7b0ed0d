package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/plan"
)

const (
	// smallHostMB is the memory of the smallest entry hosts.
	smallHostMB = 88
	// planBodyBytes is the maximum size of a body in the deployed plans.
	planBodyBytes = 4 << 20
)

// newCrowdTestbed returns a testbed with the memory of the smallest entry hosts and the limits of
// the deployed plans, a target, and the number of requests that it has run.
func newCrowdTestbed(t *testing.T) (b *testbed, runs *atomic.Int32, hold chan struct{}) {
	t.Helper()
	b = newTestbedWith(t, func(g *gate.Gate) { g.Received = intake.NewBudget(intake.Bytes(smallHostMB)) })
	view := b.fleet.View()
	p := *view.Plan.Plan
	p.Limits = plan.Limits{HeaderBytes: 16 << 10, BodyBytes: planBodyBytes, HeaderTimeout: 3 * time.Second}
	view.Plan = plan.NewTable(&p)
	b.fleet.setView(view)
	runs, hold = &atomic.Int32{}, make(chan struct{})
	b.addTarget("plain", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		n, _ := io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "hold") {
			<-hold
		}
		w.Header().Set("Proof", "p")
		_, _ = io.WriteString(w, fmt.Sprint(n))
	})
	return b, runs, hold
}

// post sends the header of a request and some bytes of its body. length is the announced length,
// or negative for chunks.
func (c *rawCaller) post(id, path, key string, length int, body string) {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: %s\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n%s", path, id, key, framing, body)
}

// awaitReturned waits until the budget has only what the given number of connections take.
func (b *testbed) awaitReturned() {
	b.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if b.gate.Received.Used() == 0 {
			return
		}
	}
	b.t.Errorf("%d bytes are held after all callers have gone", b.gate.Received.Used())
}

// TestLargestBodyIsServedInCalm guards against limits that refuse a single request of the size
// that the plan allows, on the smallest host.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	b, _, _ := newCrowdTestbed(t)
	dial, _ := b.startServer()
	body := strings.Repeat("x", planBodyBytes)
	chunked := strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 60<<10, body[:60<<10]), planBodyBytes/(60<<10))
	rest := planBodyBytes % (60 << 10)
	chunked += fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", rest, body[:rest])
	for _, r := range []struct {
		length int
		body   string
	}{{planBodyBytes, body}, {-1, chunked}} {
		c := dial()
		c.post("largest", "/charge/", "choir-key", r.length, r.body)
		resp, got, err := c.receive()
		if diff := cmp.Diff(fmt.Sprint(http.StatusOK, " ", planBodyBytes), fmt.Sprint(resp.StatusCode, " ", got)); diff != "" || err != nil {
			t.Errorf("length %d (-want +got):\n%s%v", r.length, diff, err)
		}
		_ = c.Close()
	}
	b.awaitReturned()
}

// readCounter counts the bytes that are read from accepted connections.
type readCounter struct {
	*net.TCPListener
	bytes *atomic.Int64
}

type countedConn struct {
	*net.TCPConn
	bytes *atomic.Int64
}

func (l readCounter) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.bytes}, nil
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// TestStalledBodiesAreRefused guards against bodies that stop short of their end and take the
// memory of the host: they get 408 once others need it, and have not run.
func TestStalledBodiesAreRefused(t *testing.T) {
	b, runs, _ := newCrowdTestbed(t)
	var read atomic.Int64
	dial, _ := b.startServerOn(func(l net.Listener) net.Listener { return readCounter{l.(*net.TCPListener), &read} }, testGrace)
	body := strings.Repeat("x", planBodyBytes)
	stalled := []*rawCaller{dial(), dial()}
	for i, c := range stalled {
		c.post("stalled", "/charge/", "choir-key", planBodyBytes, body[:planBodyBytes-1])
		// While a body is half read it takes 6 MiB. If both did, the account would have more than
		// its part, and the second would get 503.
		for end := time.Now().Add(5 * time.Second); read.Load() < int64(i+1)*planBodyBytes; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("the host has read %d bytes of %d bodies", read.Load(), i+1)
			}
		}
	}
	if used := b.gate.Received.Used(); used < 2*planBodyBytes {
		t.Fatalf("%d bytes are held for two bodies", used)
	}
	time.Sleep(700 * time.Millisecond)
	for i := range 3 {
		c := dial()
		c.post("whole", "/charge/", "choir-key", planBodyBytes, body)
		if resp, _, err := c.receive(); resp.StatusCode != http.StatusOK {
			t.Errorf("whole body %d: status %d, %v", i, resp.StatusCode, err)
		}
		_ = c.Close()
	}
	refused := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if resp, _, _ := c.receive(); resp.StatusCode == http.StatusRequestTimeout {
			refused++
		}
		_ = c.Close()
	}
	if refused == 0 {
		t.Error("no stalled body has given way")
	}
	if diff := cmp.Diff(int32(3), runs.Load()); diff != "" {
		t.Errorf("requests run:\n%s", diff)
	}
	b.awaitReturned()
}

// TestWholeBodiesBeyondTheMemoryAreRefused guards against hosts that take in more whole bodies than
// they have memory for. Those that are in flight end with their response; further ones get 503
// with a time to retry, and have not run; small requests of all accounts are served meanwhile.
func TestWholeBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	b, runs, hold := newCrowdTestbed(t)
	dial, _ := b.startServer()
	body := strings.Repeat("x", planBodyBytes)
	keys := []string{"choir-key", "band-key"}
	var callers []*rawCaller
	for i := range 12 {
		c := dial()
		c.post(fmt.Sprint("large-", i), "/charge/hold", keys[i%2], planBodyBytes, body)
		callers = append(callers, c)
		time.Sleep(50 * time.Millisecond)
	}
	for _, key := range keys {
		small := dial()
		small.post("small", "/charge/", key, 20<<10, body[:20<<10])
		if resp, _, err := small.receive(); resp.StatusCode != http.StatusOK {
			t.Errorf("small request: status %d, %v", resp.StatusCode, err)
		}
		_ = small.Close()
	}
	if used, limit := b.gate.Received.Used(), intake.Bytes(smallHostMB); used > limit {
		t.Errorf("%d bytes of %d are used", used, limit)
	}
	close(hold)
	served, refused := 0, 0
	for _, c := range callers {
		resp, got, err := c.receive()
		switch {
		case resp.StatusCode == http.StatusOK && got == fmt.Sprint(planBodyBytes):
			served++
		case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && resp.Close:
			refused++
		default:
			t.Errorf("status %d, header %v, %v", resp.StatusCode, resp.Header, err)
		}
		_ = c.Close()
	}
	if served < 2 || refused == 0 || int(runs.Load()) != served+len(keys) {
		t.Errorf("%d served, %d refused, %d run", served, refused, runs.Load())
	}
	b.awaitReturned()
}

// TestMemoryIsReturnedAfterEachEnd guards against memory that is lost with requests that end in
// unusual ways, so that the host refuses more and more.
func TestMemoryIsReturnedAfterEachEnd(t *testing.T) {
	b, _, _ := newCrowdTestbed(t)
	dial, _ := b.startServer()
	body := strings.Repeat("x", 300<<10)
	for name, c := range map[string]struct {
		path, key string
		length    int
		body      string
		status    int
	}{
		"response":          {"/charge/", "choir-key", len(body), body, http.StatusOK},
		"too long, chunks":  {"/charge/", "choir-key", -1, strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(body), body), 20), http.StatusRequestEntityTooLarge},
		"too long":          {"/charge/", "choir-key", 10 << 30, body, http.StatusRequestEntityTooLarge},
		"no route":          {"/none/", "choir-key", len(body), body, http.StatusNotFound},
		"unknown key":       {"/charge/", "no-key", len(body), body, http.StatusUnauthorized},
		"not in time":       {"/brief/", "choir-key", len(body), body[1:], http.StatusRequestTimeout},
		"broken chunks":     {"/charge/", "choir-key", -1, "10000\r\n" + body, http.StatusBadRequest},
		"refused and short": {"/none/", "choir-key", 1000, body[:999], http.StatusNotFound},
	} {
		caller := dial()
		_ = caller.SetDeadline(time.Now().Add(4 * time.Second))
		caller.post("request", c.path, c.key, c.length, c.body)
		if resp, _, err := caller.receive(); resp.StatusCode != c.status {
			t.Errorf("%s: status %d, want %d: %v", name, resp.StatusCode, c.status, err)
		}
		_ = caller.Close()
	}
	gone := dial()
	gone.post("gone", "/charge/", "choir-key", len(body), body[1:])
	_ = gone.Conn.(*net.TCPConn).SetLinger(0)
	_ = gone.Close()
	b.awaitReturned()
}

// TestSmallestBuffersCarryBodies guards against connections that do not proceed since the kernel
// keeps too little for them, as on a host with many connections.
func TestSmallestBuffersCarryBodies(t *testing.T) {
	b, _, _ := newCrowdTestbed(t)
	dial, _ := b.startServer()
	for range 150 {
		dial()
	}
	c := dial()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	begin := time.Now()
	c.post("body", "/charge/", "choir-key", planBodyBytes, strings.Repeat("x", planBodyBytes))
	if resp, _, err := c.receive(); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, %v", resp.StatusCode, err)
	}
	t.Logf("%d bytes took %v", planBodyBytes, time.Since(begin))
}
