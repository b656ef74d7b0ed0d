package fakes_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fakes"
)

// ask sends one request to the engine and returns status and body.
func ask(e *fakes.Engine, method, path, body string) string {
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	b, _ := io.ReadAll(w.Result().Body)
	return fmt.Sprintf("%d %s", w.Code, strings.TrimSpace(string(b)))
}

// TestPrefixCache computes only what is not cached, and counts what was pushed
// out and computed again.
func TestPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakes.Engine{PrefillRate: 100, CacheTokens: 250}
		took := func(hold string, prompt int) time.Duration {
			start := time.Now()
			e.Generate(context.Background(), fakes.Job{Hold: hold, Prompt: prompt})
			return time.Since(start)
		}
		got := []time.Duration{took("p", 100), took("p", 150), took("q", 200), took("p", 150)}
		want := []time.Duration{time.Second, 500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		computed, recomputed := e.Waste()
		if diff := cmp.Diff([]int{500, 150}, []int{computed, recomputed}); diff != "" {
			t.Errorf("tokens (-want +got):\n%s", diff)
		}
	})
}

// TestBatch runs as many calls at once as there are slots, and lets the
// highest priority in first.
func TestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakes.Engine{Slots: 1, TokenTime: time.Second}
		var order []int
		var wg sync.WaitGroup
		for _, priority := range []int{0, 1, 3, 2} {
			wg.Go(func() {
				e.Generate(context.Background(), fakes.Job{Tokens: 1, Priority: priority})
				order = append(order, priority)
			})
			synctest.Wait()
		}
		wg.Wait()
		if diff := cmp.Diff([]int{0, 3, 2, 1}, order); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}

// TestLag reports load and cache events late.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakes.Engine{TokenTime: time.Second, LoadLag: time.Minute, EventLag: time.Minute}
		var wg sync.WaitGroup
		wg.Go(func() { e.Generate(context.Background(), fakes.Job{Hold: "p", Prompt: 1, Tokens: 600}) })
		synctest.Wait()
		seen := func() []string {
			h := http.Header{}
			e.ReportLoad(h)
			return []string{h.Get("Load-Calls"), ask(e, http.MethodGet, "/v1/cache/events", "")}
		}
		if diff := cmp.Diff([]string{"0", "200 []"}, seen()); diff != "" {
			t.Errorf("at once (-want +got):\n%s", diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff([]string{"1", `200 [{"seq":1,"hold":"p","tokens":601}]`}, seen()); diff != "" {
			t.Errorf("late (-want +got):\n%s", diff)
		}
		wg.Wait()
	})
}

// TestOrders refuses old fencing numbers if the engine checks them, and moves
// memory between engines.
func TestOrders(t *testing.T) {
	fenced, open := &fakes.Engine{Fenced: true}, &fakes.Engine{}
	fenced.Generate(context.Background(), fakes.Job{Hold: "p", Prompt: 9, Tokens: 1})
	got := []string{
		ask(fenced, http.MethodPost, "/v1/orders", `{"fence":2,"kind":"model","value":"a"}`),
		ask(fenced, http.MethodPost, "/v1/orders", `{"fence":1,"kind":"model","value":"b"}`),
		ask(open, http.MethodPost, "/v1/orders", `{"fence":2,"kind":"role","value":"a"}`),
		ask(open, http.MethodPost, "/v1/orders", `{"fence":1,"kind":"role","value":"b"}`),
		ask(fenced, http.MethodGet, "/v1/holds/p", ""),
		ask(open, http.MethodPut, "/v1/holds/p", `{"tokens":10}`),
		ask(open, http.MethodGet, "/v1/holds", ""),
		ask(open, http.MethodDelete, "/v1/holds/p", ""),
		ask(open, http.MethodGet, "/v1/holds", ""),
	}
	want := []string{
		`200 {"model":"a"}`, "409 the order's fencing number is old", `200 {"role":"a"}`, `200 {"role":"b"}`,
		`200 {"tokens":10}`, "204 ", `200 {"p":10}`, "204 ", "200 {}",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
