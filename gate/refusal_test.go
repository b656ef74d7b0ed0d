package gate_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/types"
)

// addRawTarget starts a target that writes to a kept connection what respond returns for
// each request. It closes the connection after a response without a length.
func (b *testbed) addRawTarget(service types.ServiceID, respond func(id string) string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			b.t.Error(err)
			return
		}
		defer conn.Close()
		for {
			_, _ = io.Copy(io.Discard, r.Body) // A request that breaks off is answered as far as it has come.
			response := respond(r.Header.Get("Id"))
			if _, err := io.WriteString(conn, response); err != nil || !strings.Contains(response, "Content-Length") {
				return
			}
			if r, err = http.ReadRequest(buffered.Reader); err != nil {
				return
			}
		}
	}))
	b.t.Cleanup(server.CloseClientConnections)
	b.t.Cleanup(server.Close)
	b.addListedTarget(service, server)
}

// rawResponse returns a response with the given status line, header lines and body.
func rawResponse(status, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// rawOK returns a signed response to the request with the given ID.
func rawOK(id string) string {
	return rawResponse("200 OK", "Id: "+id+"\r\nProof: p\r\n", "fine")
}

// TestEarlierRefusalIsNotBelieved guards against a target that writes an earlier refusal once
// more on a kept connection, just before the response to a request that it has run: callers
// would be told that the request was not run, or it would run at a second target.
func TestEarlierRefusalIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		refusal string
		code    int // that a caller gets whose request may not be repeated
	}{
		"another ID":            {rawResponse("503 Service Unavailable", "Id: earlier\r\nNot-Run: 1\r\n", ""), http.StatusOK},
		"no ID":                 {rawResponse("503 Service Unavailable", "Not-Run: 1\r\n", ""), http.StatusBadGateway},
		"no ID, 429":            {rawResponse("429 Too Many Requests", "Not-Run: 1\r\n", ""), http.StatusBadGateway},
		"no ID, 421":            {rawResponse("421 Misdirected Request", "", ""), http.StatusBadGateway},
		"no ID, no guarantee":   {rawResponse("503 Service Unavailable", "", ""), http.StatusBadGateway},
		"no ID, another status": {rawResponse("500 Internal Server Error", "", "of another"), http.StatusBadGateway},
		"another ID, closes":    {rawResponse("503 Service Unavailable", "Id: earlier\r\nNot-Run: 1\r\nConnection: close\r\n", ""), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			var ran atomic.Int32
			b.addRawTarget("plain", func(id string) string {
				if ran.Add(1) == 1 {
					return rawOK(id)
				}
				return c.refusal + rawOK(id)
			})
			charge := testRequest{path: "/charge/", key: "choir-key"}
			if code, body := b.send(charge); code != http.StatusOK {
				t.Fatalf("first request: status %d, %s", code, body)
			}
			var elsewhere atomic.Int32
			b.addTarget("plain", countRequests(&elsewhere, respondOK))
			for ran.Load() < 2 { // Until the first target is selected again.
				elsewhere.Store(0)
				code, body := b.send(charge)
				if ran.Load() < 2 {
					continue
				}
				if diff := cmp.Diff(c.code, code); diff != "" {
					t.Errorf("status (-want +got):\n%s%s", diff, body)
				}
			}
			if diff := cmp.Diff(int32(0), elsewhere.Load()); diff != "" {
				t.Errorf("runs at a second target (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStatusThatGuaranteesNotRunIsNotForwarded guards against a status of a target that
// callers take as a guarantee, from a target that does not give it.
func TestStatusThatGuaranteesNotRunIsNotForwarded(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		b := newTestbed(t)
		b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		resp := b.do(context.Background(), testRequest{path: "/charge/", key: "choir-key"})
		if diff := cmp.Diff(http.StatusBadGateway, resp.StatusCode); diff != "" {
			t.Errorf("response to a target's %d (-want +got):\n%s", status, diff)
		}
	}
}

// TestEarlierRefusalOfIdempotentRequest has a target that writes an earlier refusal before
// each response. A request that may be repeated is sent to another target.
func TestEarlierRefusalOfIdempotentRequest(t *testing.T) {
	b := newTestbed(t)
	b.addRawTarget("plain", func(id string) string {
		return rawResponse("503 Service Unavailable", "Not-Run: 1\r\n", "") + rawOK(id)
	})
	b.addTarget("plain", respondOK)
	for range 4 {
		if code, body := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != http.StatusOK {
			t.Errorf("status %d, %s", code, strings.TrimSpace(body))
		}
	}
}

// TestLimitOfAnotherResponseIsNotRecorded guards against a limit that a target named to
// another request: as part of an earlier response that it writes once more, it may no longer
// hold.
func TestLimitOfAnotherResponseIsNotRecorded(t *testing.T) {
	b := newTestbed(t)
	var served atomic.Int32
	b.addRawTarget("plain", func(id string) string {
		if served.Add(1) == 1 {
			return rawResponse("503 Service Unavailable", "Not-Run: 1\r\nLimit: 0\r\n", "")
		}
		return rawOK(id)
	})
	for _, want := range []int{http.StatusBadGateway, http.StatusOK} {
		code, body := b.send(testRequest{path: "/charge/", key: "choir-key"})
		if diff := cmp.Diff(want, code); diff != "" {
			t.Errorf("status (-want +got):\n%s%s", diff, body)
		}
	}
}
