package gate_test

import (
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
)

// TestPaceWaitsForReportedSlowness guards against a limit on a target that has appeared in a
// deployment whose targets do not report their slowness, where the leader is not told how it
// answers: with PaceSelective, such a target gets its full share at once.
func TestPaceWaitsForReportedSlowness(t *testing.T) {
	for report, limited := range map[string]bool{"1,0,6": false, "1,0,6,100": true} {
		t.Run(report, func(t *testing.T) {
			b := newTestbedWith(t, func(g *gate.Gate) { g.TargetPace, g.PaceSelective = true, true })
			respond := func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Load", report)
				respondOK(w, r)
			}
			var got atomic.Int32
			b.addTarget("plain", respond)
			b.addTarget("plain", countRequests(&got, respond))
			all := b.fleet.View()
			first := all
			first.Targets = slices.Clone(all.Targets[:1])
			setTargets := func(v fleet.View) {
				b.fleet.setView(v)
				b.gate.TargetsChanged(v.Targets)
			}
			send := func() {
				if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
					t.Fatalf("status %d: %s", code, body)
				}
			}
			setTargets(first)
			send()
			first.Targets[0].Draining = true
			all.Targets = append(slices.Clone(first.Targets), all.Targets[1])
			setTargets(all)
			start := time.Now()
			for range 40 {
				b.send(testRequest{path: "/charge/", key: "choir-key"})
			}
			if n, early := int(got.Load()), time.Since(start) < 300*time.Millisecond; limited && early && n > 20 || !limited && n != 40 {
				t.Errorf("a target that has appeared got %d of 40 requests in %v", n, time.Since(start))
			}
		})
	}
}
