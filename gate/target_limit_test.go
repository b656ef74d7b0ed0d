package gate_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fleet"
)

// nameLimit returns a target that names the limit in rate, if it is not empty, and
// counts its requests in n.
func nameLimit(n *atomic.Int32, rate *atomic.Value, h http.HandlerFunc) http.HandlerFunc {
	return countRequests(n, func(w http.ResponseWriter, r *http.Request) {
		if text := rate.Load().(string); text != "" {
			w.Header().Set("Limit", text)
		}
		h(w, r)
	})
}

// newRate returns a value for nameLimit.
func newRate(text string) *atomic.Value {
	var v atomic.Value
	v.Store(text)
	return &v
}

// TestRequestsBeyondTargetLimitGoElsewhere checks that requests which a target does not
// accept by its limit are served by the other one, and that the limit is used: the calls
// run beside each other, since a single caller needs only the target that it is connected
// to.
func TestRequestsBeyondTargetLimitGoElsewhere(t *testing.T) {
	b := newTestbed(t)
	var limited, other atomic.Int32
	respond := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond) // So that both targets seem equally fast.
		respondOK(w, r)
	}
	b.addTarget("plain", nameLimit(&limited, newRate("2"), respond))
	b.addTarget("plain", countRequests(&other, respond))
	// sendWhile runs eight callers, each until more returns false.
	sendWhile := func(more func() bool) {
		var g errgroup.Group
		for range 8 {
			g.Go(func() error {
				for more() {
					if code, body := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusOK {
						return fmt.Errorf("status %d: %s", code, body)
					}
				}
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			t.Fatal(err)
		}
	}
	// The limit is known from the first response that names it.
	sendWhile(func() bool { return limited.Load() == 0 })
	limited.Store(0)
	start := time.Now()
	sendWhile(func() bool { return time.Since(start) < 3*time.Second })
	if n, allowed := float64(limited.Load()), 2*time.Since(start).Seconds()+2; n > allowed || n < 4 {
		t.Errorf("the target with a limit of 2 per second got %.0f requests in %v and the other one %d, want 4 to %.0f", n, time.Since(start), other.Load(), allowed)
	}
}

// TestRequestBeyondAllTargetLimitsIsRefused checks that a request is refused without
// having run, and with a Retry-After header, if all targets are at their limits, and
// that a second attempt after a rejection counts against the limit, too.
func TestRequestBeyondAllTargetLimitsIsRefused(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"served": respondOK,
		"rejected": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var got atomic.Int32
			for range 2 {
				b.addTarget("plain", nameLimit(&got, newRate("0.5"), h))
			}
			start := time.Now()
			refused := 0
			for range 60 {
				resp := b.do(t.Context(), testRequest{path: "/charge/", key: "choir-key"})
				if resp.StatusCode == http.StatusServiceUnavailable {
					refused++
					if resp.Header.Get("Retry-After") == "" {
						t.Error("a refusal has no Retry-After header")
					}
				}
			}
			// Each target's burst is 1, and its first response names the limit.
			if n, allowed := float64(got.Load()), 2*(0.5*time.Since(start).Seconds()+2); n > allowed {
				t.Errorf("two targets with limits of 0.5 per second got %.0f requests in %v, %.1f are allowed; %d of 60 were refused", n, time.Since(start), allowed, refused)
			}
		})
	}
}

// TestTargetLimitsAreReadWithCare checks that a limit that cannot be read changes
// nothing, and that a limit ends with the first response without one.
func TestTargetLimitsAreReadWithCare(t *testing.T) {
	for _, c := range []struct {
		limits []string
		most   float64 // requests of 40 that the target may get
		least  float64
	}{
		{[]string{"0.5", "0.5"}, 3, 1},
		{[]string{"0.5", "many"}, 3, 1},
		{[]string{"0.5", "-1"}, 3, 1},
		{[]string{"0.5", "NaN"}, 3, 1},
		{[]string{"0.5", ""}, 40, 39},
		{[]string{"many", "many"}, 40, 40},
		{[]string{"1e300", "1e300"}, 40, 38},
	} {
		t.Run(fmt.Sprint(c.limits), func(t *testing.T) {
			b := newTestbed(t)
			var got atomic.Int32
			rate := newRate(c.limits[0])
			b.addTarget("plain", nameLimit(&got, rate, respondOK))
			b.send(testRequest{path: "/charge/", key: "choir-key"})
			rate.Store(c.limits[1])
			b.send(testRequest{path: "/charge/", key: "choir-key"})
			time.Sleep(2200 * time.Millisecond) // The limit allows another request.
			start := time.Now()
			for range 38 {
				b.send(testRequest{path: "/charge/", key: "choir-key"})
			}
			most := min(40, c.most+0.5*time.Since(start).Seconds())
			if n := float64(got.Load()); n > most || n < c.least {
				t.Errorf("the target got %.0f of 40 requests, want %.0f to %.1f", n, c.least, most)
			}
		})
	}
}

// TestHostKeepsLimitsThatOthersHaveHeard checks that a host keeps to a limit that only
// another host has been told, and no longer once the leader says that it is lifted.
func TestHostKeepsLimitsThatOthersHaveHeard(t *testing.T) {
	b := newTestbed(t)
	var got atomic.Int32
	b.addTarget("plain", countRequests(&got, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "0.5")
		respondOK(w, r)
	}))
	b.fleet.setLoadsReply(fleet.LoadsReply{Notices: fleet.TargetNotices{"t0": {Rate: 0.5}}})
	start := time.Now()
	for range 30 {
		b.send(testRequest{path: "/charge/", key: "choir-key"})
	}
	if n, allowed := float64(got.Load()), 0.5*time.Since(start).Seconds()+2; n > allowed {
		t.Errorf("the target got %.0f requests, %.1f are allowed", n, allowed)
	}
}

// TestTargetsWithoutLimitServeWhileIssuerIsSilent guards against requests that wait for
// a part of a target's limit although the issuer does not reply: they go to the target
// that names none.
func TestTargetsWithoutLimitServeWhileIssuerIsSilent(t *testing.T) {
	b := newTestbed(t)
	var limited atomic.Int32
	b.addTarget("plain", nameLimit(&limited, newRate("1"), respondOK))
	b.addTarget("plain", respondOK)
	for range 20 {
		b.send(testRequest{path: "/charge/", key: "choir-key"})
	}
	b.fleet.silenceLimits(2 * time.Second)
	before := limited.Load()
	for range 100 {
		if code, body := b.send(testRequest{path: "/charge/", key: "choir-key"}); code != http.StatusOK {
			t.Fatalf("status %d: %s", code, body)
		}
	}
	if n := limited.Load() - before; n > 4 {
		t.Errorf("the target with a limit of 1 per second got %d requests", n)
	}
}

// TestRequestsBeyondLimitsDoNotQueueElsewhere guards against requests that one target does
// not accept by its limit and that then wait at the other one, which is full, until their
// callers give up.
func TestRequestsBeyondLimitsDoNotQueueElsewhere(t *testing.T) {
	b := newTestbed(t)
	var limited, full atomic.Int32
	b.addTarget("plain", nameLimit(&limited, newRate("0.5"), respondOK))
	b.addTarget("plain", countRequests(&full, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", "6,90,6") // Running, waiting, slots.
		respondOK(w, r)
	}))
	refused := 0
	for range 40 {
		if code, _ := b.send(testRequest{path: "/charge/", key: "choir-key"}); code == http.StatusServiceUnavailable {
			refused++
		}
	}
	// The first response of each target tells its state.
	if n := full.Load(); n > 3 || refused < 30 {
		t.Errorf("of 40 requests, %d went to the full target, %d to the limited one, and %d were refused", n, limited.Load(), refused)
	}
}
