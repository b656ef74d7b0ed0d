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

// status sends a request and returns the status and the body.
func (b *bed) status(a ask) (int, string) {
	b.t.Helper()
	resp := b.do(context.Background(), a)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// fine answers with a proof.
func fine(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "p")
	_, _ = io.WriteString(w, "fine")
}

// full says that it has not run the request.
func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// broken runs the request and breaks its answer off.
func broken(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Proof", "p")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half of it")
	panic(http.ErrAbortHandler)
}

func counted(n *atomic.Int32, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	}
}

func TestTargetSeesTheAccountAndNoKey(t *testing.T) {
	b := newBed(t)
	seen := make(chan *http.Request, 1)
	b.addTarget("plain", func(w http.ResponseWriter, r *http.Request) {
		seen <- r
		fine(w, r)
	})
	code, body := b.status(ask{path: "/lookup/x?y=1", key: "band-key", header: map[string]string{
		"Account": "choir", "Internal": "1", "Rank": "0", "Other": "kept", "Deadline": "900", "Target": "elsewhere",
	}})
	if diff := cmp.Diff("200 fine", fmt.Sprint(code, " ", body)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
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
		t.Errorf("request at the target (-want +got):\n%s", diff)
	}
	if ms, err := strconv.Atoi(r.Header.Get("Deadline")); err != nil || ms < 1 || ms > 900 {
		t.Errorf("deadline at the target is %q", r.Header.Get("Deadline"))
	}
}

func TestRefusals(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", fine)
	for _, c := range []struct {
		ask  ask
		want int
	}{
		{ask{path: "/nowhere/", key: "choir-key"}, http.StatusNotFound},
		{ask{path: "/lookup/", key: "no-key"}, http.StatusUnauthorized},
		{ask{path: "/lookup/"}, http.StatusUnauthorized},
		{ask{path: "/open/"}, http.StatusOK},
		{ask{path: "/chat/", key: "choir-key"}, http.StatusServiceUnavailable}, // No target of that service.
		{ask{path: "/chat/", key: "choir-key", header: map[string]string{"Previous": "none"}}, http.StatusNotFound},
	} {
		if got, body := b.status(c.ask); got != c.want {
			t.Errorf("%+v: %d (%s), want %d", c.ask, got, body, c.want)
		}
	}
}

// TestHostThatIsCutOffStopsTrustingKeys has heard of no leader for longer than
// a withdrawn key may go on.
func TestHostThatIsCutOffStopsTrustingKeys(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", fine)
	b.stub.mu.Lock()
	b.stub.age = 2 * time.Minute
	b.stub.mu.Unlock()
	if code, _ := b.status(ask{path: "/lookup/", key: "choir-key"}); code != http.StatusServiceUnavailable {
		t.Errorf("with a key: %d", code)
	}
	if code, _ := b.status(ask{path: "/open/"}); code != http.StatusOK {
		t.Errorf("on an anonymous route: %d", code)
	}
}

func TestRejectedRequestGoesElsewhere(t *testing.T) {
	b := newBed(t)
	var rejected, ran atomic.Int32
	b.addTarget("plain", counted(&rejected, full))
	b.addTarget("plain", counted(&ran, fine))
	for range 3 {
		if code, _ := b.status(ask{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	}
	if diff := cmp.Diff(int32(3), ran.Load()); diff != "" {
		t.Errorf("requests run (-want +got):\n%s", diff)
	}
}

func TestRejectedEverywhereTellsWhenToComeBack(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", full)
	resp := b.do(context.Background(), ask{path: "/charge/", key: "choir-key"})
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 || after > 1 {
		t.Errorf("status %d, come back after %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// TestLostAnswers counts runs of requests whose answer is lost.
func TestLostAnswers(t *testing.T) {
	for _, c := range []struct {
		path string
		code int
		runs int32
	}{
		{"/charge/", http.StatusBadGateway, 1}, // It may not be repeated, whatever the attempts of the route.
		{"/lookup/", http.StatusBadGateway, 2},
	} {
		b := newBed(t)
		var ran atomic.Int32
		for range 4 {
			b.addTarget("plain", counted(&ran, broken))
		}
		code, _ := b.status(ask{path: c.path, key: "choir-key"})
		if diff := cmp.Diff(fmt.Sprint(c.code, c.runs), fmt.Sprint(code, ran.Load())); diff != "" {
			t.Errorf("%s: status and runs (-want +got):\n%s", c.path, diff)
		}
	}
}

func TestIdempotentRequestIsTriedElsewhere(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", broken)
	b.addTarget("plain", fine)
	for range 4 {
		if code, _ := b.status(ask{path: "/lookup/", key: "choir-key"}); code != http.StatusOK {
			t.Errorf("status %d", code)
		}
	}
}

func TestSuccessWithoutProofIsNone(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "forged") })
	if code, body := b.status(ask{path: "/charge/", key: "choir-key"}); code != http.StatusBadGateway {
		t.Errorf("status %d, body %q", code, body)
	}
}

func TestTargetsOwnFailurePasses(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "its own")
	})
	resp := b.do(context.Background(), ask{path: "/charge/", key: "choir-key"})
	if resp.StatusCode != http.StatusInternalServerError || resp.Header.Get("Proof") != "p" {
		t.Errorf("status %d, proof %q", resp.StatusCode, resp.Header.Get("Proof"))
	}
}

// TestRouteTimeoutIsKept has a target that does not answer: the caller has the
// final answer by the route's timeout, and is not told that nothing has run.
func TestRouteTimeoutIsKept(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	start := time.Now()
	code, _ := b.status(ask{path: "/brief/", key: "choir-key"})
	if code != http.StatusGatewayTimeout || time.Since(start) > 2*time.Second {
		t.Errorf("status %d after %v", code, time.Since(start))
	}
}

// TestCallerThatClosesItsHalfGetsNoEmptySuccess has a caller that closes its
// sending half while no target answers: it must not be given a success.
func TestCallerThatClosesItsHalfGetsNoEmptySuccess(t *testing.T) {
	b := newBed(t)
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
	answer, _ := io.ReadAll(conn) // A reset ends it as well.
	if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
		t.Errorf("the caller was answered %q", answer)
	}
}

// TestLimitIsSpentAndRefused sends more than an account's burst at once.
func TestLimitIsSpentAndRefused(t *testing.T) {
	b := newBed(t)
	var ran atomic.Int32
	b.addTarget("plain", counted(&ran, fine))
	refused := 0
	start := time.Now()
	for range 20 {
		resp := b.do(context.Background(), ask{path: "/lookup/", key: "small-key"})
		if resp.StatusCode == http.StatusTooManyRequests {
			refused++
			if resp.Header.Get("Retry-After") == "" {
				t.Error("a refusal does not say when to come back")
			}
		}
	}
	allowed := 5 + 5*time.Since(start).Seconds()
	if got := float64(ran.Load()); got > allowed+1 || int(got)+refused != 20 {
		t.Errorf("%v of 20 requests ran and %d were refused; the limit allows %.1f", got, refused, allowed)
	}
}
