package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// limitedTurn returns a turn of the account "small", which may send 5 requests per second.
func limitedTurn(id, previous, program, budget string) testRequest {
	r := turnRequest(id, previous, "x", budget)
	r.key = "small-key"
	r.header["Program"] = program
	return r
}

// TestTurnsWithoutBudgetTakeNoLimit guards against turns that are refused for their account's limit because turns of looping
// programs, which are all refused for their budgets, hold the limit while slow stores look these up.
func TestTurnsWithoutBudgetTakeNoLimit(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	if code, body := b.send(limitedTurn("first", "", "p", "1000000")); code != http.StatusOK {
		t.Fatal(code, body)
	}
	b.replyLatency.Store(int64(300 * time.Millisecond))
	const span, interval, continuedEvery = 6 * time.Second, 12 * time.Millisecond, 50
	var offered, served atomic.Int32
	var g errgroup.Group
	for begin, i := time.Now(), 0; time.Since(begin) < span; i++ {
		if i%continuedEvery != 0 {
			g.Go(func() error {
				_, _ = b.trySend(limitedTurn(fmt.Sprint("l", i), "first", fmt.Sprint("loop", i%4), "1"))
				return nil
			})
		} else {
			warm := time.Since(begin) < span/3 // The limit is not known to be scarce yet.
			g.Go(func() error {
				code, body := b.send(limitedTurn(fmt.Sprint("t", i), "first", fmt.Sprint("p", i), "1000000"))
				switch {
				case warm:
				case code == http.StatusOK:
					served.Add(1)
					offered.Add(1)
				default:
					offered.Add(1)
					t.Log(code, body)
				}
				return nil
			})
		}
		time.Sleep(interval)
	}
	_ = g.Wait() // The goroutines always return nil.
	t.Logf("%d of %d turns served", served.Load(), offered.Load())
	if offered.Load() == 0 || served.Load() < offered.Load() {
		t.Errorf("%d of %d turns served beside others whose budgets are used up", served.Load(), offered.Load())
	}
}

// TestRefusedTurnPrecedesOthers guards against a turn that is refused for its account's limit again and again, while other turns
// of the account are served: it comes after its Retry-After, and must be served then.
func TestRefusedTurnPrecedesOthers(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	if code, body := b.send(limitedTurn("first", "", "p", "1000000")); code != http.StatusOK {
		t.Fatal(code, body)
	}
	stop := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error {
		for i := 0; ; i++ { // Ten times the limit.
			select {
			case <-stop:
				return nil
			case <-time.After(20 * time.Millisecond):
			}
			g.Go(func() error {
				_, _ = b.trySend(limitedTurn(fmt.Sprint("o", i), "first", fmt.Sprint("o", i), "1000000"))
				return nil
			})
		}
	})
	time.Sleep(time.Second)
	refused, servedNext := 0, 0
	for i := 0; refused < 8 && i < 40; i++ {
		turn := func(attempt int) (int, time.Duration) {
			resp := b.do(context.Background(), limitedTurn(fmt.Sprint("t", i, "-", attempt), "first", fmt.Sprint("t", i), "1000000"))
			defer resp.Body.Close()
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			return resp.StatusCode, time.Duration(seconds * float64(time.Second))
		}
		code, after := turn(1)
		if code != http.StatusTooManyRequests {
			continue
		}
		refused++
		time.Sleep(after)
		if code, _ = turn(2); code == http.StatusOK {
			servedNext++
		}
	}
	close(stop)
	_ = g.Wait() // The goroutines always return nil.
	t.Logf("%d of %d refused turns were served when they came again", servedNext, refused)
	if refused == 0 || servedNext < refused-1 {
		t.Errorf("%d of %d refused turns were served when they came again", servedNext, refused)
	}
}

// TestContinuingTurnIsOfferedAgain guards against turns that are refused in all tries of their callers while targets that are full
// take first turns whenever a place is free, since both are offered once.
func TestContinuingTurnIsOfferedAgain(t *testing.T) {
	b := newTestbed(t)
	var fullUntil atomic.Int64
	var runs atomic.Int32
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		if time.Now().UnixNano() < fullUntil.Load() {
			rejectNotRun(w, r)
			return
		}
		runs.Add(1)
		streamEvents("one")(w, r)
	})
	if code, body := b.send(turnRequest("first", "", "x", "1000000")); code != http.StatusOK {
		t.Fatal(code, body)
	}
	fullUntil.Store(time.Now().Add(700 * time.Millisecond).UnixNano())
	begin := time.Now()
	if code, body := b.send(turnRequest("other", "", "x", "1000000")); code != http.StatusServiceUnavailable || time.Since(begin) > 500*time.Millisecond {
		t.Errorf("a first turn: %d %s after %v, want 503 at once", code, body, time.Since(begin))
	}
	if code, body := b.send(turnRequest("second", "first", "x", "1000000")); code != http.StatusOK {
		t.Errorf("a turn that continues another one: %d %s", code, body)
	}
	fullUntil.Store(time.Now().Add(time.Minute).UnixNano())
	begin = time.Now()
	if code, body := b.send(turnRequest("third", "first", "x", "1000000")); code != http.StatusServiceUnavailable || time.Since(begin) > 4*time.Second {
		t.Errorf("a turn while the target stays full: %d %s after %v, want 503 while there is time to come again", code, body, time.Since(begin))
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("%d runs, want 2", n)
	}
}
