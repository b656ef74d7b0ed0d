package gate_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// silent takes requests and never answers.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestSilentTargetIsNotWaitedFor has targets that take requests and never
// answer, beside one that does. Who may be sent again is, well within the
// timeout of its route.
func TestSilentTargetIsNotWaitedFor(t *testing.T) {
	b := newBed(t)
	b.addTarget("plain", silent)
	b.addTarget("plain", fine)
	for range 4 {
		start := time.Now()
		if code, _ := b.status(ask{path: "/lookup/", key: "choir-key"}); code != http.StatusOK || time.Since(start) > 3*time.Second {
			t.Errorf("status %d after %v", code, time.Since(start))
		}
	}
}

// TestSilentTargetKeepsWhatMayNotBeRepeated sends a request to silent targets
// that may run once only.
func TestSilentTargetKeepsWhatMayNotBeRepeated(t *testing.T) {
	b := newBed(t)
	var sent atomic.Int32
	b.addTarget("plain", counted(&sent, silent))
	b.addTarget("plain", counted(&sent, silent))
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := b.try(ctx, ask{path: "/charge/", key: "choir-key"}); err == nil {
		t.Error("the request was answered")
	}
	if n := sent.Load(); n != 1 {
		t.Errorf("%d targets got the request", n)
	}
}

// TestRetriesOfSilentTargetsHaveABudget has silent targets only: not every request may be
// sent twice, or a service that is slow gets twice its load.
func TestRetriesOfSilentTargetsHaveABudget(t *testing.T) {
	b := newBed(t)
	var sent atomic.Int32
	for range 4 {
		b.addTarget("plain", counted(&sent, silent))
	}
	const requests = 30
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var callers errgroup.Group
	for range requests {
		callers.Go(func() error {
			_, _ = b.try(ctx, ask{path: "/lookup/", key: "choir-key"}) // It ends with ctx.
			return nil
		})
	}
	_ = callers.Wait()
	if n := sent.Load(); n < requests || n > requests+requests/10+10 {
		t.Errorf("%d requests were sent %d times", requests, n)
	}
}
