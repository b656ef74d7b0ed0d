package gate_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

// TestFullMemoryIsAvoided guards against turns that are sent to the engine with their prompt
// although the requests of other hosts fill its memory. Without the fourth figure, memory
// must not count.
func TestFullMemoryIsAvoided(t *testing.T) {
	for report, avoided := range map[string]bool{"0,0,4,100": true, "0,0,4": false} {
		b := newTestbed(t)
		view := b.fleet.View()
		p := *view.Plan.Plan
		p.Services = []plan.Service{{Name: "plain"}, {Name: "models", Engine: &plan.Engine{Slots: 4, MemoryTokens: 50_000, TokensPerEvent: 10}}}
		view.Plan = plan.NewTable(&p)
		b.fleet.setView(view)
		var sent [2]atomic.Int32
		for i := range sent {
			b.addTarget("models", countRequests(&sent[i], func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Proof", "p")
				w.Header().Set("Load", report)
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			}))
		}
		send := func() {
			resp := b.do(t.Context(), testRequest{path: "/chat/", key: "choir-key", header: map[string]string{"Prompt": "shared:12600,own:900", "Tokens": "13500,100"}})
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		send()
		first := 0
		if sent[1].Load() > 0 {
			first = 1
		}
		b.fleet.setLoadsReply(fleet.LoadsReply{Loads: map[types.TargetID]fleet.Load{[]types.TargetID{"t0", "t1"}[first]: {InFlight: 1, Tokens: 40_000}}})
		send()
		if got := sent[1-first].Load() == 1; got != avoided {
			t.Errorf("report %s: whether the engine with a full memory is avoided: %v", report, got)
		}
	}
}
