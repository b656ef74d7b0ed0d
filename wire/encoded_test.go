package wire_test

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// note is a message whose last value is large.
type note struct {
	Number int    `json:"number"`
	Text   []byte `json:"text"`
}

// noteHead is a note whose text is encoded already.
type noteHead struct {
	Number int              `json:"number"`
	Text   types.RawMessage `json:"text"`
}

// TestSharedTails guards against messages that are damaged where their encoding is sent in two
// parts, between and behind others of the same connection.
func TestSharedTails(t *testing.T) {
	s := &wire.Server{}
	wire.Handle(s, "note", func(_ context.Context, n note) (note, error) { return n, nil })
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	l := startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(server.URL, "http://"))
	waitConnected(t, l)
	text := bytes.Repeat([]byte("abc"), 700_000)
	tail := types.EncodeSized(text, len(text)+16)
	var g errgroup.Group
	for i := range 8 {
		g.Go(func() error {
			head := types.EncodeHead(func(last types.RawMessage) noteHead { return noteHead{i, last} })
			got, err := wire.CallEncoded[note](t.Context(), l, "note", head, tail)
			if diff := cmp.Diff(i, got.Number); err != nil || diff != "" || !bytes.Equal(text, got.Text) {
				t.Errorf("reply with %d bytes, %v: %s", len(got.Text), err, diff)
			}
			return nil
		})
		g.Go(func() error {
			got, err := wire.Call[note, note](t.Context(), l, "note", note{i, text[:i]})
			if diff := cmp.Diff(note{i, text[:i]}, got); err != nil || diff != "" {
				t.Errorf("%v (-want +got):\n%s", err, diff)
			}
			return nil
		})
	}
	_ = g.Wait() // It always returns nil.
}

// blobHead is a blobRequest whose bytes are encoded already.
type blobHead struct {
	Bytes types.RawMessage `json:"bytes"`
}

// TestCanceledRequestsLeaveSendQueue guards against a host whose memory for send queues stays taken by
// requests to a silent host after they were given up, so that requests to others are refused.
func TestCanceledRequestsLeaveSendQueue(t *testing.T) {
	const memory, tailBytes = 160 << 20, 15 << 20 // Two of three requests fit into a quarter of the memory.
	p := newProxy(t, startBlobServer(t))
	pool := startPool(t, &wire.Pool{Budget: wire.NewBudget(memory)})
	silent, other := pool.Link(p.address), pool.Link(startBlobServer(t))
	waitConnected(t, silent)
	waitConnected(t, other)
	p.delay.Store(int64(2 * time.Second))
	send := func(ctx context.Context, l *wire.Link) error {
		head := types.EncodeHead(func(last types.RawMessage) blobHead { return blobHead{last} })
		_, err := wire.CallEncoded[[]byte](ctx, l, blob, head, types.Encode(make([]byte, tailBytes)))
		return err
	}
	ctx, cancel := context.WithCancel(t.Context())
	returned := make(chan error, 2)
	var g errgroup.Group
	for range cap(returned) {
		g.Go(func() error {
			returned <- send(ctx, silent)
			return nil
		})
		time.Sleep(50 * time.Millisecond) // The first one is being written by then.
	}
	cancel()
	if err := <-returned; !types.IsCode(err, types.CodeDeadlineExceeded) {
		t.Errorf("a canceled request: %v", err)
	}
	if err := send(t.Context(), other); err != nil {
		t.Errorf("a request to another host after one was given up: %v", err)
	}
	_ = g.Wait()
}
