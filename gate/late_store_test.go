package gate_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTurnWaitsForLateStore guards against turns that are refused shortly before a store replies
// that is late, but up: the caller repeats the turn, and the store gets its claim again, and a
// request to withdraw each.
func TestTurnWaitsForLateStore(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	b.syncLatency.Store(int64(1100 * time.Millisecond))
	begin := time.Now()
	code, body := b.send(turnRequest("a", "", "first;", "1000"))
	want := fmt.Sprint(http.StatusOK, " id: 0\ndata: one\n\n")
	if diff := cmp.Diff(want, fmt.Sprint(code, " ", body)); diff != "" {
		t.Errorf("a store whose disk takes 1.1 s for a sync; the caller waits for 5 s; after %v (-want +got):\n%s", time.Since(begin), diff)
	}
}
