package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// writeEvent writes one event of a stream and flushes it.
func writeEvent(w http.ResponseWriter, n int, data string) {
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	w.(http.Flusher).Flush()
}

// streamEvents returns a target that responds with the given events.
func streamEvents(data ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		for i, d := range data {
			writeEvent(w, i, d)
		}
	}
}

// turnRequest returns a request of the program "p" on the stateful route.
func turnRequest(id, previous, body, budget string) testRequest {
	return testRequest{path: "/chat/", key: "choir-key", body: body, header: map[string]string{
		"Id": id, "Previous": previous, "Program": "p", "Budget": budget, "Tokens": "100,40",
	}}
}

const (
	// maxUnavailable limits how often a scenario is run again because a store was slow.
	maxUnavailable = 20
	// admitTimeout and commitTimeout are the times after which the gate no longer waits
	// for a store, before and after a turn.
	admitTimeout  = 900 * time.Millisecond
	commitTimeout = 3 * time.Second
)

// runAvailable runs a scenario with a new testbed. If it reports that the store did not
// sync in time, which depends on the disk of the machine, the scenario is run again.
func runAvailable(t *testing.T, scenario func(b *testbed) (unavailable bool)) {
	t.Helper()
	for range maxUnavailable {
		if !scenario(newTestbed(t)) {
			return
		}
	}
	t.Errorf("the store was too slow in each of %d runs", maxUnavailable)
}

// storeTooSlow reports whether a response to a request that was sent at the given time
// says that a store did not sync before the turn: the request has not run and may be sent
// again.
func storeTooSlow(resp *http.Response, sentAt time.Time) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "" && time.Since(sentAt) >= admitTimeout
}

// sendTurn is send for requests in a scenario of runAvailable.
func (b *testbed) sendTurn(r testRequest) (code int, body string, again bool) {
	b.t.Helper()
	sentAt := time.Now()
	resp := b.do(context.Background(), r)
	again = storeTooSlow(resp, sentAt)
	read, err := io.ReadAll(resp.Body)
	switch {
	case err != nil && time.Since(sentAt) >= commitTimeout:
		again = true // The turn was not stored in time.
	case err != nil:
		b.t.Errorf("read the response: %v", err)
	}
	return resp.StatusCode, string(read), again
}

func TestTurnsContinueChain(t *testing.T) {
	runAvailable(t, func(b *testbed) bool {
		bodies := make(chan string, 10)
		b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			bodies <- string(body)
			streamEvents("one", "two")(w, r)
		})
		for i, r := range []testRequest{turnRequest("a", "", "first;", "1000"), turnRequest("b", "a", "second;", "1000"), turnRequest("c", "b", "third;", "1000")} {
			code, body, again := b.sendTurn(r)
			if again {
				return true
			}
			if diff := cmp.Diff("200 id: 0\ndata: one\n\nid: 1\ndata: two\n\n", fmt.Sprint(code, " ", body)); diff != "" {
				t.Fatalf("response to turn %d (-want +got):\n%s", i, diff)
			}
		}
		want := []string{"first;", "first;one\ntwo\nsecond;", "first;one\ntwo\nsecond;one\ntwo\nthird;"}
		if diff := cmp.Diff(want, []string{<-bodies, <-bodies, <-bodies}); diff != "" {
			t.Errorf("prompts received by the target (-want +got):\n%s", diff)
		}
		other := turnRequest("d", "c", "fourth;", "1000")
		other.key = "band-key"
		code, _, again := b.sendTurn(other)
		if code != http.StatusNotFound && !again {
			t.Errorf("status of continuing a turn of another account: %d", code)
		}
		return again
	})
}

// TestBudgetStopsProgram runs turns that may generate 40 tokens each and generate
// 20, with a budget of 90. The fourth is refused, since only 30 tokens are left.
func TestBudgetStopsProgram(t *testing.T) {
	runAvailable(t, func(b *testbed) bool {
		b.addTarget("models", streamEvents("one", "two"))
		var codes []int
		for i := range 4 {
			code, _, again := b.sendTurn(turnRequest(fmt.Sprint("t", i), "", "x", "90"))
			if again {
				return true
			}
			codes = append(codes, code)
		}
		if diff := cmp.Diff([]int{200, 200, 200, 402}, codes); diff != "" {
			t.Errorf("status codes (-want +got):\n%s", diff)
		}
		return false
	})
}

// TestTruncatedStreamIsNotComplete checks that the caller notices a stream that
// the target truncates, between two events or within one, and that the turn is not
// stored.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	for _, rest := range []string{"", "id: 1\ndata: ha"} {
		runAvailable(t, func(b *testbed) bool {
			b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Proof", "p")
				writeEvent(w, 0, "one")
				_, _ = io.WriteString(w, rest)
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			sentAt := time.Now()
			resp := b.do(context.Background(), turnRequest("a", "", "x", "1000"))
			if storeTooSlow(resp, sentAt) {
				return true
			}
			body, err := io.ReadAll(resp.Body)
			if err == nil {
				t.Error("a truncated stream looks complete")
			}
			if diff := cmp.Diff("id: 0\ndata: one\n\n", string(body)); diff != "" {
				t.Errorf("body received by the caller (-want +got):\n%s", diff)
			}
			code, _, again := b.sendTurn(turnRequest("b", "a", "y", "1000"))
			if code != http.StatusNotFound && !again {
				t.Errorf("status of continuing a truncated turn: %d", code)
			}
			return again
		})
	}
}

// TestEventsAreForwardedImmediately has a target that sends its second event only
// after the caller received the first.
func TestEventsAreForwardedImmediately(t *testing.T) {
	b := newTestbed(t)
	seen := make(chan bool)
	b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		writeEvent(w, 0, "one")
		<-seen
		writeEvent(w, 1, "two")
	})
	resp := b.do(context.Background(), turnRequest("a", "", "x", "1000"))
	first := make([]byte, len("id: 0\ndata: one\n\n"))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	close(seen)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "id: 1\ndata: two\n\n" {
		t.Errorf("rest of the stream: %q, error %v", rest, err)
	}
}

// TestCallerDisconnectStopsTarget checks that a caller's disconnect in the middle
// of a stream cancels the request at the target.
func TestCallerDisconnectStopsTarget(t *testing.T) {
	b := newTestbed(t)
	stopped := make(chan bool, 1)
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Proof", "p")
		writeEvent(w, 0, "one")
		<-r.Context().Done()
		stopped <- true
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.do(ctx, turnRequest("a", "", "x", "1000"))
	cancel()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Error("the target's request was not canceled after the caller disconnected")
	}
}

// TestStreamWithoutResponseIsNotRetried checks that a streaming request runs at
// most once.
func TestStreamWithoutResponseIsNotRetried(t *testing.T) {
	b := newTestbed(t)
	ran := make(chan bool, 10)
	for range 3 {
		b.addTarget("models", func(http.ResponseWriter, *http.Request) {
			ran <- true
			panic(http.ErrAbortHandler)
		})
	}
	if code, _ := b.send(turnRequest("a", "", "x", "1000")); code != http.StatusBadGateway {
		t.Errorf("status %d", code)
	}
	if diff := cmp.Diff(1, len(ran)); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}
