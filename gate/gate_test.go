package gate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// send sends a request and returns the status code and the body of the response.
func (b *testbed) send(r testRequest) (int, string) {
	b.t.Helper()
	resp := b.do(context.Background(), r)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// respondOK is a target that sends a signed response.
func respondOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "p")
	_, _ = io.WriteString(w, "fine")
}

// rejectNotRun is a target that rejects requests without running them.
func rejectNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// truncateResponse is a target that runs the request and truncates its response.
func truncateResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "p")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half of it")
	panic(http.ErrAbortHandler)
}

// countRequests wraps h to count its requests in n.
func countRequests(n *atomic.Int32, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	}
}

func TestTargetReceivesAccountButNoKey(t *testing.T) {
	b := newTestbed(t)
	seen := make(chan *http.Request, 1)
	b.addTarget("plain", func(w http.ResponseWriter, r *http.Request) {
		seen <- r
		respondOK(w, r)
	})
	code, body := b.send(testRequest{path: "/lookup/x?y=1", key: "band-key", header: map[string]string{
		"Account": "choir", "Internal": "1", "Rank": "0", "Other": "kept", "Deadline": "900", "Target": "elsewhere",
	}})
	if diff := cmp.Diff("200 fine", fmt.Sprint(code, " ", body)); diff != "" {
		t.Errorf("response (-want +got):\n%s", diff)
	}
	r := <-seen
	got := map[string]string{"target": r.RequestURI, "host": r.Host}
	for _, name := range []string{"Account", "Authorization", "Internal", "Other", "Rank", "Target"} {
		got[name] = r.Header.Get(name)
	}
	want := map[string]string{
		"target": "/lookup/x?y=1", "host": "a.example", "Account": "band", "Authorization": "", "Internal": "", "Other": "kept", "Rank": "1", "Target": "t0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("request received by the target (-want +got):\n%s", diff)
	}
	if ms, err := strconv.Atoi(r.Header.Get("Deadline")); err != nil || ms < 1 || ms > 900 {
		t.Errorf("deadline received by the target: %q", r.Header.Get("Deadline"))
	}
}

func TestErrorStatuses(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	for _, c := range []struct {
		request testRequest
		want    int
	}{
		{testRequest{path: "/nowhere/", key: "choir-key"}, http.StatusNotFound},
		{testRequest{path: "/lookup/", key: "no-key"}, http.StatusUnauthorized},
		{testRequest{path: "/lookup/"}, http.StatusUnauthorized},
		{testRequest{path: "/open/"}, http.StatusOK},
		{testRequest{path: "/chat/", key: "choir-key"}, http.StatusServiceUnavailable}, // The service has no targets.
		{testRequest{path: "/chat/", key: "choir-key", header: map[string]string{"Previous": "none"}}, http.StatusNotFound},
	} {
		if got, body := b.send(c.request); got != c.want {
			t.Errorf("%+v: %d (%s), want %d", c.request, got, body, c.want)
		}
	}
}

// TestStalePlanRefusesKeys checks that a host whose plan is staler than
// MaxPlanStaleness refuses requests that need a key, since the key may have been
// revoked.
func TestStalePlanRefusesKeys(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.fleet.mu.Lock()
	b.fleet.staleness = 2 * time.Minute
	b.fleet.mu.Unlock()
	if code, _ := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusServiceUnavailable {
		t.Errorf("status with a key: %d", code)
	}
	if code, _ := b.send(testRequest{path: "/open/"}); code != http.StatusOK {
		t.Errorf("status on an anonymous route: %d", code)
	}
}

// TestStalePlanProvesNoRouteMissing guards against a host that wakes from a freeze and
// answers 404, which is final, for a route that was added in the meantime.
func TestStalePlanProvesNoRouteMissing(t *testing.T) {
	b := newTestbed(t)
	b.fleet.mu.Lock()
	b.fleet.staleness = 2 * time.Minute
	b.fleet.mu.Unlock()
	resp := b.do(context.Background(), testRequest{path: "/nowhere/", key: "choir-key"})
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 and a time", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

func TestRejectedRequestIsRetriedElsewhere(t *testing.T) {
	b := newTestbed(t)
	var rejected, ran atomic.Int32
	b.addTarget("plain", countRequests(&rejected, rejectNotRun))
	b.addTarget("plain", countRequests(&ran, respondOK))
	for range 3 {
		if code, _ := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	}
	if diff := cmp.Diff(int32(3), ran.Load()); diff != "" {
		t.Errorf("requests that ran (-want +got):\n%s", diff)
	}
}

func TestRejectionByAllTargetsSetsRetryAfter(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", rejectNotRun)
	resp := b.do(context.Background(), testRequest{path: "/charge/", key: "choir-key"})
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1 {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// TestLostResponses checks how many targets run a request if each of them loses its
// response.
func TestLostResponses(t *testing.T) {
	for _, c := range []struct {
		path string
		code int
		runs int32
	}{
		{"/charge/", http.StatusBadGateway, 1}, // Non-idempotent, so not retried despite the route's 3 attempts.
		{"/lookup/", http.StatusBadGateway, 2},
	} {
		b := newTestbed(t)
		var ran atomic.Int32
		for range 4 {
			b.addTarget("plain", countRequests(&ran, truncateResponse))
		}
		code, _ := b.send(testRequest{path: c.path, key: "choir-key"})
		if diff := cmp.Diff(fmt.Sprint(c.code, c.runs), fmt.Sprint(code, ran.Load())); diff != "" {
			t.Errorf("%s: status and runs (-want +got):\n%s", c.path, diff)
		}
	}
}

func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", truncateResponse)
	b.addTarget("plain", respondOK)
	for range 4 {
		if code, _ := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	}
}

func TestSuccessWithoutSignatureIsBadGateway(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") })
	if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusBadGateway {
		t.Errorf("status %d, body %q", code, body)
	}
}

func TestTargetErrorIsForwarded(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "its own")
	})
	resp := b.do(context.Background(), testRequest{path: "/charge/", key: "choir-key"})
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get("Proof") != "p" {
		t.Errorf("status %d, signature %q", resp.StatusCode, resp.Header.Get("Proof"))
	}
}

// TestRouteTimeoutIsEnforced checks that a caller whose target does not respond
// gets a final response after the route's timeout, with a status that does not
// claim that the request was not run.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	start := time.Now()
	code, _ := b.send(testRequest{path: "/brief/", key: "choir-key"})
	if code != http.StatusGatewayTimeout || time.Since(start) > 2*time.Second {
		t.Errorf("status %d after %v", code, time.Since(start))
	}
}

// TestHalfClosedCallerGetsNoEmptySuccess guards against an empty success response
// to a caller that closes the write side of its connection before any target
// responds.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	conn, err := net.Dial("tcp4", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /lookup/ HTTP/1.1\r\nHost: a.example\r\nId: half\r\nAuthorization: Bearer choir-key\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	response, _ := io.ReadAll(conn) // The connection may also be reset.
	if strings.HasPrefix(string(response), "HTTP/1.1 2") {
		t.Errorf("the caller received %q", response)
	}
}

// TestAccountLimitIsEnforced checks that requests beyond an account's rate and
// burst are refused with a Retry-After header.
func TestAccountLimitIsEnforced(t *testing.T) {
	b := newTestbed(t)
	var ran atomic.Int32
	b.addTarget("plain", countRequests(&ran, respondOK))
	refused := 0
	start := time.Now()
	for range 20 {
		resp := b.do(context.Background(), testRequest{path: "/lookup/", key: "small-key"})
		if resp.StatusCode == http.StatusTooManyRequests {
			refused++
			if resp.Header.Get("Retry-After") == "" {
				t.Error("a refusal has no Retry-After header")
			}
		}
	}
	allowed := 5 + 5*time.Since(start).Seconds()
	if got := float64(ran.Load()); got > allowed+1 || int(got)+refused != 20 {
		t.Errorf("%v of 20 requests ran and %d were refused; the limit admits %.1f", got, refused, allowed)
	}
}
