package wire_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestPanicOfMessageHandlerEndsNoProcess guards against a process that ends with all its requests
// in flight since the handler of one message panics, and against a reply that says that the message
// was not handled.
func TestPanicOfMessageHandlerEndsNoProcess(t *testing.T) {
	var log strings.Builder
	server := &wire.Server{Log: event.New(&log)}
	wire.Handle(server, "break", func(context.Context, string) (string, error) { panic("broken") })
	wire.Handle(server, "echo", func(_ context.Context, s string) (string, error) { return s, nil })
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	link := startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(h.URL, "http://"))
	waitConnected(t, link)
	wire.Notify(link, "break", "without a reply")
	_, err := wire.Call[string, string](t.Context(), link, "break", "with a reply")
	want := types.Fault{Code: types.CodeInternal, Message: "the host failed to handle the message", Ran: types.MayHaveRun}
	if diff := cmp.Diff(want, *types.AsFault(err)); diff != "" {
		t.Errorf("fault, -want +got:\n%s", diff)
	}
	if got, err := wire.Call[string, string](t.Context(), link, "echo", "hello"); err != nil || got != "hello" {
		t.Errorf("the next message got the reply %q, %v", got, err)
	}
	if n := strings.Count(log.String(), `"event":607`); n != 2 {
		t.Errorf("%d panics were logged, want 2: %s", n, log.String())
	}
}
