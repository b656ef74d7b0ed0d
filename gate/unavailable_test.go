package gate_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fleet"
)

// TestRequestsWithinRateSurviveElection checks that requests within an account's
// rate are served although the issuer of allotments does not respond for as long
// as an election takes. They arrive in a burst that the share of the host does not
// cover.
func TestRequestsWithinRateSurviveElection(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.send(testRequest{path: "/lookup/", key: "small-key"})
	time.Sleep(time.Second) // The bucket starts empty and fills to its burst of 5.
	b.fleet.silenceLimits(600 * time.Millisecond)
	for range 4 {
		if code, body := b.send(testRequest{path: "/lookup/", key: "small-key"}); code != http.StatusOK {
			t.Errorf("status %d: %s", code, body)
		}
	}
}

// TestLimitsFromLateLeader guards against renewals that are all given up shortly before a
// leader replies that is late, but up: requests far below their account's rate were refused for
// as long as it was late.
func TestLimitsFromLateLeader(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.fleet.slow(300 * time.Millisecond)
	b.send(testRequest{path: "/lookup/", key: "small-key"})
	time.Sleep(time.Second) // The bucket starts empty and fills to its burst of 5.
	for i := range 5 {
		if code, body := b.send(testRequest{path: "/lookup/", key: "small-key"}); code != http.StatusOK {
			t.Errorf("request %d: status %d: %s", i, code, body)
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// TestLoadReportsReachLateLeader guards against exchanges of load reports that are all given up
// shortly before a leader replies that is late, but up.
func TestLoadReportsReachLateLeader(t *testing.T) {
	b := newTestbed(t)
	b.fleet.slow(700 * time.Millisecond)
	before := b.fleet.exchangeCount()
	time.Sleep(4 * time.Second)
	if n := b.fleet.exchangeCount() - before; n < 2 {
		t.Errorf("%d exchanges in 4 s with a leader that takes 0.7 s, want at least 2", n)
	}
}

// TestSilentIssuerIsNotReportedAsRateLimit checks that a request is not refused as
// above its account's rate if the issuer of allotments does not respond for longer
// than an election takes, since the host then cannot tell whether it is.
func TestSilentIssuerIsNotReportedAsRateLimit(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.fleet.silenceLimits(time.Minute)
	resp := b.do(t.Context(), testRequest{path: "/lookup/", key: "small-key"})
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// TestBurstAboveRateIsPartlyRefused sends eight times an account's burst at once.
// Requests that the rate admits soon wait and are served. The others are refused
// immediately with a Retry-After header.
func TestBurstAboveRateIsPartlyRefused(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.send(testRequest{path: "/lookup/", key: "small-key"})
	time.Sleep(time.Second) // The bucket starts empty and fills to its burst of 5.
	var served, refused atomic.Int32
	var callers errgroup.Group
	for range 40 {
		callers.Go(func() error {
			start := time.Now()
			resp := b.do(t.Context(), testRequest{path: "/lookup/", key: "small-key"})
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
				return nil
			}
			refused.Add(1)
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != http.StatusTooManyRequests || err != nil || after <= 0 || time.Since(start) > 4*time.Second {
				t.Errorf("status %d after %v, Retry-After %v", resp.StatusCode, time.Since(start), after)
			}
			return nil
		})
	}
	_ = callers.Wait()
	if served.Load() < 5 || refused.Load() < 10 {
		t.Errorf("%d served, %d refused", served.Load(), refused.Load())
	}
}

// TestRequestsJustAboveBurstAreDelayed checks that a few requests more than the
// burst are delayed instead of refused.
func TestRequestsJustAboveBurstAreDelayed(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.send(testRequest{path: "/lookup/", key: "small-key"})
	time.Sleep(time.Second)
	for i := range 6 {
		if code, _ := b.send(testRequest{path: "/lookup/", key: "small-key"}); code != http.StatusOK {
			t.Errorf("request %d: status %d", i, code)
		}
	}
}

// TestRequestsWaitForFirstPlan checks that a request to a host that has just
// started is served if the plan arrives a moment later.
func TestRequestsWaitForFirstPlan(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	view := b.fleet.View()
	b.fleet.setView(fleet.View{})
	time.AfterFunc(300*time.Millisecond, func() { b.fleet.setView(view) })
	if code, body := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusOK {
		t.Errorf("status %d: %s", code, body)
	}
}

// TestHostWithoutPlanRefuses checks that a host that receives no plan refuses
// requests before their deadline.
func TestHostWithoutPlanRefuses(t *testing.T) {
	b := newTestbed(t)
	b.fleet.setView(fleet.View{})
	start := time.Now()
	resp := b.do(t.Context(), testRequest{path: "/lookup/", key: "choir-key", header: map[string]string{"Deadline": "4000"}})
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(start); took > 3500*time.Millisecond {
		t.Errorf("refused after %v of 4 s", took)
	}
}
