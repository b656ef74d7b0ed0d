package gate_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/banyanspur/banyanspur/types"
)

// endlessBytes is how much an "endless" target sends at most, so that a test without a
// limit fails instead of using all memory.
const endlessBytes = 64 << 20

// respondEndlessly is a target that repeats chunk until it is cut off. It adds the
// number of bytes to sent.
func respondEndlessly(sent *atomic.Int64, chunk string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Proof", "p")
		block := strings.Repeat(chunk, 1+4<<10/len(chunk))
		for sent.Load() < endlessBytes {
			n, err := io.WriteString(w, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
		<-r.Context().Done()
	}
}

// TestEndlessResponseEnds guards against a target that sends a response without end: a
// host would hold it in memory, forward it until the deadline, and let a turn exceed its
// program's budget.
func TestEndlessResponseEnds(t *testing.T) {
	for name, c := range map[string]struct {
		request testRequest
		service types.ServiceID
		chunk   string
		code    int
		events  int // that the caller receives
	}{
		"body":       {testRequest{path: "/charge/", key: "choir-key"}, "plain", "x", http.StatusOK, 0},
		"event":      {turnRequest("event", "", "x", "1000"), "models", "x", http.StatusBadGateway, 0},
		"empty":      {turnRequest("empty", "", "x", "1000"), "models", "\n", http.StatusOK, 5},
		"many lines": {turnRequest("lines", "", "x", "1000"), "models", "data: x\n", http.StatusBadGateway, 0},
		// The request allows 40 tokens, an event has 10, and one more may have none.
		"events": {turnRequest("events", "", "x", "1000"), "models", "data: x\n\n", http.StatusOK, 5},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var sent atomic.Int64
			b.addTarget(c.service, respondEndlessly(&sent, c.chunk))
			resp := b.do(context.Background(), c.request)
			body, err := io.ReadAll(resp.Body)
			if resp.StatusCode != c.code || (err == nil) != (c.code != http.StatusOK) {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
			if c.events > 0 && strings.Count(string(body), c.chunk) != c.events {
				t.Errorf("the caller received %d bytes, %.100q", len(body), body)
			}
			if sent.Load() >= endlessBytes {
				t.Errorf("the target was not cut off, it sent %d bytes", sent.Load())
			}
		})
	}
}
