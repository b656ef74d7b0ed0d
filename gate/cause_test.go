package gate_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
)

// endOf waits for the event that a request has ended, and returns some of its fields.
func endOf(t *testing.T, b *testbed, request string) map[string]any {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for line := range strings.Lines(b.log.String()) {
			var fields map[string]any
			if json.Unmarshal([]byte(line), &fields) == nil && fields["event"] == float64(event.RequestEnded.Number) && fields["request"] == request {
				return map[string]any{"cause": fields["cause"], "delivered": fields["delivered"], "program": fields["program"], "target": fields["target"], "stores": fields["stores"] != nil}
			}
		}
	}
	t.Fatalf("no end of request %s is logged", request)
	return nil
}

// TestEndTellsItsCause guards against lines of a failed request that do not tell, each by itself, why it
// failed, in which program, at which target and stores, and whether the caller has got the end.
func TestEndTellsItsCause(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "p")
		writeEvent(w, 0, "one")
		panic(http.ErrAbortHandler)
	})
	resp := b.do(t.Context(), turnRequest("cut", "", "x", "1000"))
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a truncated stream looks complete")
	}
	got := endOf(t, b, "cut")
	if cause, _ := got["cause"].(string); cause == "" {
		t.Error("the end of a truncated stream has no cause")
	}
	delete(got, "cause")
	if diff := cmp.Diff(map[string]any{"delivered": false, "program": "p", "target": "t0", "stores": true}, got); diff != "" {
		t.Errorf("end of a truncated stream (-want +got):\n%s", diff)
	}
	b.send(turnRequest("missing", "none", "x", "1000"))
	want := map[string]any{"cause": "there is no such turn", "delivered": true, "program": "p", "target": "", "stores": true}
	if diff := cmp.Diff(want, endOf(t, b, "missing")); diff != "" {
		t.Errorf("end of a refused turn (-want +got):\n%s", diff)
	}
}

// TestRefusalTellsLackingStores guards against a refusal for want of a majority from whose line nobody can tell which
// shard and stores it was for.
func TestRefusalTellsLackingStores(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	b.delayClaims(4 * time.Second)
	if code, body := b.send(turnRequest("late", "", "x", "1000")); code != http.StatusServiceUnavailable {
		t.Fatal(code, body)
	}
	for line := range strings.Lines(b.log.String()) {
		var fields struct {
			Event, Shard int
			Request      string
			Current      []string
			Lacking      []turns.LackingStore
		}
		if json.Unmarshal([]byte(line), &fields) != nil || fields.Event != int(event.RequestRefused.Number) || fields.Request != "late" {
			continue
		}
		if len(fields.Current) != 1 || len(fields.Lacking) != 1 || fields.Lacking[0].Fault != "the store has not received the current shard map yet" {
			t.Errorf("the one store has no map for 4 s: the refusal tells %+v", fields)
		}
		return
	}
	t.Error("no refusal of the request is logged")
}
