package gate_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
)

// TestClaimIsSettledAfterOutage guards against a claim that keeps its part of a budget for good, since the stores could not
// be reached for longer than 3 s after its turn had failed: later turns of the program get 402.
func TestClaimIsSettledAfterOutage(t *testing.T) {
	const outage = 3500 * time.Millisecond
	b := newTestbed(t)
	stores := b.fleet.View()
	failing := true
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		if !failing {
			streamEvents("one")(w, r)
			return
		}
		failing = false
		v := b.fleet.View()
		v.Map = &turns.Map{}
		b.fleet.setView(v)
		panic(http.ErrAbortHandler)
	})
	if code, body := b.send(turnRequest("a", "", "x", "60")); code != http.StatusBadGateway {
		t.Fatal(code, body)
	}
	time.Sleep(outage)
	v := b.fleet.View()
	v.Map = stores.Map
	b.fleet.setView(v)
	var got string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		code, body := b.send(turnRequest(fmt.Sprint("b", requestCount.Add(1)), "", "x", "60"))
		if got = fmt.Sprint(code, " ", body); code != http.StatusPaymentRequired && code != http.StatusServiceUnavailable {
			break
		}
	}
	if diff := cmp.Diff("200 id: 0\ndata: one\n\n", got); diff != "" {
		t.Errorf("a turn of 40 tokens, budget 60, after the stores could not be reached for %v (-want +got):\n%s", outage, diff)
	}
}
