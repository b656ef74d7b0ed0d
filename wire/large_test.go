package wire_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const blob wire.Kind = "blob"

// blobRequest has bytes and requests others.
type blobRequest struct {
	Bytes []byte `json:"bytes"`
	Reply int    `json:"reply"`
}

// startBlobServer starts a server that replies with as many bytes as are requested, and
// returns its address.
func startBlobServer(t *testing.T) string {
	t.Helper()
	s := &wire.Server{}
	wire.Handle(s, blob, func(_ context.Context, q blobRequest) ([]byte, error) { return make([]byte, q.Reply), nil })
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestLargestMessages guards against messages that a sender sends and the receiver refuses,
// which would end the connection each time, and against the loss of the largest ones that are
// allowed, also in a frame behind others.
func TestLargestMessages(t *testing.T) {
	p := newProxy(t, startBlobServer(t))
	l := startPool(t, &wire.Pool{}).Link(p.address)
	waitConnected(t, l)
	for name, c := range map[string]struct {
		request, reply int
		code           types.Code
	}{
		"largest request": {wire.MaxMessageBytes - 100, 1, ""},
		"largest reply":   {1, wire.MaxMessageBytes - 100, ""},
		"request beyond":  {wire.MaxMessageBytes, 1, types.CodePayloadTooLarge},
		"reply beyond":    {1, wire.MaxMessageBytes, types.CodePayloadTooLarge},
	} {
		wire.Notify(l, blob, blobRequest{Bytes: make([]byte, 200<<10)}) // Shares the frame of the next message.
		got, err := wire.Call[blobRequest, []byte](t.Context(), l, blob, blobRequest{Bytes: make([]byte, c.request), Reply: c.reply})
		if c.code != "" && !types.IsCode(err, c.code) || c.code == "" && (err != nil || len(got) != c.reply) {
			t.Errorf("%s: %d bytes, %v", name, len(got), err)
		}
	}
	if n := p.conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// TestFramesPassBesideEndlessOnes guards against hosts that send without end, or announce much
// and send no more, and take all memory for frames: those of others must still be received.
func TestFramesPassBesideEndlessOnes(t *testing.T) {
	address := startBlobServer(t)
	for range 8 {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, clientHandshake+strings.Replace(endlessFrame, "\x7f", "\xff", 1)+"\x00\x00\x00\x00")
		_, _ = conn.Write(make([]byte, 20<<20))
	}
	l := startPool(t, &wire.Pool{}).Link(address)
	waitConnected(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var g errgroup.Group
	for range 5 {
		g.Go(func() error {
			_, err := wire.Call[blobRequest, []byte](ctx, l, blob, blobRequest{Bytes: make([]byte, 4<<20), Reply: 4 << 20})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// TestManyLargeRequestsAreRefused guards against requests that are held while others are
// handled: 4,096 of a connection, of any size.
func TestManyLargeRequestsAreRefused(t *testing.T) {
	s, release := &wire.Server{}, make(chan struct{})
	wire.Handle(s, blob, func(_ context.Context, q blobRequest) (int, error) {
		<-release
		return len(q.Bytes), nil
	})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	l := startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(server.URL, "http://"))
	waitConnected(t, l)
	results := make(chan error, 10)
	var g errgroup.Group
	for range cap(results) {
		g.Go(func() error {
			_, err := wire.Call[blobRequest, int](t.Context(), l, blob, blobRequest{Bytes: make([]byte, 6<<20)})
			results <- err
			return nil
		})
		time.Sleep(50 * time.Millisecond) // The send queue has room for five.
	}
	for range 5 {
		if err := <-results; !types.IsCode(err, types.CodeOverloaded) {
			t.Errorf("a request beyond the budget: %v", err)
		}
	}
	close(release)
	for range 5 {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	_ = g.Wait()
}

// TestLargeFrameOverSlowLink guards against a link that is taken for dead while a large frame
// arrives, since the response to a ping is behind it: a large plan would never arrive.
func TestLargeFrameOverSlowLink(t *testing.T) {
	p := newProxy(t, startBlobServer(t))
	p.delay.Store(int64(4 * time.Millisecond)) // Some megabyte per second.
	l := startPool(t, &wire.Pool{}).Link(p.address)
	waitConnected(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := wire.Call[blobRequest, []byte](ctx, l, blob, blobRequest{Reply: 3 << 20}); err != nil {
		t.Errorf("%v; %d connections", err, p.conns.Load())
	}
}
