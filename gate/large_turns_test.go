package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/gate"
)

// TestLargeTurnsTakeBoundedMemory guards against turns whose events are as large as an event may
// be: the host kept the output of each beyond its memory for responses.
func TestLargeTurnsTakeBoundedMemory(t *testing.T) {
	const calls, events, eventBytes = 100, 20, 100 << 10
	b := newTestbed(t)
	data := "\ndata: " + strings.Repeat("x", eventBytes) + "\n\n" // Shared, so that the target takes no memory for it.
	hold := make(chan struct{})
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Proof", "p")
		for i := range events {
			_, _ = io.WriteString(w, fmt.Sprint("id: ", i+1))
			if _, err := io.WriteString(w, data); err != nil {
				return
			}
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	})
	before := heapBytes()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var g errgroup.Group
	for i := range calls {
		r := turnRequest(fmt.Sprint("large-", i), "", "x", "1000000")
		r.header["Program"], r.header["Tokens"] = fmt.Sprint("p-", i), "100,200"
		g.Go(func() error {
			if resp, err := b.tryDo(ctx, r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			return nil
		})
	}
	var most int64
	for range 10 {
		time.Sleep(200 * time.Millisecond)
		most = max(most, heapBytes()-before)
	}
	close(hold)
	_ = g.Wait()
	// Each call has buffers and goroutines, here also those of the caller and the target.
	limit := gate.BacklogBytes(112) + calls*(300<<10)
	t.Logf("the heap grew by %d bytes, the budget is %d", most, limit)
	if most > limit {
		t.Errorf("the heap grew by %d bytes, the budget is %d", most, limit)
	}
	if used := b.gate.Backlog.Used(); used != 0 {
		t.Errorf("%d bytes are still held after all calls have ended", used)
	}
}
