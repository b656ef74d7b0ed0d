package gate_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

// TestAvoidedTargetGetsProbesOnly guards against a target that fails on several hosts and
// gets a request of this one that may not be repeated, and against one that gets no requests
// at all, so that nobody learns that it answers again.
func TestAvoidedTargetGetsProbesOnly(t *testing.T) {
	b := newTestbed(t)
	var avoided, other atomic.Int32
	b.addTarget("plain", countRequests(&avoided, respondOK))
	b.addTarget("plain", countRequests(&other, respondOK))
	b.fleet.setLoadsReply(fleet.LoadsReply{Paces: fleet.Paces{"t0": {Rate: 2, Probe: true}}})
	sendFor := func(path string, d time.Duration) {
		for start := time.Now(); time.Since(start) < d; {
			if code, body := b.send(testRequest{path: path, key: "choir-key"}); code != http.StatusOK {
				t.Fatalf("status %d: %s", code, body)
			}
		}
	}
	sendFor("/charge/", 500*time.Millisecond)
	if n := avoided.Load(); n > 0 {
		t.Errorf("the avoided target got %d requests that may not be repeated", n)
	}
	start := time.Now()
	sendFor("/lookup/", 2*time.Second)
	if n, allowed := float64(avoided.Load()), 2+2*time.Since(start).Seconds(); n < 1 || n > allowed {
		t.Errorf("the avoided target got %.0f requests that may be repeated, and the other one %d, want 1 to %.1f", n, other.Load(), allowed)
	}
}

// TestObservationsAreReported guards against failures that the leader does not hear of:
// errors of the server, refusals, and connections that end; and against reports that contain
// them without the setting.
func TestObservationsAreReported(t *testing.T) {
	for _, paced := range []bool{false, true} {
		b := newTestbedWith(t, func(g *gate.Gate) { g.TargetPace = paced })
		var n atomic.Int32
		b.addTarget("plain", func(w http.ResponseWriter, r *http.Request) {
			switch n.Add(1) {
			case 1:
				w.WriteHeader(http.StatusInternalServerError)
			case 2:
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			case 3:
				panic(http.ErrAbortHandler)
			default:
				respondOK(w, r)
			}
		})
		for range 5 {
			b.send(testRequest{path: "/charge/", key: "choir-key"})
		}
		b.fleet.setLoadsReply(fleet.LoadsReply{})
		b.fleet.mu.Lock()
		got := b.fleet.observed["t0"]
		b.fleet.mu.Unlock()
		want := ramp.Report{}
		if paced {
			want = ramp.Report{Responses: 2, Failures: 2, Refusals: 1}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("reported with targetPace = %v (-want +got):\n%s", paced, diff)
		}
	}
}

// TestPaceIsReportedToNewLeader guards against a new leader that takes a recovering target
// for a sound one, since only the hosts know.
func TestPaceIsReportedToNewLeader(t *testing.T) {
	b := newTestbed(t)
	want := fleet.Paces{"t0": {Rate: 8}}
	b.fleet.setLoadsReply(fleet.LoadsReply{Paces: want})
	b.fleet.setLoadsReply(fleet.LoadsReply{Paces: want})
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if diff := cmp.Diff(map[types.TargetID]ramp.Allowed(want), map[types.TargetID]ramp.Allowed(b.fleet.paces)); diff != "" {
		t.Errorf("reported paces (-want +got):\n%s", diff)
	}
}

// TestNewTargetIsLimitedBeforeTheLeadersWord guards against a new target that all hosts send
// their requests to in the 0.3 s between the list and the exchange of loads.
func TestNewTargetIsLimitedBeforeTheLeadersWord(t *testing.T) {
	b := newTestbedWith(t, func(g *gate.Gate) { g.TargetPace = true })
	var old, started atomic.Int32
	b.addTarget("plain", countRequests(&old, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", "4,0,6") // Busy, so that the new target is preferred.
		respondOK(w, r)
	}))
	b.send(testRequest{path: "/charge/", key: "choir-key"})
	b.addTarget("plain", countRequests(&started, respondOK))
	b.gate.TargetsChanged(b.fleet.View().Targets)
	for start := time.Now(); time.Since(start) < 400*time.Millisecond; {
		if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
			t.Fatalf("status %d: %s", code, body)
		}
	}
	if n := started.Load(); n > 3 {
		t.Errorf("the new target got %d requests within 0.4 s, and the old one %d", n, old.Load())
	}
}
