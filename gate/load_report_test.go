package gate_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// lockedBuffer is a log file that may be read while it is written.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestFullTargetWithFourFigures guards against a load report that is discarded since it has
// a fourth or a fifth figure, so that requests go to a full target. The fifth figure must be
// logged only once.
func TestFullTargetWithFourFigures(t *testing.T) {
	for _, report := range []string{"6,90,6,100", "6,90,6,100,7"} {
		b := newTestbed(t)
		var full, idle atomic.Int32
		b.addTarget("plain", countRequests(&full, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Load", report)
			respondOK(w, r)
		}))
		send := func() {
			if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
				t.Fatalf("status %d: %s", code, body)
			}
		}
		send() // The host gets the report, and has a connection to the full target only.
		b.addTarget("plain", countRequests(&idle, respondOK))
		for range 60 {
			send()
		}
		// Each exchange of load reports replaces the target's own, so that one more request
		// goes there.
		if n := full.Load(); n > 6 {
			t.Errorf("%s: of 60 requests, %d went to the full target", report, n)
		}
		if n := strings.Count(b.log.String(), `"event":521`); n != strings.Count(report, ",")-3 {
			t.Errorf("%s: %d reports were logged", report, n)
		}
	}
}
