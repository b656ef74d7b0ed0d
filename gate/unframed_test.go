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

// unframedHead returns the head of a response that has neither a length nor chunks and ends
// with its connection.
func unframedHead(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nProof: p\r\n\r\n" }

// TestUnframedResponses guards against responses without a length or chunks that are taken
// for complete although the target broke them off, or for broken although they are complete:
// callers would get an empty or short success, or a turn would be stored with a part of its
// output.
func TestUnframedResponses(t *testing.T) {
	turn := turnRequest("a", "", "x", "1000")
	for name, c := range map[string]struct {
		request testRequest
		body    string
		code    int
		want    string // body that the caller receives
		whole   bool   // the response looks complete
		stored  bool   // a turn continues it
	}{
		"body":                      {testRequest{path: "/charge/", key: "choir-key"}, "to the end", http.StatusOK, "to the end", true, false},
		"stream":                    {turn, "id: 0\ndata: one\n\nid: 1\ndata: two\n\n", http.StatusOK, "id: 0\ndata: one\n\nid: 1\ndata: two\n\n", true, true},
		"cut within an event":       {turn, "id: 0\ndata: one\n\nid: 1\ndata: tw", http.StatusOK, "id: 0\ndata: one\n\n", false, false},
		"cut after a line":          {turn, "id: 0\ndata: one\n\nid: 1\ndata: two\n", http.StatusOK, "id: 0\ndata: one\n\n", false, false},
		"cut within the first":      {turn, "id: 0\nda", http.StatusBadGateway, "the target sent no valid response\n", true, false},
		"cut before the first":      {turn, "", http.StatusBadGateway, "the target sent no valid response\n", true, false},
		"cut before the blank line": {turn, "id: 0\ndata: one\n", http.StatusBadGateway, "the target sent no valid response\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			runAvailable(t, func(b *testbed) bool {
				respond := func(id string) string { return unframedHead(id) + c.body }
				b.addRawTarget("plain", respond)
				b.addRawTarget("models", respond)
				sentAt := time.Now()
				resp := b.do(context.Background(), c.request)
				if storeTooSlow(resp, sentAt) {
					return true
				}
				body, err := io.ReadAll(resp.Body)
				if c.whole && err != nil && time.Since(sentAt) >= commitTimeout {
					return true // The turn was not stored in time.
				}
				if diff := cmp.Diff(fmt.Sprint(c.code, c.whole, " ", c.want), fmt.Sprint(resp.StatusCode, err == nil, " ", string(body))); diff != "" {
					t.Errorf("status, whole and body (-want +got):\n%s", diff)
				}
				if c.request.path != turn.path {
					return false
				}
				code, _, again := b.sendTurn(turnRequest("b", "a", "y", "1000"))
				if diff := cmp.Diff(c.stored, code != http.StatusNotFound); diff != "" && !again {
					t.Errorf("the turn is stored (-want +got):\n%s", diff)
				}
				return again
			})
		})
	}
}
