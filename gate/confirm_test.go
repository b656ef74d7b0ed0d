package gate_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestUnconfirmedTurnHandsOnNothing guards against tokens that count against no budget: while the claim of a turn is not
// durable, its host and the stores may be lost, and with them all that is known of it. The target has run the
// turn, so that its caller must not be told that it has not.
func TestUnconfirmedTurnHandsOnNothing(t *testing.T) {
	b := newTestbed(t)
	var runs atomic.Int64
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		streamEvents("one")(w, r)
	})
	b.syncLatency.Store(int64(4 * time.Second))
	r := turnRequest("a", "", "first;", "1000")
	r.header["Deadline"] = "1500"
	code, body := b.send(r)
	b.syncLatency.Store(0)
	if runs.Load() != 1 || code != http.StatusGatewayTimeout && code != http.StatusBadGateway {
		t.Errorf("a turn whose claim is not durable in time: %d runs, status %d, %q", runs.Load(), code, body)
	}
}

// TestTurnOfNoSessionIsRepeated guards against a turn that is refused for its program's budget since its own first attempt
// is not settled, if its caller names no line of turns. Another turn must not take the place of that attempt.
func TestTurnOfNoSessionIsRepeated(t *testing.T) {
	b := newTestbed(t)
	var runs atomic.Int64
	release := make(chan struct{})
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			<-release
		}
		streamEvents("one")(w, r)
	})
	var g errgroup.Group
	t.Cleanup(func() {
		close(release)
		_ = g.Wait() // The goroutine always returns nil.
	})
	g.Go(func() error {
		_, _ = b.send(turnRequest("a", "", "first;", "60")) // A turn takes 40 tokens at most.
		return nil
	})
	for runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if code, body := b.send(turnRequest("b", "", "other;", "60")); code != http.StatusServiceUnavailable || runs.Load() != 1 {
		t.Errorf("another turn beside the first attempt: status %d, %s, %d runs", code, body, runs.Load())
	}
	if code, body := b.send(turnRequest("c", "", "first;", "60")); code != http.StatusOK {
		t.Errorf("the turn again, whose first attempt is not settled: status %d, %s", code, body)
	}
}

// TestTurnWaitsForSiblingInProgress guards against a program that its caller gives up, since the turn of a sub-agent is answered
// that the budget is spent while that of another one goes on, which uses a part of its maximum only.
func TestTurnWaitsForSiblingInProgress(t *testing.T) {
	b := newTestbed(t)
	var runs atomic.Int64
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		if runs.Add(1) == 1 {
			time.Sleep(300 * time.Millisecond)
		}
		streamEvents("one")(w, r)
	})
	var g errgroup.Group
	g.Go(func() error {
		_, _ = b.send(turnRequest("a", "", "first;", "60")) // A turn takes 40 tokens at most, and uses 10.
		return nil
	})
	for runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if code, body := b.send(turnRequest("b", "", "other;", "60")); code != http.StatusOK {
		t.Errorf("another turn beside one in progress: status %d, %s", code, body)
	}
	_ = g.Wait() // The goroutine always returns nil.
}
