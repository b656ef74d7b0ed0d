package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/banyanspur/banyanspur/config"
)

// TestEndlessEventIsCutOff guards against an engine that sends an event without end until
// it is cut off: the host would hold all of it in memory. The engine sends at most
// endlessBytes, so that the test fails instead of using all memory.
func TestEndlessEventIsCutOff(t *testing.T) {
	const endlessBytes = 64 << 20
	for name, chunk := range map[string]string{"line": "x", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			var sent atomic.Int64
			engine := f.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				block := strings.Repeat(chunk, 16<<10/len(chunk))
				for sent.Load() < endlessBytes {
					n, err := io.WriteString(w, block)
					sent.Add(int64(n))
					if err != nil {
						return
					}
				}
				<-r.Context().Done()
			}))
			f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "engine-0", Service: "assistant", Address: engine, Zone: "zone-a"}}})
			f.openProgram("p")
			resp := f.call(0, "p", 1, chatPath, strings.Replace(chatBody, `"max_tokens":8`, `"stream":true`, 1))
			if resp.status < http.StatusInternalServerError {
				t.Errorf("status %d: %.200s", resp.status, resp.body)
			}
			if sent.Load() >= endlessBytes {
				t.Errorf("the engine was not cut off, it sent %d bytes", sent.Load())
			}
		})
	}
}
