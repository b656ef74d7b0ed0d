package host_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fakes"
)

const (
	testPrograms = 20
	testCalls    = 10
)

// history is the part of a program's history that the tests check.
type history struct {
	Program string `json:"program"`
	Calls   []struct {
		Number  int             `json:"number"`
		Outcome string          `json:"outcome"`
		Request json.RawMessage `json:"request"`
	} `json:"calls"`
}

// TestProgramsSurviveEntryKill runs programs concurrently through all entry hosts
// and kills one of the hosts halfway. Every program must complete with its whole
// history, and no deposit may be executed twice.
func TestProgramsSurviveEntryKill(t *testing.T) {
	f := newFleet(t, 3, 3, func() *fakes.Engine { return &fakes.Engine{} })
	var completed atomic.Int64
	var g errgroup.Group
	for p := range testPrograms {
		g.Go(func() error { return f.runProgram(p, &completed) })
	}
	f.eventually("half of the calls are complete", func() error {
		if n := completed.Load(); n < testPrograms*testCalls/2 {
			return fmt.Errorf("%d calls are complete", n)
		}
		return nil
	})
	f.kill("entry-1")
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	for p := range testPrograms {
		f.checkHistory(p)
	}
	for id, n := range f.booking.Effects() {
		switch {
		case n == 1:
		case strings.HasPrefix(id, "/deposits"):
			t.Errorf("%s was executed %d times", id, n)
		default:
			t.Logf("idempotent call %s was executed %d times", id, n)
		}
	}
}

// runProgram opens a program, makes its calls, each through a different entry
// host than the previous one, and ends it.
func (f *fleet) runProgram(p int, completed *atomic.Int64) error {
	name := programName(p)
	open := map[string]any{"program": name, "budget": map[string]any{"calls": testCalls, "tokens": 100000, "seconds": 600}}
	if _, err := f.requestUntilAnswered(p, http.MethodPost, "/v1/programs", open); err != nil {
		return err
	}
	for n := 1; n <= testCalls; n++ {
		path, body := testCall(name, n)
		_, err := f.requestUntilAnswered(p+n, http.MethodPost, fmt.Sprintf("/v1/programs/%s/calls/%d%s", name, n, path), body)
		if err != nil && !strings.Contains(err.Error(), "outcomeUnknown") {
			return err
		}
		completed.Add(1)
	}
	_, err := f.requestUntilAnswered(p, http.MethodPost, "/v1/programs/"+name+"/end", nil)
	return err
}

func programName(p int) string { return fmt.Sprintf("program-%d", p) }

// testCall returns the path and body of call n of a program: in turn a model
// call, an idempotent call and a deposit, which is not idempotent.
func testCall(program string, n int) (path string, body map[string]any) {
	content := fmt.Sprintf("%s call %d", program, n)
	switch n % 3 {
	case 0:
		return "/booking/deposits/" + program, map[string]any{"note": content}
	case 1:
		message := map[string]string{"role": "user", "content": content}
		return "/assistant/v1/chat/completions", map[string]any{"model": "assistant", "messages": []any{message}}
	}
	return "/booking/rooms", map[string]any{"note": content}
}

// checkHistory checks that the history of program p contains all of its calls in
// order, and nothing else.
func (f *fleet) checkHistory(p int) {
	f.t.Helper()
	b, err := f.requestUntilAnswered(0, http.MethodGet, "/v1/programs/"+programName(p)+"/history", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	var h history
	if err := json.Unmarshal(b, &h); err != nil {
		f.t.Fatal(err)
	}
	var got, want []string
	for i, c := range h.Calls {
		got = append(got, fmt.Sprint(c.Number, string(c.Request)))
		_, body := testCall(programName(p), i+1)
		request, _ := json.Marshal(body)
		want = append(want, fmt.Sprint(i+1, string(request)))
		if c.Outcome != "answered" && c.Outcome != "unknown" {
			f.t.Errorf("%s call %d: outcome %s", h.Program, c.Number, c.Outcome)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" || len(got) != testCalls {
		f.t.Errorf("%s has %d calls (-want +got):\n%s", h.Program, len(got), diff)
	}
}
