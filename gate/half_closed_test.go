package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestHalfClosedCallerGetsErrorResponse guards against a connection that is closed without a
// response when its caller has closed its own side after the request, or the body of the
// request does not come: the caller cannot tell whether a target has run it.
func TestHalfClosedCallerGetsErrorResponse(t *testing.T) {
	for name, c := range map[string]struct {
		request   string // after the common header lines
		halfClose bool
		code      int
	}{
		"the target breaks off":   {"Content-Length: 1\r\n\r\nx", true, http.StatusBadGateway},
		"the body is missing":     {"Content-Length: 1\r\n\r\n", true, http.StatusBadRequest},
		"the body does not come":  {"Content-Length: 1\r\nDeadline: 200\r\n\r\n", false, http.StatusRequestTimeout},
		"the body ends too early": {"Content-Length: 4\r\nDeadline: 200\r\n\r\nx", false, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t)
			b.addTarget("plain", func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(100 * time.Millisecond) // The host notices meanwhile that the caller has closed its side.
				panic(http.ErrAbortHandler)
			})
			dial, _ := b.startServer()
			caller := dial()
			fmt.Fprintf(caller, "POST /charge/ HTTP/1.1\r\nHost: a.example\r\nId: x\r\nAuthorization: Bearer choir-key\r\n%s", c.request)
			if c.halfClose {
				_ = caller.Conn.(*net.TCPConn).CloseWrite()
			}
			if resp, body, err := caller.receive(); resp.StatusCode != c.code || body == "" || err != nil {
				t.Errorf("status %d, body %q, %v; want status %d", resp.StatusCode, body, err, c.code)
			}
			if _, err := caller.responses.ReadByte(); err != io.EOF {
				t.Errorf("after the response: %v, want EOF", err)
			}
		})
	}
}
