package gate_test

import (
	"fmt"
	"net/http"
	"strings"
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

// TestOddLineIsServed guards against a caller that closes the admission of a host for all others: a line that is not
// UTF-8, or long, is only a hint, and stores that cannot decode its claim seem to be late.
func TestOddLineIsServed(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("models", streamEvents("one"))
	for i, line := range []string{"odd\xff", strings.Repeat("long", 2000)} {
		r := turnRequest(fmt.Sprint("t", i), "", "x", "1000")
		r.header["Line"] = line
		if code, body := b.send(r); code != http.StatusOK {
			t.Errorf("a turn of line %.10q: status %d, %s", line, code, body)
		}
	}
}
