package gate_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// TestUnreachableTargetIsChecked guards against requests that find out again and again
// that a target accepts no connections, and against a target that gets none after it has
// started again.
func TestUnreachableTargetIsChecked(t *testing.T) {
	b := newTestbed(t)
	var got atomic.Int32
	echoID := func(h http.HandlerFunc) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			h(w, r)
		})
	}
	ended := httptest.NewServer(echoID(countRequests(&got, respondOK)))
	address := strings.TrimPrefix(ended.URL, "http://")
	b.addListedTarget("plain", ended)
	ended.Close()
	if code, _ := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusServiceUnavailable {
		t.Errorf("status %d while the only target is down", code)
	}
	b.addTarget("plain", respondOK)
	for range 20 {
		if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
			t.Errorf("status %d while one target is down: %s", code, body)
		}
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Skip("another process has taken the port:", err)
	}
	restarted := &httptest.Server{Listener: l, Config: &http.Server{Handler: echoID(countRequests(&got, respondOK))}}
	restarted.Start()
	t.Cleanup(restarted.Close)
	for deadline := time.Now().Add(10 * time.Second); got.Load() == 0; {
		b.send(testRequest{path: "/charge/", key: "choir-key"})
		if time.Now().After(deadline) {
			t.Fatal("the target gets no requests within 10 s after its restart")
		}
	}
}

// TestTargetThatOthersCannotReachIsAvoided guards against a target that each host has to
// find unreachable by itself, and against one that a single host cannot reach.
func TestTargetThatOthersCannotReachIsAvoided(t *testing.T) {
	b := newTestbed(t)
	var got [3]atomic.Int32
	for i := range got {
		b.addTarget("plain", countRequests(&got[i], func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(5 * time.Millisecond)
			respondOK(w, r)
		}))
	}
	b.fleet.setLoadsReply(fleet.LoadsReply{Loads: map[types.TargetID]fleet.Load{"t0": {Unreachable: 2}, "t1": {Unreachable: 1}}})
	var g errgroup.Group
	for range 30 {
		g.Go(func() error {
			_, err := b.tryDo(t.Context(), testRequest{path: "/charge/", key: "choir-key"})
			return err
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	reached := []bool{got[0].Load() > 0, got[1].Load() > 0}
	if diff := cmp.Diff([]bool{false, true}, reached); diff != "" {
		t.Errorf("whether the targets that two hosts and one host cannot reach got requests (-want +got):\n%s", diff)
	}
}
