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

// request sends one request to the engine and returns the status and the body.
func request(e *fakes.Engine, method, path, body string) string {
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	b, _ := io.ReadAll(w.Result().Body)
	return fmt.Sprintf("%d %s", w.Code, strings.TrimSpace(string(b)))
}

// TestPromptCache checks that only tokens that are not cached are computed, and
// that tokens computed again after an eviction are counted.
func TestPromptCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakes.Engine{PrefillRate: 100, CacheTokens: 250}
		generateTime := func(key string, prompt int) time.Duration {
			start := time.Now()
			e.Generate(context.Background(), fakes.Job{CacheKey: key, PromptTokens: prompt})
			return time.Since(start)
		}
		got := []time.Duration{generateTime("p", 100), generateTime("p", 150), generateTime("q", 200), generateTime("p", 150)}
		want := []time.Duration{time.Second, 500 * time.Millisecond, 2 * time.Second, 1500 * time.Millisecond}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
		computed, recomputed := e.PrefillTokens()
		if diff := cmp.Diff([]int{500, 150}, []int{computed, recomputed}); diff != "" {
			t.Errorf("tokens (-want +got):\n%s", diff)
		}
	})
}

// TestBatch checks that no more calls run at once than there are slots, and that
// waiting calls run in the order of their priority.
func TestBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakes.Engine{Slots: 1, TokenTime: time.Second}
		var mu sync.Mutex
		var order []int
		var wg sync.WaitGroup
		for _, priority := range []int{0, 1, 3, 2} {
			wg.Go(func() {
				e.Generate(context.Background(), fakes.Job{AnswerTokens: 1, Priority: priority})
				mu.Lock()
				defer mu.Unlock()
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

// TestLag checks that load and cache events are reported with their lag.
func TestLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakes.Engine{TokenTime: time.Second, LoadLag: time.Minute, EventLag: time.Minute}
		var wg sync.WaitGroup
		wg.Go(func() { e.Generate(context.Background(), fakes.Job{CacheKey: "p", PromptTokens: 1, AnswerTokens: 600}) })
		synctest.Wait()
		reported := func() []string {
			h := http.Header{}
			e.ReportLoad(h)
			return []string{h.Get("Load-Calls"), request(e, http.MethodGet, "/v1/cache/events", "")}
		}
		if diff := cmp.Diff([]string{"0", "200 []"}, reported()); diff != "" {
			t.Errorf("before the lag (-want +got):\n%s", diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff([]string{"1", `200 [{"seq":1,"hold":"p","tokens":601}]`}, reported()); diff != "" {
			t.Errorf("after the lag (-want +got):\n%s", diff)
		}
		wg.Wait()
	})
}

// TestOrders checks that stale fencing tokens are rejected only by an engine that
// checks them, and that a cached prefix can be transferred between engines.
func TestOrders(t *testing.T) {
	withCheck, withoutCheck := &fakes.Engine{ChecksFencing: true}, &fakes.Engine{}
	withCheck.Generate(context.Background(), fakes.Job{CacheKey: "p", PromptTokens: 9, AnswerTokens: 1})
	got := []string{
		request(withCheck, http.MethodPost, "/v1/orders", `{"fence":2,"kind":"model","value":"a"}`),
		request(withCheck, http.MethodPost, "/v1/orders", `{"fence":1,"kind":"model","value":"b"}`),
		request(withoutCheck, http.MethodPost, "/v1/orders", `{"fence":2,"kind":"role","value":"a"}`),
		request(withoutCheck, http.MethodPost, "/v1/orders", `{"fence":1,"kind":"role","value":"b"}`),
		request(withCheck, http.MethodGet, "/v1/holds/p", ""),
		request(withoutCheck, http.MethodPut, "/v1/holds/p", `{"tokens":10}`),
		request(withoutCheck, http.MethodGet, "/v1/holds", ""),
		request(withoutCheck, http.MethodDelete, "/v1/holds/p", ""),
		request(withoutCheck, http.MethodGet, "/v1/holds", ""),
	}
	want := []string{
		`200 {"model":"a"}`, "409 the order's fencing token is stale", `200 {"role":"a"}`, `200 {"role":"b"}`,
		`200 {"tokens":10}`, "204 ", `200 {"p":10}`, "204 ", "200 {}",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
