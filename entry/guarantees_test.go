package entry_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/entry"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/types"
)

const (
	chatBody    = `{"model":"assistant","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`
	crashBody   = `{"crash":true}`
	chatPath    = "/assistant/v1/chat/completions"
	depositPath = "/booking/deposits"
	roomsPath   = "/booking/rooms"
)

// checkFault checks the status and the fault of a response.
func checkFault(t *testing.T, what string, resp response, status int, want fault) {
	t.Helper()
	if diff := cmp.Diff(want, resp.fault()); diff != "" || resp.status != status {
		t.Errorf("%s: status %d, want %d; fault (-want +got):\n%s\n%s", what, resp.status, status, diff, resp.body)
	}
}

// TestDepositAtMostOnce sends a non-idempotent call whose target crashes while it
// runs the call. The outcome must be unknown, also for resends through any entry
// host, and the call must not be sent to a target again.
func TestDepositAtMostOnce(t *testing.T) {
	f := newFleet(t)
	f.openProgram("p")
	want := fault{Code: "outcomeUnknown", Ran: "unknown"}
	for i := range 4 {
		checkFault(t, "deposit", f.call(i%2, "p", 1, depositPath, crashBody), http.StatusBadGateway, want)
	}
	for id, n := range f.booking.Effects() {
		if n != 1 {
			t.Errorf("deposit %s was made %d times", id, n)
		}
	}
	checkFault(t, "without a call number", f.request(0, choirKey, http.MethodPost, "/v1/services/booking/deposits", "{}"), http.StatusOK, fault{})
	if resp := f.call(0, "p", 2, roomsPath, "{}"); resp.status != http.StatusOK {
		t.Errorf("next call of the program: %+v", resp)
	}
}

// TestResendAfterNotRun sends a non-idempotent call whose target is unreachable.
// The fault must say that the call did not run, and a resend must run it exactly
// once when the target is reachable.
func TestResendAfterNotRun(t *testing.T) {
	f := newFleet(t)
	f.openProgram("p")
	address := fakes.FreeAddresses(1)[0]
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "booking-0", Service: "booking", Address: address, Zone: "zone-a"}}})
	checkFault(t, "unreachable", f.call(0, "p", 1, depositPath, "{}"), http.StatusServiceUnavailable, fault{Code: "noTarget", Ran: "notRun"})
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: f.booking}
	var g errgroup.Group
	g.Go(func() error { return server.Serve(l) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = g.Wait()
	})
	f.eventually("resend", func() error {
		if resp := f.call(1, "p", 1, depositPath, "{}"); resp.status != http.StatusOK {
			return fmt.Errorf("%+v", resp)
		}
		return nil
	})
	if diff := cmp.Diff(1, len(f.booking.Effects())); diff != "" {
		t.Errorf("effects (-want +got):\n%s", diff)
	}
}

// TestQuarantine sends a request that crashes its targets, in several programs
// and through both entry hosts. After two crashes the request must be
// quarantined.
func TestQuarantine(t *testing.T) {
	f := newFleet(t)
	var runs atomic.Int64
	crashing := f.startServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	f.applyOrder(config.Change{PutTargets: []config.Target{
		{ID: "booking-0", Service: "booking", Address: crashing, Zone: "zone-a"},
		{ID: "booking-1", Service: "booking", Address: crashing, Zone: "zone-a"},
		{ID: "booking-2", Service: "booking", Address: crashing, Zone: "zone-a"},
		{ID: "booking-3", Service: "booking", Address: crashing, Zone: "zone-a"},
	}})
	for i := range 4 {
		name := fmt.Sprintf("p%d", i)
		f.openProgram(name)
		resp := f.call(i%2, name, 1, roomsPath, `{"crashing":1}`)
		if i > 0 {
			checkFault(t, name, resp, http.StatusUnprocessableEntity, fault{Code: "quarantined", Ran: "notRun"})
		}
	}
	if diff := cmp.Diff(int64(2), runs.Load()); diff != "" {
		t.Errorf("crashed targets (-want +got):\n%s", diff)
	}
}

// TestSuccessClearsCrashCount sends the same request in several calls. Each first
// attempt crashes its target and the second one succeeds. Since a success resets
// the crash count, the request must not be quarantined.
func TestSuccessClearsCrashCount(t *testing.T) {
	f := newFleet(t)
	f.openProgram("p")
	var runs atomic.Int64
	flaky := f.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1)%2 == 1 {
			panic(http.ErrAbortHandler)
		}
		f.booking.ServeHTTP(w, r)
	}))
	f.applyOrder(config.Change{PutTargets: []config.Target{
		{ID: "booking-0", Service: "booking", Address: flaky, Zone: "zone-a"},
		{ID: "booking-1", Service: "booking", Address: flaky, Zone: "zone-a"},
	}})
	for n := 1; n <= 4; n++ {
		if resp := f.call(n%2, "p", n, roomsPath, `{"same":1}`); resp.status != http.StatusOK {
			t.Errorf("call %d: %+v", n, resp)
		}
	}
}

// TestTargetsNeverReceiveKey sends the caller's key in various headers and checks
// that no target receives the key or its hash.
func TestTargetsNeverReceiveKey(t *testing.T) {
	f := newFleet(t)
	f.openProgram("p")
	for _, path := range []string{"/v1/services/booking/rooms", "/open/lobby/rooms", "/v1/programs/p/calls/1" + roomsPath} {
		req, err := http.NewRequest(http.MethodPost, "http://"+f.entryAddresses[0]+path, strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Cookie", "Forwarded", "X-Authorization"} {
			req.Header.Set(name, "Bearer "+choirKey)
		}
		if resp := f.do(req); resp.status != http.StatusOK {
			t.Fatalf("%s: %+v", path, resp)
		}
	}
	seen := fmt.Sprint(f.booking.Headers())
	if len(f.booking.Headers()) != 3 || strings.Contains(seen, choirKey) || strings.Contains(seen, string(types.HashKey(choirKey))) {
		t.Errorf("targets received %s", seen)
	}
}

// TestCallerPriorityReplaced sends requests with a priority set by the caller. The
// engine must receive the priority computed by the entry host instead.
func TestCallerPriorityReplaced(t *testing.T) {
	f := newFleet(t)
	var mu sync.Mutex
	var seen []int
	engine := f.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Priority int }
		_ = json.NewDecoder(r.Body).Decode(&body)
		mu.Lock()
		seen = append(seen, body.Priority)
		mu.Unlock()
		_, _ = fmt.Fprint(w, `{"usage":{"completion_tokens":8}}`)
	}))
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "engine-0", Service: "assistant", Address: engine, Zone: "zone-a"}}})
	for _, key := range []string{choirKey, choirKey, choirKey, choirKey, bandKey} {
		body := strings.Replace(chatBody, "{", `{"priority":99,`, 1)
		if resp := f.request(0, key, http.MethodPost, "/v1/chat/completions", body); resp.status != http.StatusOK {
			t.Fatalf("%+v", resp)
		}
	}
	if diff := cmp.Diff([]int{0, 0, 0, 0, 8}, seen); diff != "" {
		t.Errorf("priorities (-want +got):\n%s", diff)
	}
}

// TestAccountIsolation accesses a program of another account with a valid key,
// and a program without a valid key. Both must be rejected.
func TestAccountIsolation(t *testing.T) {
	f := newFleet(t)
	f.openProgram("p")
	if resp := f.call(0, "p", 1, chatPath, chatBody); resp.status != http.StatusOK {
		t.Fatalf("call: %+v", resp)
	}
	notFound := fault{Code: "notFound", Ran: "notRun"}
	for _, path := range []string{"/v1/programs/p", "/v1/programs/p/history"} {
		checkFault(t, path, f.request(0, bandKey, http.MethodGet, path, ""), http.StatusNotFound, notFound)
	}
	for _, path := range []string{"/v1/programs/p/end", "/v1/programs/p/calls/2" + roomsPath} {
		checkFault(t, path, f.request(0, bandKey, http.MethodPost, path, "{}"), http.StatusNotFound, notFound)
	}
	for _, key := range []string{"", "wrong", string(types.HashKey(choirKey))} {
		checkFault(t, "key "+key, f.request(0, key, http.MethodGet, "/v1/programs/p", ""), http.StatusUnauthorized, fault{Code: "unauthorized", Ran: "notRun"})
	}
}

// TestRevokedKey revokes a key while its caller receives a stream. The stream must
// end with an error event, and new requests must be rejected.
func TestRevokedKey(t *testing.T) {
	f := newFleet(t)
	slow := &fakes.Engine{TokenTime: 20 * time.Millisecond, AnswerTokens: 500}
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "engine-0", Service: "assistant", Address: f.startServer(slow.Handler()), Zone: "zone-a"}}})
	f.openProgram("p")
	var wg sync.WaitGroup
	var stream response
	wg.Go(func() {
		stream = f.call(0, "p", 1, chatPath, strings.Replace(chatBody, `"max_tokens":8`, `"stream":true,"max_tokens":500`, 1))
	})
	f.waitEngineBusy(slow)
	f.revokeKey(choirKey)
	checkFault(t, "connected caller", f.request(0, choirKey, http.MethodGet, "/v1/programs/p", ""), http.StatusUnauthorized, fault{Code: "unauthorized", Ran: "notRun"})
	wg.Wait()
	if !strings.Contains(stream.body, "event: error") || strings.Contains(stream.body, "[DONE]") {
		t.Errorf("the stream was not ended with an error event: %.300s", stream.body)
	}
}

// revokeKey revokes a key and waits until the change is in force on all entry
// hosts.
func (f *fleet) revokeKey(key string) {
	f.t.Helper()
	ctx := f.t.Context()
	current, err := f.client.Fleet(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	id := types.OrderID(types.RandomID())
	decision, err := f.client.SubmitOrder(ctx, newOrder(id, current.Version, config.Change{DropKeys: []types.KeyHash{types.HashKey(key)}}))
	if err != nil || !decision.Accepted {
		f.t.Fatal(decision, err)
	}
	f.waitInForce(decision.Version)
}

// TestTruncatedStream has an engine abort its stream. The caller must receive an
// error event and no [DONE], and a resend must get the failure recorded in the
// journal.
func TestTruncatedStream(t *testing.T) {
	f := newFleet(t)
	broken := f.startServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: {\"choices\":[]}\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "engine-0", Service: "assistant", Address: broken, Zone: "zone-a"}}})
	f.openProgram("p")
	resp := f.call(0, "p", 1, chatPath, strings.Replace(chatBody, `"max_tokens":8`, `"stream":true`, 1))
	if !strings.Contains(resp.body, "event: error") || strings.Contains(resp.body, "[DONE]") {
		t.Errorf("stream: %s", resp.body)
	}
	checkFault(t, "resend", f.call(1, "p", 1, chatPath, strings.Replace(chatBody, `"max_tokens":8`, `"stream":true`, 1)), http.StatusBadGateway, fault{Code: "targetFailed", Ran: "unknown"})
}

// TestShutdownCompletesStream stops an entry host while it streams a response. The
// caller must receive the complete stream, and the journal must contain the same
// response.
func TestShutdownCompletesStream(t *testing.T) {
	f := newFleet(t)
	slow := &fakes.Engine{TokenTime: 20 * time.Millisecond, AnswerTokens: 50}
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "engine-0", Service: "assistant", Address: f.startServer(slow.Handler()), Zone: "zone-a"}}})
	f.openProgram("p")
	var wg sync.WaitGroup
	var stream response
	ended := make(chan struct{})
	wg.Go(func() {
		defer close(ended)
		stream = f.call(0, "p", 1, chatPath, strings.Replace(chatBody, `"max_tokens":8`, `"stream":true`, 1))
	})
	for computed := 0; computed == 0; computed, _ = slow.PrefillTokens() {
		select {
		case <-ended:
			t.Fatalf("the call ended before the engine had it: %+v", stream)
		case <-time.After(10 * time.Millisecond):
		}
	}
	f.stopEntry[0]()
	wg.Wait()
	if stream.err != nil || !strings.HasSuffix(stream.body, "data: [DONE]") {
		t.Errorf("the stream was truncated: %v %s", stream.err, stream.body)
	}
	if resp := f.call(1, "p", 1, chatPath, strings.Replace(chatBody, `"max_tokens":8`, `"stream":true`, 1)); resp.body != stream.body {
		t.Errorf("the journal contains a different response: %s", resp.body)
	}
}

// TestEndedProgramReleasesCache ends a program while its engine is down. When the
// engine is up again, the program's cached prefix must be released and that of
// another program kept.
func TestEndedProgramReleasesCache(t *testing.T) {
	f := newFleet(t)
	var down atomic.Bool
	handler := f.engine.Handler()
	proxy := f.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "engine-0", Service: "assistant", Address: proxy, Zone: "zone-a"}}})
	f.openProgram("p")
	f.openProgram("q")
	for _, p := range []string{"p", "q"} {
		if resp := f.call(0, p, 1, chatPath, chatBody); resp.status != http.StatusOK {
			t.Fatalf("call: %+v", resp)
		}
	}
	down.Store(true)
	if resp := f.request(1, choirKey, http.MethodPost, "/v1/programs/p/end", ""); resp.status != http.StatusOK {
		t.Fatalf("end: %+v", resp)
	}
	time.Sleep(500 * time.Millisecond)
	down.Store(false)
	f.eventually("cached prefix is released", func() error {
		if cached := f.engine.CachedPrefixes(); len(cached) != 1 || cached[entry.CacheKey("choir", "q")] == 0 {
			return fmt.Errorf("cached prefixes: %v", cached)
		}
		return nil
	})
}

// TestDrainingTargetGetsNoCalls marks the only target of a service as draining in
// the configuration. Calls must fail with noTarget.
func TestDrainingTargetGetsNoCalls(t *testing.T) {
	f := newFleet(t)
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "booking-0", Service: "booking", Address: f.startServer(f.booking), Zone: "zone-a", Draining: true}}})
	f.openProgram("p")
	checkFault(t, "leaving", f.call(0, "p", 1, roomsPath, "{}"), http.StatusServiceUnavailable, fault{Code: "noTarget", Ran: "notRun"})
}

// TestHostListMarksTargetDraining marks one of two targets as leaving in the
// platform's host list but not in the configuration. The target must get no new
// calls.
func TestHostListMarksTargetDraining(t *testing.T) {
	f := newFleet(t)
	var drainingCalls atomic.Int64
	draining := f.startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		drainingCalls.Add(1)
		f.booking.ServeHTTP(w, r)
	}))
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "booking-1", Service: "booking", Address: draining, Zone: "zone-a"}}})
	if err := os.WriteFile(f.hostList, []byte("# platform\n"+draining+" leaving\n10.0.0.9 live\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	drainingTargetIdle := func() bool {
		before := drainingCalls.Load()
		for i := range 20 {
			f.request(i%2, choirKey, http.MethodPost, "/v1/services/booking/rooms", "{}")
		}
		return drainingCalls.Load() == before
	}
	f.eventually("no new calls reach the draining target", func() error {
		if !drainingTargetIdle() {
			return fmt.Errorf("%d calls reached it", drainingCalls.Load())
		}
		return nil
	})
	if !drainingTargetIdle() || len(f.booking.Headers()) == 0 {
		t.Error("the draining target received new calls, or the other target none")
	}
}
