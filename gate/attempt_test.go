package gate_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// neverRespond is a target that accepts requests and never responds.
func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestUnresponsiveTargetIsRetriedElsewhere checks that an idempotent request to a
// target that never responds is retried on another one well within the timeout of
// the route.
func TestUnresponsiveTargetIsRetriedElsewhere(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", neverRespond)
	b.addTarget("plain", respondOK)
	for range 4 {
		start := time.Now()
		if code, _ := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusOK || time.Since(start) > 3*time.Second {
			t.Errorf("status %d after %v", code, time.Since(start))
		}
	}
}

// TestNonIdempotentRequestIsNotRetriedOnTimeout checks that a non-idempotent
// request to a target that never responds is sent to no other target.
func TestNonIdempotentRequestIsNotRetriedOnTimeout(t *testing.T) {
	b := newTestbed(t)
	var sent atomic.Int32
	b.addTarget("plain", countRequests(&sent, neverRespond))
	b.addTarget("plain", countRequests(&sent, neverRespond))
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := b.tryDo(ctx, testRequest{path: "/charge/", key: "choir-key"}); err == nil {
		t.Error("the request got a response")
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("%d targets received the request, want 1", n)
	}
}

// TestRetryBudgetBoundsTimeoutRetries checks that the retry budget bounds retries
// if no target responds. Retrying every request would double the load of a
// service that is slow.
func TestRetryBudgetBoundsTimeoutRetries(t *testing.T) {
	b := newTestbed(t)
	var sent atomic.Int32
	for range 4 {
		b.addTarget("plain", countRequests(&sent, neverRespond))
	}
	const requests = 30
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var callers errgroup.Group
	for range requests {
		callers.Go(func() error {
			_, _ = b.tryDo(ctx, testRequest{path: "/lookup/", key: "choir-key"}) // Fails when ctx ends.
			return nil
		})
	}
	_ = callers.Wait()
	if n := sent.Load(); n < requests || n > requests+requests/10+10 {
		t.Errorf("%d requests were sent %d times", requests, n)
	}
}
