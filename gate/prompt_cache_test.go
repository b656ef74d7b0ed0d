package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
)

// TestSharedPartsFollowCacheReportsOfOtherHosts checks that a host sends prompts to
// the target that cached their shared parts for another host. The first host knows
// only one of four targets, which is not the one that the prompts hash to. The
// second host knows all four and must not have the parts prefilled again.
func TestSharedPartsFollowCacheReportsOfOtherHosts(t *testing.T) {
	send := func(b *testbed) (targets []string) {
		for i := range 6 {
			resp := b.do(t.Context(), testRequest{path: "/chat/", key: "choir-key", header: map[string]string{
				"Prompt": fmt.Sprintf("shared-%d:12600,own-%d:900", i, i), "Tokens": "13500,10",
			}})
			_, _ = io.Copy(io.Discard, resp.Body)
			targets = append(targets, resp.Header.Get("At"))
		}
		return targets
	}
	addTargets := func(b *testbed) {
		for i := range 4 {
			b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Proof", "p")
				w.Header().Set("At", fmt.Sprint("t", i))
				_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			})
		}
	}
	first := newTestbed(t)
	addTargets(first)
	view := first.fleet.View()
	view.Targets = view.Targets[3:]
	first.fleet.setView(view)
	want := []string{"t3", "t3", "t3", "t3", "t3", "t3"}
	if diff := cmp.Diff(want, send(first)); diff != "" {
		t.Fatalf("targets of the first host (-want +got):\n%s", diff)
	}
	first.fleet.setLoadsReply(fleet.LoadsReply{})
	if diff := cmp.Diff(6, len(first.fleet.reportedParts["t3"])); diff != "" {
		t.Fatalf("shared parts reported (-want +got):\n%s", diff)
	}
	second := newTestbed(t)
	addTargets(second)
	second.fleet.setLoadsReply(fleet.LoadsReply{CachedParts: first.fleet.reportedParts})
	if diff := cmp.Diff(want, send(second)); diff != "" {
		t.Errorf("targets of the second host (-want +got):\n%s", diff)
	}
}
