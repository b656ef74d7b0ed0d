package wire_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// TestLinkConnectsToHostThatRespondsLate guards against links that are never restored to
// hosts whose processes are scheduled late: the kernel accepts the connection at once, but
// the host answers the handshake only after a second, and the dial was given up before.
func TestLinkConnectsToHostThatRespondsLate(t *testing.T) {
	var own wire.Server
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Second)
		own.ServeHTTP(w, r)
	}))
	defer server.Close()
	waitConnected(t, startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(server.URL, "http://")))
}
