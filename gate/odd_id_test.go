package gate_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOddIDsAreRefused guards against a turn that a target runs and that then ends without an
// answer, and against a report of a crash that no leader accepts, together with all that the host
// reports: messages between hosts cannot have an ID that is not UTF-8.
func TestOddIDsAreRefused(t *testing.T) {
	b := newTestbed(t)
	var ran atomic.Int32
	b.addTarget("models", countRequests(&ran, respondTurn))
	for name, header := range map[string]map[string]string{
		"request":             {"Id": "odd\xff"},
		"request with budget": {"Id": "odd\xff", "Program": "p", "Budget": "1000", "Tokens": "100,40"},
		"program":             {"Program": "odd\xff", "Budget": "1000", "Tokens": "100,40"},
		"previous turn":       {"Previous": "odd\xff"},
	} {
		t.Run(name, func(t *testing.T) {
			code, body := b.trySend(testRequest{path: "/chat/", key: "choir-key", body: "input", header: header})
			if diff := cmp.Diff(http.StatusBadRequest, code); diff != "" || ran.Load() != 0 {
				t.Errorf("%d runs, %s, status -want +got:\n%s", ran.Load(), body, diff)
			}
		})
	}
	if code, body := b.trySend(testRequest{path: "/chat/", key: "choir-key", body: "input", header: map[string]string{"Program": "prógram"}}); code != http.StatusOK {
		t.Errorf("an ID with other characters gets status %d: %s", code, body)
	}
}
