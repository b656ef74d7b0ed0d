package wire_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/wire"
)

// TestSmallHostReceivesLargestReply guards against a turn that no host of the smallest size can
// continue: a reply with a turn of the largest size, of 4 MiB and an output of 8 MiB, exceeded the
// part of the memory for frames, so that each attempt ended the connection to the store.
func TestSmallHostReceivesLargestReply(t *testing.T) {
	s := &wire.Server{}
	wire.Handle(s, blob, func(_ context.Context, q blobRequest) ([]byte, error) { return make([]byte, q.Reply), nil })
	server := httptest.NewServer(s)
	defer server.Close()
	l := startPool(t, &wire.Pool{Budget: wire.NewBudget(88 << 20)}).Link(strings.TrimPrefix(server.URL, "http://"))
	waitConnected(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	const want = 13 << 20
	got, err := wire.Call[blobRequest, []byte](ctx, l, blob, blobRequest{Reply: want})
	if diff := cmp.Diff(want, len(got)); diff != "" {
		t.Errorf("%v, bytes -want +got:\n%s", err, diff)
	}
}
