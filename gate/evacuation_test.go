package gate_test

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// evacuate changes the view of the gate: the n-th target is in the n-th zone, and the
// given zones are evacuated. The zones that are not were before.
func (b *testbed) evacuate(zones []types.ZoneID, evacuated ...types.ZoneID) {
	b.updateView(func(v *fleet.View) {
		v.Zones = map[types.ZoneID]fleet.ZoneState{}
		for i := range v.Targets {
			v.Targets[i].Zone = zones[i]
			v.Zones[zones[i]] = fleet.ZoneState{Evacuated: slices.Contains(evacuated, zones[i])}
		}
	})
}

// updateView lets change modify a copy of the gate's view and tells the gate.
func (b *testbed) updateView(change func(v *fleet.View)) {
	view := b.fleet.View()
	view.Targets = slices.Clone(view.Targets)
	change(&view)
	b.fleet.setView(view)
	b.gate.TargetsChanged(view.Targets)
}

// twoZones are the zones of two targets.
var twoZones = []types.ZoneID{"zone-a", "zone-b"}

// newZonedTestbed returns a testbed with a target of a service in each of two zones, and
// the number of requests that each has got.
func newZonedTestbed(t *testing.T, service types.ServiceID, h ...http.HandlerFunc) (*testbed, func() []int32) {
	t.Helper()
	b := newTestbed(t)
	counts := make([]atomic.Int32, len(h))
	for i := range h {
		b.addTarget(service, countRequests(&counts[i], h[i]))
	}
	b.evacuate(twoZones)
	return b, func() []int32 { return []int32{counts[0].Load(), counts[1].Load()} }
}

// TestEvacuatedZoneGetsNoRequests guards against requests to a zone that is evacuated,
// whose target this host prefers since it is in its own zone and connected, and against a
// zone that gets none after it was taken back.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	b, got := newZonedTestbed(t, "plain", respondOK, respondOK)
	request := testRequest{path: "/charge/", key: "choir-key"}
	b.send(request)
	before := got()
	b.evacuate(twoZones, "zone-a")
	for range 5 {
		if code, body := b.send(request); code != http.StatusOK {
			t.Errorf("status %d: %s", code, body)
		}
	}
	if diff := cmp.Diff([]int32{before[0], before[1] + 5}, got()); diff != "" {
		t.Errorf("requests that the targets got (-want +got):\n%s", diff)
	}
	b.evacuate(twoZones, "zone-b")
	b.send(request)
	if diff := cmp.Diff([]int32{before[0] + 1, before[1] + 5}, got()); diff != "" {
		t.Errorf("requests that the targets got after the return (-want +got):\n%s", diff)
	}
}

// TestOtherEventsDuringEvacuation guards against a request that goes to an evacuated zone
// since the targets elsewhere cannot take it: a second attempt, one whose target drains, is
// released or scaled in, or names a limit, and a turn while a store is retired.
func TestOtherEventsDuringEvacuation(t *testing.T) {
	limited := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "0")
		respondOK(w, r)
	}
	drains := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		respondOK(w, r)
	}
	moved := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	remove := func(v *fleet.View) { v.Targets = v.Targets[:1] }
	drain := func(v *fleet.View) { v.Targets[1].Draining = true }
	release := func(v *fleet.View) { v.Targets[1].Address = "127.0.0.1:1" }
	drainEvacuated := func(v *fleet.View) { v.Targets[0].Draining, v.Targets[0].Announced = true, true }
	retireStore := func(v *fleet.View) {
		m := *v.Map
		m.Shards = slices.Clone(m.Shards)
		for i := range m.Shards {
			m.Shards[i].Next = m.Shards[i].Current
		}
		v.Map = &m
	}
	for name, c := range map[string]struct {
		service types.ServiceID
		path    string
		other   http.HandlerFunc // of the target in the other zone
		change  func(*fleet.View)
		status  int // of the second request
		sent    int32
	}{
		"second attempt":              {service: "plain", path: "/lookup/", other: truncateResponse, status: http.StatusBadGateway, sent: 2},
		"rejection":                   {service: "plain", path: "/charge/", other: rejectNotRun, status: http.StatusServiceUnavailable, sent: 2},
		"other process at address":    {service: "plain", path: "/charge/", other: moved, status: http.StatusServiceUnavailable, sent: 2},
		"limit":                       {service: "plain", path: "/charge/", other: limited, status: http.StatusServiceUnavailable, sent: 1},
		"announced drain":             {service: "plain", path: "/charge/", other: drains, status: http.StatusOK, sent: 2},
		"announced drain in the zone": {service: "plain", path: "/charge/", other: respondOK, change: drainEvacuated, status: http.StatusOK, sent: 2},
		"listed drain":                {service: "plain", path: "/charge/", other: respondOK, change: drain, status: http.StatusServiceUnavailable, sent: 1},
		"release":                     {service: "plain", path: "/charge/", other: respondOK, change: release, status: http.StatusServiceUnavailable, sent: 1},
		"scale-in":                    {service: "plain", path: "/charge/", other: respondOK, change: remove, status: http.StatusServiceUnavailable, sent: 1},
		"retired store":               {service: "models", path: "/chat/", other: respondTurn, change: retireStore, status: http.StatusOK, sent: 2},
	} {
		t.Run(name, func(t *testing.T) {
			b, got := newZonedTestbed(t, c.service, respondOK, c.other)
			b.evacuate(twoZones, "zone-a")
			request := testRequest{path: c.path, key: "choir-key", header: map[string]string{"Program": "p"}}
			b.trySend(request)
			if c.change != nil {
				b.updateView(c.change)
			}
			resp, err := b.tryDo(t.Context(), request)
			if err != nil || resp.StatusCode != c.status || c.status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Errorf("response %+v, %v, want status %d", resp, err, c.status)
			}
			if diff := cmp.Diff([]int32{0, c.sent}, got()); diff != "" {
				t.Errorf("requests that the targets got (-want +got):\n%s", diff)
			}
		})
	}
}

// TestServiceWithoutTargetIsRefusedAtOnce guards against requests to a service of which
// all zones are evacuated that wait for a rate limit or use it up, and against such a
// request that was waiting when the last zone was evacuated and is sent all the same.
func TestServiceWithoutTargetIsRefusedAtOnce(t *testing.T) {
	b, got := newZonedTestbed(t, "plain", respondOK, respondOK)
	request := testRequest{path: "/charge/", key: "small-key"}
	b.fleet.silenceLimits(600 * time.Millisecond)
	var waiting errgroup.Group
	waiting.Go(func() error {
		if resp := b.do(t.Context(), request); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("waiting request: status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
		return nil
	})
	time.Sleep(200 * time.Millisecond)
	b.evacuate(twoZones, "zone-a", "zone-b")
	start := time.Now()
	resp := b.do(t.Context(), request)
	if took := time.Since(start); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "1.000" || took > 200*time.Millisecond {
		t.Errorf("status %d, Retry-After %q after %v", resp.StatusCode, resp.Header.Get("Retry-After"), took)
	}
	_ = waiting.Wait()
	if diff := cmp.Diff([]int32{0, 0}, got()); diff != "" {
		t.Errorf("requests that the targets got (-want +got):\n%s", diff)
	}
}

// TestCachedPromptDoesNotLeadToEvacuatedZone guards against a turn that is sent to an
// evacuated zone since a target there has its prompt in the cache.
func TestCachedPromptDoesNotLeadToEvacuatedZone(t *testing.T) {
	b, got := newZonedTestbed(t, "models", respondTurn, respondTurn)
	request := testRequest{path: "/chat/", key: "choir-key", header: map[string]string{"Prompt": "shared:12600,own:840", "Tokens": "13440,10"}}
	b.evacuate(twoZones, "zone-b")
	b.trySend(request)
	b.evacuate(twoZones, "zone-a")
	b.trySend(request)
	if diff := cmp.Diff([]int32{1, 1}, got()); diff != "" {
		t.Errorf("requests that the targets got (-want +got):\n%s", diff)
	}
}

// TestRequestInFlightEndsInEvacuatedZone guards against responses that are cut off when
// the zone of their target is evacuated.
func TestRequestInFlightEndsInEvacuatedZone(t *testing.T) {
	reached, finish := make(chan struct{}), make(chan struct{})
	b, _ := newZonedTestbed(t, "plain", func(w http.ResponseWriter, r *http.Request) {
		close(reached)
		<-finish
		respondOK(w, r)
	}, respondOK)
	b.evacuate(twoZones, "zone-b")
	var inFlight errgroup.Group
	inFlight.Go(func() error {
		resp := b.do(t.Context(), testRequest{path: "/charge/", key: "choir-key"})
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "fine" {
			t.Errorf("response %q, %v", body, err)
		}
		return nil
	})
	<-reached
	b.evacuate(twoZones, "zone-a")
	b.send(testRequest{path: "/charge/", key: "choir-key"})
	close(finish)
	_ = inFlight.Wait()
}
