package wire_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// crowdMemory is the memory of a host in tests of crowds of processes that are not of the
	// fleet, and crowdHeap the part of it that the messages of such a crowd may take.
	crowdMemory = 64 << 20
	crowdHeap   = 32 << 20
)

// startSmallServer starts a server of a host with crowdMemory and returns its address. Each
// request waits until hold is closed, unless that is nil.
func startSmallServer(t *testing.T, hold <-chan struct{}, log event.Log) string {
	t.Helper()
	s := &wire.Server{Budget: wire.NewBudget(crowdMemory), Log: log}
	wire.Handle(s, blob, func(_ context.Context, q blobRequest) ([]byte, error) {
		if hold != nil {
			<-hold
		}
		return make([]byte, q.Reply), nil
	})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// memoryBytes returns the memory of the heap and of all stacks after two garbage collections: the
// first leaves the buffers of encoders.
func memoryBytes() int64 {
	runtime.GC()
	heap := heapBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + int64(m.StackInuse)
}

// checkServed checks that a request of ordinary size is served. Like any client, it sends the
// request again if the server has no memory or the connection was lost.
func checkServed(t *testing.T, address string) {
	t.Helper()
	l := startPool(t, &wire.Pool{}).Link(address)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for {
		waitConnected(t, l)
		_, err := wire.Call[blobRequest, []byte](ctx, l, blob, blobRequest{Bytes: make([]byte, 100<<10), Reply: 100 << 10})
		if err == nil {
			return
		}
		if !types.Sleep(ctx, 100*time.Millisecond) {
			t.Fatalf("a request beside the crowd: %v", err)
		}
	}
}

// TestUnfinishedFramesTakeLittleMemory guards against processes that send frames up to their
// last bytes and keep them open: each took up to half a megabyte beside the budget.
func TestUnfinishedFramesTakeLittleMemory(t *testing.T) {
	address := startSmallServer(t, nil, event.Log{})
	before := memoryBytes()
	for range 200 {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, clientHandshake+strings.Replace(endlessFrame, "\x7f", "\xff", 1)+"\x00\x00\x00\x00")
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write(make([]byte, 250<<10)) // Fails if the server has closed the connection.
	}
	time.Sleep(100 * time.Millisecond) // For what the kernel holds.
	if taken := memoryBytes() - before; taken > crowdHeap {
		t.Errorf("unfinished frames take %d bytes", taken)
	}
	checkServed(t, address)
}

// TestUnreadRepliesTakeLittleMemory guards against processes that request much and read nothing:
// each of their connections could queue 32 MiB.
func TestUnreadRepliesTakeLittleMemory(t *testing.T) {
	address := startSmallServer(t, nil, event.Log{})
	before := memoryBytes()
	for range 16 {
		conn := dialStranger(t, address)
		for id := range 4 {
			_ = conn.Write(t.Context(), websocket.MessageBinary, encodeRequest(uint64(id+1), blobRequest{Reply: 4 << 20})) // Fails if the server has closed the connection.
		}
	}
	time.Sleep(500 * time.Millisecond) // For the replies.
	if taken := memoryBytes() - before; taken > crowdHeap {
		t.Errorf("unread replies take %d bytes", taken)
	}
	checkServed(t, address)
}

// TestWaitingRequestsAreBounded guards against processes that have thousands of requests of a few
// bytes in flight on each of many connections.
func TestWaitingRequestsAreBounded(t *testing.T) {
	hold := make(chan struct{})
	address := startSmallServer(t, hold, event.Log{})
	before := memoryBytes()
	for range 8 {
		conn := dialStranger(t, address)
		var frame bytes.Buffer
		for id := range 4000 {
			frame.Write(encodeRequest(uint64(id+1), blobRequest{}))
		}
		_ = conn.Write(t.Context(), websocket.MessageBinary, frame.Bytes())
	}
	time.Sleep(500 * time.Millisecond)
	if taken := memoryBytes() - before; taken > crowdHeap/2 {
		t.Errorf("waiting requests take %d bytes", taken)
	}
	close(hold)
	checkServed(t, address)
}

// TestInvalidFramesEndConnections guards against processes that send what is no message and whose
// addresses nobody learns.
func TestInvalidFramesEndConnections(t *testing.T) {
	var out lockedBuffer
	address := startSmallServer(t, nil, event.New(&out))
	conn := dialStranger(t, address)
	if err := conn.Write(t.Context(), websocket.MessageBinary, []byte("\xff\xff\xff")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, _, err := conn.Read(ctx); err == nil || ctx.Err() != nil {
		t.Errorf("the connection goes on: %v", err)
	}
	for !strings.Contains(out.String(), "127.0.0.1") {
		if !types.Sleep(ctx, 10*time.Millisecond) {
			t.Fatalf("the log has no address: %s", out.String())
		}
	}
}

// lockedBuffer is a log that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// dialStranger opens a connection as a process does that is not of the fleet. Nothing reads what
// the server sends.
func dialStranger(t *testing.T, address string) *websocket.Conn {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), "ws://"+address+"/peer", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	return conn
}

// encodeRequest returns a request as links send it.
func encodeRequest(id uint64, q blobRequest) []byte {
	return types.Encode(struct {
		ID   uint64           `json:"id"`
		Kind wire.Kind        `json:"kind"`
		Body types.RawMessage `json:"body"`
	}{id, blob, types.Encode(q)})
}

// TestTurnsOfManyHostsFit guards against bounds for small hosts that refuse what the hosts of a
// fleet send in calm: a turn of the largest size.
func TestTurnsOfManyHostsFit(t *testing.T) {
	address := startSmallServer(t, nil, event.Log{})
	p := startPool(t, &wire.Pool{Budget: wire.NewBudget(crowdMemory)})
	l := p.Link(address)
	waitConnected(t, l)
	var g errgroup.Group
	for range 2 { // One after another, beside a small one.
		g.Go(func() error {
			_, err := wire.Call[blobRequest, []byte](t.Context(), l, blob, blobRequest{Bytes: make([]byte, 10)})
			return err
		})
		if _, err := wire.Call[blobRequest, []byte](t.Context(), l, blob, blobRequest{Bytes: make([]byte, 7<<20), Reply: 7 << 20}); err != nil {
			t.Error(err)
		}
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// TestSmallRequestsBesideLargeOne guards against a host that refuses all requests while it handles one that
// exceeds the memory for requests, and against small ones without a bound beside it.
func TestSmallRequestsBesideLargeOne(t *testing.T) {
	const largeBytes, smallBytes, small, fit = 7 << 20, 59 << 10, 40, 16 // 1 MiB, each with 4 KiB besides.
	s, begun, release := &wire.Server{Budget: wire.NewBudget(crowdMemory)}, make(chan struct{}, small+1), make(chan struct{})
	wire.Handle(s, blob, func(_ context.Context, q blobRequest) ([]byte, error) {
		begun <- struct{}{}
		<-release
		return make([]byte, q.Reply), nil
	})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	l := startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(server.URL, "http://"))
	waitConnected(t, l)
	var g errgroup.Group
	refused := make(chan error, small)
	g.Go(func() error {
		_, err := wire.Call[blobRequest, []byte](t.Context(), l, blob, blobRequest{Bytes: make([]byte, largeBytes)})
		return err
	})
	<-begun
	for range small {
		g.Go(func() error {
			_, err := wire.Call[blobRequest, []byte](t.Context(), l, blob, blobRequest{Bytes: make([]byte, smallBytes)})
			if types.IsCode(err, types.CodeOverloaded) {
				refused <- err
				return nil
			}
			return err
		})
	}
	var handled int
	for range small {
		select {
		case <-begun:
			handled++
		case <-refused:
		}
	}
	close(release)
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(fit, handled); diff != "" {
		t.Errorf("small requests that were handled beside a large one (-want +got):\n%s", diff)
	}
}
