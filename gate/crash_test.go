package gate_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// addCrashingTarget starts a target of a service that ends with the first request: it
// closes its listener and the connection.
func (b *testbed) addCrashingTarget(service types.ServiceID) { b.addEndingTarget(service, func() {}) }

// addEndingTarget is addCrashingTarget with a function that is called before the end.
func (b *testbed) addEndingTarget(service types.ServiceID, beforeEnd func()) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		beforeEnd()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			b.t.Error(err)
			return
		}
		_ = server.Listener.Close()
		_ = conn.Close()
	}))
	b.t.Cleanup(server.Close)
	b.addListedTarget(service, server)
}

// reportedCrashes waits for the given number of crash reports and returns all of them.
func (b *testbed) reportedCrashes(n int) []fleet.CrashReport {
	b.t.Helper()
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		b.fleet.mu.Lock()
		crashes := b.fleet.crashes
		b.fleet.mu.Unlock()
		if len(crashes) >= n {
			return crashes
		}
		if time.Since(start) > 30*time.Second {
			b.t.Fatalf("%d crashes were reported, want %d", len(crashes), n)
		}
	}
}

// awaitProbe waits until a target has been probed after an interrupted request.
func (b *testbed) awaitProbe() {
	b.t.Helper()
	for start := time.Now(); !strings.Contains(b.log.String(), `"event":505`); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > 30*time.Second {
			b.t.Fatal("no target was probed")
		}
	}
}

// TestEndedTargetIsReported guards against missing that a target ended while it ran a
// request, and against taking a target for ended that only broke off its response.
func TestEndedTargetIsReported(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", truncateResponse)
	b.send(testRequest{path: "/charge/broken", key: "choir-key", body: "same"})
	b.fleet.setView(fleet.View{Plan: b.fleet.View().Plan, Map: b.fleet.View().Map})
	b.addCrashingTarget("plain")
	b.addCrashingTarget("plain")
	for range 2 {
		if code, body := b.send(testRequest{path: "/charge/ended", key: "choir-key", body: "same"}); code != http.StatusBadGateway {
			t.Errorf("status %d: %s", code, body)
		}
		time.Sleep(150 * time.Millisecond) // Until the target is known to be down.
	}
	crashes := b.reportedCrashes(2)
	if len(crashes) != 2 || crashes[0].Fingerprint != crashes[1].Fingerprint || crashes[0].Target == crashes[1].Target || crashes[0].Attempt == crashes[1].Attempt {
		t.Errorf("reported crashes: %+v", crashes)
	}
	for _, c := range crashes {
		if c.SentAgo < c.EndedAgo || c.EndedAgo <= 0 || c.Zone != "zone-a" {
			t.Errorf("reported crash: %+v", c)
		}
	}
}

// TestPlannedEndIsNoCrash guards against blaming the requests of a target that ends after
// it was listed as draining, also if it is no longer listed by then, and against missing the
// crash of a target that the list drops without that.
func TestPlannedEndIsNoCrash(t *testing.T) {
	for _, draining := range []bool{true, false} {
		b := newTestbed(t)
		b.addEndingTarget("plain", func() {
			v := b.fleet.View()
			list := slices.Clone(v.Targets)
			list[0].Draining = draining
			b.gate.TargetsChanged(list)
			v.Targets = nil
			b.fleet.setView(v)
			b.gate.TargetsChanged(nil)
		})
		b.send(testRequest{path: "/charge/", key: "choir-key", body: "first"})
		b.awaitProbe()
		b.addCrashingTarget("plain") // Under the same ID, so that the end before is no longer planned.
		b.gate.TargetsChanged(b.fleet.View().Targets)
		b.send(testRequest{path: "/charge/", key: "choir-key", body: "second"})
		want := map[bool]int{true: 1, false: 2}[draining]
		b.reportedCrashes(want)
		time.Sleep(time.Second) // Several exchanges.
		if diff := cmp.Diff(want, len(b.reportedCrashes(want))); diff != "" {
			t.Errorf("draining %t: reported crashes (-want +got):\n%s", draining, diff)
		}
	}
}

// TestSilentEndIsReported guards against missing that a target went silent for good while it
// ran a request whose caller does not wait until the deadline.
func TestSilentEndIsReported(t *testing.T) {
	for _, path := range []string{"/lookup/", "/chat/"} {
		b := newTestbed(t)
		service := types.ServiceID("plain")
		if path == "/chat/" {
			service = "models"
		}
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_ = server.Listener.Close() // The connection stays open.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}))
		t.Cleanup(server.Close)
		b.addListedTarget(service, server)
		ctx, cancel := context.WithTimeout(context.Background(), 1300*time.Millisecond)
		defer cancel()
		if _, err := b.tryDo(ctx, testRequest{path: path, key: "choir-key", body: "poison"}); err == nil {
			t.Errorf("%s: the caller has a response", path)
		}
		if crash := b.reportedCrashes(1)[0]; crash.SentAgo < time.Second {
			t.Errorf("%s: reported crash %+v", path, crash)
		}
	}
}

// TestPoisonousRequestIsRefused guards against sending on a request that the leader
// lists as poisonous, and against refusing others of the same caller, path or body.
func TestPoisonousRequestIsRefused(t *testing.T) {
	b := newTestbed(t)
	b.addCrashingTarget("plain")
	poisonous := testRequest{path: "/charge/x?y=1", key: "choir-key", body: "poison"}
	b.send(poisonous)
	crash := b.reportedCrashes(1)[0]
	b.addTarget("plain", respondOK)
	b.fleet.setLoadsReply(fleet.LoadsReply{Suspects: &fleet.Suspects{Checksum: 1, Poisonous: []types.Fingerprint{crash.Fingerprint}}})
	resp := b.do(context.Background(), poisonous)
	body, _ := io.ReadAll(resp.Body)
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode != http.StatusServiceUnavailable || err != nil || after < 1 ||
		!strings.Contains(string(body), "targets ended") {
		t.Errorf("status %d, Retry-After %q, %s", resp.StatusCode, resp.Header.Get("Retry-After"), body)
	}
	for _, other := range []testRequest{
		{path: "/charge/x?y=1", key: "band-key", body: "poison"},
		{path: "/charge/x?y=2", key: "choir-key", body: "poison"},
		{path: "/charge/x?y=1", key: "choir-key", body: "other"},
	} {
		if code, body := b.send(other); code != http.StatusOK {
			t.Errorf("%+v: %d (%s)", other, code, body)
		}
	}
}

// TestCompletedSuspectIsReported guards against blaming a request that targets complete:
// the host reports each suspect that completes, its own and those that the leader lists.
func TestCompletedSuspectIsReported(t *testing.T) {
	b := newTestbed(t)
	b.addCrashingTarget("plain")
	suspect := testRequest{path: "/charge/", key: "choir-key", body: "suspect"}
	b.send(suspect)
	crash := b.reportedCrashes(1)[0]
	b.addTarget("plain", respondOK)
	for _, list := range []*fleet.Suspects{nil, {Checksum: 1, Watched: []types.Fingerprint{crash.Fingerprint}}} {
		b.fleet.setLoadsReply(fleet.LoadsReply{Suspects: list})
		b.fleet.mu.Lock()
		b.fleet.completed = nil
		b.fleet.mu.Unlock()
		for _, r := range []testRequest{suspect, {path: "/charge/", key: "choir-key", body: "other"}} {
			if code, body := b.send(r); code != http.StatusOK {
				t.Errorf("%+v: %d (%s)", r, code, body)
			}
		}
		b.fleet.setLoadsReply(fleet.LoadsReply{Suspects: list})
		b.fleet.mu.Lock()
		got := b.fleet.completed
		b.fleet.mu.Unlock()
		if diff := cmp.Diff([]types.Fingerprint{crash.Fingerprint}, got); diff != "" {
			t.Errorf("reported completions (-want +got):\n%s", diff)
		}
	}
}

// TestCompletionBeforeProbeIsReported guards against blaming a request whose other copy
// completes after the crash and before the target is probed: the crash would be reported
// and the completion forgotten.
func TestCompletionBeforeProbeIsReported(t *testing.T) {
	b := newTestbed(t)
	b.addCrashingTarget("plain")
	b.addTarget("models", respondOK)
	suspect := testRequest{path: "/charge/", key: "choir-key", body: "suspect"}
	b.send(suspect)
	v := b.fleet.View()
	v.Targets = slices.Clone(v.Targets)
	v.Targets[0].Service, v.Targets[1].Service = "models", "plain"
	b.fleet.setView(v)
	if code, body := b.send(suspect); code != http.StatusOK {
		t.Errorf("status %d: %s", code, body)
	}
	time.Sleep(time.Second) // Until the target is probed, and several exchanges.
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if len(b.fleet.crashes) != 1 || len(b.fleet.completed) != 1 {
		t.Errorf("reported crashes %+v, completed %v", b.fleet.crashes, b.fleet.completed)
	}
}

// TestNewLeaderReceivesAllCrashes guards against losing the count of a request's crashes
// with the leader.
func TestNewLeaderReceivesAllCrashes(t *testing.T) {
	b := newTestbed(t)
	b.addCrashingTarget("plain")
	b.fleet.setLoadsReply(fleet.LoadsReply{Cursor: fleet.Cursor{TableID: "first"}})
	b.send(testRequest{path: "/charge/", key: "choir-key", body: "poison"})
	first := b.reportedCrashes(1)[0]
	b.fleet.setLoadsReply(fleet.LoadsReply{Cursor: fleet.Cursor{TableID: "second"}})
	second := b.reportedCrashes(2)[1]
	if first.Attempt != second.Attempt || first.Target != second.Target {
		t.Errorf("reports to the first and the second leader: %+v, %+v", first, second)
	}
	time.Sleep(time.Second) // Several exchanges.
	if n := len(b.reportedCrashes(2)); n != 2 {
		t.Errorf("the crash was reported %d times", n)
	}
}
