package gate_test

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestLongestCallerTimeouts guards against timeouts of callers that overflow, so that requests are
// refused as late at once.
func TestLongestCallerTimeouts(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	for _, ms := range []string{"9223372036854775807", "9300000000000"} {
		code, body := b.trySend(testRequest{path: "/charge/", key: "choir-key", body: "input", header: map[string]string{"Deadline": ms}})
		if diff := cmp.Diff(http.StatusOK, code); diff != "" {
			t.Errorf("a timeout of %s ms: %s, status -want +got:\n%s", ms, body, diff)
		}
	}
}
