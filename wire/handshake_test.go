package wire_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// TestLinkConnectsToBusyHost guards against links that never connect, since they give up a
// dial sooner than a host without processor time completes the handshake: after a loss of
// power, 74 processes start at once on a few cores.
func TestLinkConnectsToBusyHost(t *testing.T) {
	const handshake = 600 * time.Millisecond
	var peer wire.Server
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(handshake)
		peer.ServeHTTP(w, r)
	}))
	defer server.Close()
	waitConnected(t, startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(server.URL, "http://")))
}
