package wire_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// TestLinkConnectsToSlowHost guards against links that stay down as long as a handshake takes
// more than the time for a dial: after a restart of all hosts on busy machines the control
// hosts had no leader for half a minute, since none of their links connected.
func TestLinkConnectsToSlowHost(t *testing.T) {
	for _, delay := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			var server wire.Server
			slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(delay) // The process waits for a processor.
				server.ServeHTTP(w, r)
			}))
			t.Cleanup(slow.Close)
			waitConnected(t, startPool(t, &wire.Pool{}).Link(strings.TrimPrefix(slow.URL, "http://")))
		})
	}
}
