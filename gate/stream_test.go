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

// event writes one event of a stream.
func event(w http.ResponseWriter, n int, data string) {
	fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
	w.(http.Flusher).Flush()
}

// stream answers with the given events.
func stream(data ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		w.Header().Set("Content-Type", "text/event-stream")
		for i, d := range data {
			event(w, i, d)
		}
	}
}

// turn is a request of the program "p" on the stateful route.
func turn(id, previous, body, budget string) ask {
	return ask{path: "/chat/", key: "choir-key", body: body, header: map[string]string{
		"Id": id, "Previous": previous, "Program": "p", "Budget": budget, "Tokens": "100,40",
	}}
}

func TestTurnsGoOnFromEachOther(t *testing.T) {
	b := newBed(t)
	bodies := make(chan string, 10)
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- string(body)
		stream("one", "two")(w, r)
	})
	for i, a := range []ask{turn("a", "", "first;", "1000"), turn("b", "a", "second;", "1000"), turn("c", "b", "third;", "1000")} {
		code, body := b.status(a)
		if diff := cmp.Diff("200 id: 0\ndata: one\n\nid: 1\ndata: two\n\n", fmt.Sprint(code, " ", body)); diff != "" {
			t.Errorf("answer to turn %d (-want +got):\n%s", i, diff)
		}
	}
	want := []string{"first;", "first;one\ntwo\nsecond;", "first;one\ntwo\nsecond;one\ntwo\nthird;"}
	if diff := cmp.Diff(want, []string{<-bodies, <-bodies, <-bodies}); diff != "" {
		t.Errorf("prompts at the target (-want +got):\n%s", diff)
	}
	other := turn("d", "c", "fourth;", "1000")
	other.key = "band-key"
	if code, _ := b.status(other); code != http.StatusNotFound {
		t.Errorf("a turn of another account: %d", code)
	}
}

// TestBudgetEndsAProgram has turns that may generate 40 tokens and generate 20,
// of a budget of 90: the fourth would find 30 left.
func TestBudgetEndsAProgram(t *testing.T) {
	b := newBed(t)
	b.addTarget("models", stream("one", "two"))
	var codes []int
	for i := range 4 {
		code, _ := b.status(turn(fmt.Sprint("t", i), "", "x", "90"))
		codes = append(codes, code)
	}
	if diff := cmp.Diff([]int{200, 200, 200, 402}, codes); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// TestBrokenStreamDoesNotLookWhole breaks off within an event, or between two.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	for _, rest := range []string{"", "id: 1\ndata: ha"} {
		b := newBed(t)
		b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Proof", "p")
			event(w, 0, "one")
			_, _ = io.WriteString(w, rest)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		resp := b.do(context.Background(), turn("a", "", "x", "1000"))
		body, err := io.ReadAll(resp.Body)
		if err == nil {
			t.Error("a stream that broke off looks whole")
		}
		if diff := cmp.Diff("id: 0\ndata: one\n\n", string(body)); diff != "" {
			t.Errorf("what the caller got (-want +got):\n%s", diff)
		}
		if code, _ := b.status(turn("b", "a", "y", "1000")); code != http.StatusNotFound {
			t.Errorf("going on from a turn that broke off: %d", code)
		}
	}
}

// TestEventsPassAsTheyCome has a target that waits for the caller to have the
// first event before it sends the second.
func TestEventsPassAsTheyCome(t *testing.T) {
	b := newBed(t)
	seen := make(chan bool)
	b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		event(w, 0, "one")
		<-seen
		event(w, 1, "two")
	})
	resp := b.do(context.Background(), turn("a", "", "x", "1000"))
	first := make([]byte, len("id: 0\ndata: one\n\n"))
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	close(seen)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "id: 1\ndata: two\n\n" {
		t.Errorf("the rest: %q, %v", rest, err)
	}
}

// TestCallerThatLeavesStopsTheTarget closes the caller's connection midway.
func TestCallerThatLeavesStopsTheTarget(t *testing.T) {
	b := newBed(t)
	stopped := make(chan bool, 1)
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Proof", "p")
		event(w, 0, "one")
		<-r.Context().Done()
		stopped <- true
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.do(ctx, turn("a", "", "x", "1000"))
	cancel()
	select {
	case <-stopped:
	case <-time.After(20 * time.Second):
		t.Error("the target works on for a caller that has left")
	}
}

// TestStreamWithoutAnAnswerIsNotRepeated: a stream runs at most once.
func TestStreamWithoutAnAnswerIsNotRepeated(t *testing.T) {
	b := newBed(t)
	ran := make(chan bool, 10)
	for range 3 {
		b.addTarget("models", func(http.ResponseWriter, *http.Request) {
			ran <- true
			panic(http.ErrAbortHandler)
		})
	}
	if code, _ := b.status(turn("a", "", "x", "1000")); code != http.StatusBadGateway {
		t.Errorf("status %d", code)
	}
	if diff := cmp.Diff(1, len(ran)); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}
