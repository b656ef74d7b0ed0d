package relay_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/banyanspur/banyanspur/relay"
)

// TestUnfinishedFramesAreForwarded guards against frames that a relaying host holds in memory
// until they are complete: a thousand connections with unfinished ones took 64 MB.
func TestUnfinishedFramesAreForwarded(t *testing.T) {
	tg := newTarget(t)
	h := newRelayingHost(t, "entry-2", true, tg)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, strings.Replace(h.server.URL, "http", "ws", 1)+relay.Path+"?target="+tg.address,
		&websocket.DialOptions{HTTPHeader: http.Header{"Banyanspur-Relay-Secret": {secret}}})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.CloseNow()
	w, err := conn.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(make([]byte, 32<<10)); err != nil { // More than the buffer of a frame.
		t.Fatal(err)
	}
	if _, b, err := conn.Read(ctx); err != nil || len(b) == 0 {
		t.Errorf("the target has sent back %d bytes, %v", len(b), err)
	}
}
