package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/drain"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// announce returns a target that says in its responses whether it drains, and counts its
// requests in n.
func announce(n *atomic.Int32, value string, h http.HandlerFunc) http.HandlerFunc {
	return countRequests(n, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", value)
		h(w, r)
	})
}

// respondTurn is a target that streams one event.
func respondTurn(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "p")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 0\ndata: x\n\n")
}

// trySend is like send, but returns a status of 0 if the response is broken off.
func (b *testbed) trySend(r testRequest) (int, string) {
	resp, err := b.tryDo(b.t.Context(), r)
	if err != nil {
		return 0, err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// setFirstTarget sets whether the list shows the first target as draining, and whether
// only since it has announced it, and tells the gate.
func (b *testbed) setFirstTarget(draining, announced bool) {
	view := b.fleet.View()
	view.Targets = slices.Clone(view.Targets)
	view.Targets[0].Draining, view.Targets[0].Announced = draining, announced
	b.fleet.setView(view)
	b.gate.TargetsChanged(view.Targets)
}

// TestAnnouncedDrainEndsRequests guards against requests that are sent to a target after
// it has said, in whatever kind of response, that it drains, while the platform's list
// still shows it as ready.
func TestAnnouncedDrainEndsRequests(t *testing.T) {
	for name, c := range map[string]struct {
		service         types.ServiceID
		path            string
		draining, other http.HandlerFunc
	}{
		"success": {"plain", "/charge/", respondOK, respondOK},
		"stream":  {"models", "/chat/", respondTurn, respondTurn},
		"own error": {"plain", "/charge/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Proof", "p")
			w.WriteHeader(http.StatusInternalServerError)
		}, respondOK},
		"rejection":      {"plain", "/charge/", rejectNotRun, respondOK},
		"broken off":     {"plain", "/lookup/", truncateResponse, respondOK},
		"anonymous call": {"plain", "/open/", respondOK, respondOK},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var before, after atomic.Int32
			b.addTarget(c.service, announce(&before, "1", c.draining))
			request := testRequest{path: c.path, key: "choir-key"}
			b.trySend(request)
			b.addTarget(c.service, countRequests(&after, c.other))
			sent := before.Load()
			for range 10 {
				if code, body := b.trySend(request); code != http.StatusOK {
					t.Errorf("status %d: %s", code, body)
				}
			}
			if diff := cmp.Diff([]int32{sent, 10}, []int32{before.Load(), after.Load()}); diff != "" {
				t.Errorf("requests that the draining target and the other one got (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLastTargetDrains guards against refusals in the moment between the announcement of
// a service's only target and the list with its successor, and against requests to it
// later than it may be expected to serve.
func TestLastTargetDrains(t *testing.T) {
	b := newTestbed(t)
	var got atomic.Int32
	b.addTarget("plain", announce(&got, "1", respondOK))
	request := testRequest{path: "/charge/", key: "choir-key"}
	for range 3 {
		if code, _ := b.send(request); code != http.StatusOK {
			t.Errorf("status %d within the grace time", code)
		}
	}
	time.Sleep(drain.GraceTime)
	sent := got.Load()
	resp := b.do(t.Context(), request)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q after the grace time", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if n := got.Load(); n != sent {
		t.Errorf("the target got %d requests after the grace time", n-sent)
	}
}

// TestAnnouncementIsReadWithCare guards against a target that is left out because of a
// field with another value, or of a response that need not be its own.
func TestAnnouncementIsReadWithCare(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"0": respondOK, "yes": respondOK, "11": respondOK, "": respondOK, "\x7f\"" + fmt.Sprint(1<<40): respondOK,
		"1": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "without signature") },
		" 1": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusMisdirectedRequest) // From another target at the address.
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var got atomic.Int32
			b.addTarget("plain", announce(&got, name, h))
			for range 3 {
				b.send(testRequest{path: "/charge/", key: "choir-key"})
			}
			time.Sleep(drain.GraceTime)
			b.send(testRequest{path: "/charge/", key: "choir-key"})
			if diff := cmp.Diff(int32(4), got.Load()); diff != "" {
				t.Errorf("requests that the target got (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAnnouncementEndsWithTheTarget guards against a target that gets no requests since
// the process that it replaces under the same ID has drained.
func TestAnnouncementEndsWithTheTarget(t *testing.T) {
	b := newTestbed(t)
	var got atomic.Int32
	var value atomic.Value
	value.Store("1")
	b.addTarget("plain", countRequests(&got, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", value.Load().(string))
		respondOK(w, r)
	}))
	request := testRequest{path: "/charge/", key: "choir-key"}
	b.send(request)
	for _, draining := range []bool{true, false} {
		b.setFirstTarget(draining, false)
		if code, _ := b.send(request); (code == http.StatusOK) == draining {
			t.Errorf("status %d, listed as draining: %t", code, draining)
		}
		value.Store("")
	}
	if diff := cmp.Diff(int32(2), got.Load()); diff != "" {
		t.Errorf("requests that the target got (-want +got):\n%s", diff)
	}
}

// TestHostKeepsAnnouncementsThatOthersHaveHeard guards against requests to a target that
// has told only another host that it drains.
func TestHostKeepsAnnouncementsThatOthersHaveHeard(t *testing.T) {
	b := newTestbed(t)
	var got, other atomic.Int32
	b.addTarget("plain", countRequests(&got, respondOK))
	b.addTarget("plain", countRequests(&other, respondOK))
	b.setFirstTarget(true, true)
	for range 5 {
		b.send(testRequest{path: "/charge/", key: "choir-key"})
	}
	if diff := cmp.Diff([]int32{0, 5}, []int32{got.Load(), other.Load()}); diff != "" {
		t.Errorf("requests that the targets got (-want +got):\n%s", diff)
	}
}

// TestAnnouncementIsReported guards against an announcement that the host keeps to itself,
// and against reports of what the leader's list already shows.
func TestAnnouncementIsReported(t *testing.T) {
	b := newTestbed(t)
	var got atomic.Int32
	b.addTarget("plain", announce(&got, "1", respondOK))
	b.send(testRequest{path: "/charge/", key: "choir-key"})
	b.fleet.setLoadsReply(fleet.LoadsReply{})
	if ages := b.fleet.reportedDraining(); len(ages) != 1 || ages["t0"] <= 0 || ages["t0"] > drain.ConfirmTime {
		t.Errorf("reported %v, want the age of the announcement of t0", ages)
	}
	b.setFirstTarget(true, true)
	b.fleet.setLoadsReply(fleet.LoadsReply{})
	if ages := b.fleet.reportedDraining(); len(ages) != 0 {
		t.Errorf("reported %v again", ages)
	}
}
