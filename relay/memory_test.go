package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/relay"
)

// TestRelaysLeaveMemoryToCallers guards against hosts that refuse all callers while they relay many
// connections of other hosts, which are open for as long as the cut that they bypass lasts.
func TestRelaysLeaveMemoryToCallers(t *testing.T) {
	const budgetBytes = 4 << 20
	tg := newTarget(t)
	received := intake.NewBudget(budgetBytes)
	server := httptest.NewServer(&relay.Server{
		Secret: secret, Received: received, IsTarget: func(string) bool { return true }, Accepting: func() bool { return true },
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return fetch.DialTCP(ctx, address) },
	})
	t.Cleanup(server.CloseClientConnections)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	relayed := 0
	for range 200 {
		conn, _, err := websocket.Dial(ctx, strings.Replace(server.URL, "http", "ws", 1)+relay.Path+"?target="+tg.address,
			&websocket.DialOptions{HTTPHeader: http.Header{"Banyanspur-Relay-Secret": {secret}}})
		if err != nil {
			break
		}
		defer conn.CloseNow()
		relayed++
	}
	if used := received.Used(); relayed == 0 || used > budgetBytes/2 {
		t.Errorf("%d relayed connections take %d bytes of %d", relayed, used, budgetBytes)
	}
}
