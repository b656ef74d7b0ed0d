package gate_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/types"
)

// TestBacklogIsDivided guards against an account, or one of its calls, that takes all memory
// for unread responses, and against more than the whole being taken.
func TestBacklogIsDivided(t *testing.T) {
	const limit, n = 1 << 20, 1 << 10
	b := gate.NewBacklog(limit)
	fill := func(account types.AccountID, calls int) (held int64) {
		own := make([]int64, calls)
		for taken := true; taken; {
			taken = false
			for i := range own {
				if b.Take(account, own[i], n) {
					own[i] += n
					held += n
					taken = true
				}
			}
		}
		return held
	}
	held := []int64{fill("one call", 1), fill("many calls", 1000), fill("late", 1000), fill("later", 1)}
	if held[0] > limit/3 || held[1] > limit/2 || held[2] < limit/8 || held[3] < n || b.Used() > limit {
		t.Errorf("bytes held: %v, %d in all", held, b.Used())
	}
	for i, account := range []types.AccountID{"one call", "many calls", "late", "later"} {
		b.Release(account, held[i])
	}
	if again := fill("other", 100); b.Used() != again || again < limit/3 {
		t.Errorf("%d bytes are used, %d of them taken after all were released", b.Used(), again)
	}
}

// slowCaller is a raw connection that reads a byte per second.
type slowCaller struct {
	conn net.Conn
	read []byte
}

// newSlowCaller sends a request whose response the caller will hardly read.
func (b *testbed) newSlowCaller(path string) *slowCaller {
	b.t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer band-key\r\nConnection: close\r\nId: slow-%d\r\n\r\n", path, requestCount.Add(1))
	if err != nil {
		b.t.Fatal(err)
	}
	return &slowCaller{conn: conn}
}

// readSlowly reads a byte per second until ctx ends, and then all that is left.
func (s *slowCaller) readSlowly(ctx context.Context) error {
	for types.Sleep(ctx, time.Second) {
		var one [1]byte
		if _, err := s.conn.Read(one[:]); err != nil {
			return nil
		}
		s.read = append(s.read, one[0])
	}
	_ = s.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	rest, err := io.ReadAll(s.conn)
	s.read = append(s.read, rest...)
	if netErr := net.Error(nil); err != nil && errors.As(err, &netErr) && netErr.Timeout() {
		return fmt.Errorf("the host has not ended the response: %w", err)
	}
	return nil
}

// pourer is a target that writes large responses and records how long a write has blocked.
type pourer struct {
	longestBlock atomic.Int64 // in nanoseconds
}

const pouredBytes = 4 << 20 // of each response

func (p *pourer) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Proof", "p")
	part := "data: " + strings.Repeat("x", 4<<10) + "\n\n"
	if strings.HasPrefix(r.URL.Path, "/lookup/") {
		_, _ = io.WriteString(w, "short")
		return
	}
	for n := 0; n < pouredBytes; n += len(part) {
		start := time.Now()
		_, err := io.WriteString(w, part)
		for blocked, longest := int64(time.Since(start)), p.longestBlock.Load(); blocked > longest && !p.longestBlock.CompareAndSwap(longest, blocked); longest = p.longestBlock.Load() {
		}
		if err != nil {
			return
		}
	}
}

// addPourer starts a target whose kernel holds little of what the host has not read.
func (b *testbed) addPourer(p *pourer) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		p.serve(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		return ctx
	}
	server.Start()
	b.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	b.addListedTarget("plain", server)
}

// medianTime returns the median time of n short requests of another account.
func (b *testbed) medianTime(n int) time.Duration {
	b.t.Helper()
	var times []time.Duration
	for range n {
		start := time.Now()
		if code, body := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusOK || body != "short" {
			b.t.Errorf("another caller: status %d, %.100q", code, body)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return times[n/2]
}

// heapBytes returns the bytes that are in use after a collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // What was allocated during the first collection.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestSlowReadersCostOthersNothing guards against callers that read a byte per second from
// streams and large bodies, and so make a host hold more than its memory or leave targets
// unread until they cut off their responses, and against a response that was cut off for
// that and looks complete.
func TestSlowReadersCostOthersNothing(t *testing.T) {
	const callers = 200
	b := newTestbed(t)
	var target pourer
	b.addPourer(&target)
	before, heapBefore := b.medianTime(200), heapBytes()
	var slow []*slowCaller
	var readers errgroup.Group
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range callers {
		s := b.newSlowCaller([]string{"/feed/", "/file/"}[i%2])
		slow = append(slow, s)
		readers.Go(func() error { return s.readSlowly(ctx) })
	}
	var most, heapMost int64
	var during []time.Duration
	for range 10 {
		during = append(during, b.medianTime(40))
		most, heapMost = max(most, b.gate.Backlog.Used()), max(heapMost, heapBytes()-heapBefore)
	}
	for _, key := range []string{"choir-key", "band-key"} {
		start := time.Now()
		resp := b.do(ctx, testRequest{path: "/file/", key: key})
		n, err := io.Copy(io.Discard, resp.Body)
		t.Logf("%s: a caller that reads got %d bytes in %v beside %d held bytes", key, n, time.Since(start), b.gate.Backlog.Used())
		if err != nil || resp.StatusCode != http.StatusOK || n < pouredBytes {
			t.Errorf("%s: a caller that reads got status %d and %d bytes: %v", key, resp.StatusCode, n, err)
		}
	}
	time.Sleep(5 * time.Second) // Until most calls have been ended.
	cancel()
	if err := readers.Wait(); err != nil {
		t.Error(err)
	}
	limit := gate.BacklogBytes(112)
	slices.Sort(during)
	t.Logf("at most %d of %d bytes held, heap grown by %d; median of others %v before, %v beside (%v at most); longest write of the target %v",
		most, limit, heapMost, before, during[len(during)/2], during[len(during)-1], time.Duration(target.longestBlock.Load()))
	// Besides its piece, each connection has buffers and goroutines, here also those of the target.
	if most > limit || most == 0 || heapMost > limit+callers*(100<<10) {
		t.Errorf("%d bytes were held, the heap grew by %d, the budget is %d", most, heapMost, limit)
	}
	if during[len(during)/2] > 2*before+10*time.Millisecond {
		t.Errorf("others waited for %v, before %v", during, before)
	}
	if longest := time.Duration(target.longestBlock.Load()); longest > 4*time.Second {
		t.Errorf("the target was not read for %v", longest)
	}
	cut := 0
	for _, s := range slow {
		if len(s.read) >= pouredBytes || strings.HasPrefix(string(s.read), "HTTP/1.1 503") {
			continue // Whole, since the caller has read the rest, or refused, as many connect to one target at once.
		}
		cut++
		if strings.HasSuffix(string(s.read), "0\r\n\r\n") || strings.Contains(string(s.read), "Content-Length") {
			t.Fatalf("a response that was cut off after %d bytes looks complete: %.300q", len(s.read), s.read)
		}
	}
	if cut < callers/2 {
		t.Errorf("%d of %d responses were cut off", cut, callers)
	}
	if used := b.gate.Backlog.Used(); used != 0 {
		t.Errorf("%d bytes are still held after all calls have ended", used)
	}
}

// TestTruncatedResponseOfHTTP10 guards against a response that is cut off and looks complete to
// a caller of HTTP/1.0, for which the end of the connection is the end of the response.
func TestTruncatedResponseOfHTTP10(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /file/ HTTP/1.0\r\nHost: a.example\r\nAuthorization: Bearer band-key\r\nId: old\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if err == nil || len(got) == 0 {
		t.Errorf("%d bytes, error %v", len(got), err)
	}
}

// TestRefusalOnIdleConnection guards against a connection on which the server cannot write
// after it has been idle, since the time for the response before has passed: a caller would
// not learn why its next request is malformed.
func TestRefusalOnIdleConnection(t *testing.T) {
	t.Parallel() // It mostly waits.
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var codes []int
	for _, request := range []string{"GET /file/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer band-key\r\nId: first\r\n\r\n", "GET /file/ HTTP/1.1\r\nmalformed\r\n\r\n"} {
		if len(codes) > 0 {
			time.Sleep(10500 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("after status %v: %v", codes, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		codes = append(codes, resp.StatusCode)
	}
	if diff := cmp.Diff([]int{http.StatusOK, http.StatusBadRequest}, codes); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}
