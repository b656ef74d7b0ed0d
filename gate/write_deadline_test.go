package gate_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// boundedListener counts the writes to its connections that no deadline bounds.
type boundedListener struct {
	net.Listener
	unbounded atomic.Int32
}

func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &boundedConn{Conn: c, listener: l}, err
}

type boundedConn struct {
	net.Conn
	listener *boundedListener
	bounded  atomic.Bool
}

func (c *boundedConn) SetWriteDeadline(t time.Time) error {
	c.bounded.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

func (c *boundedConn) Write(b []byte) (int, error) {
	if !c.bounded.Load() {
		c.listener.unbounded.Add(1)
	}
	return c.Conn.Write(b)
}

// TestWritesToCallersEnd guards against callers that send requests one behind another, read no
// response, and so hold a connection and its memory without end, since a host that refuses a body
// in the middle, or asks for one, waits for them to read.
func TestWritesToCallersEnd(t *testing.T) {
	b, _, _ := newCrowdTestbed(t)
	l := &boundedListener{}
	dial, _ := b.startServerOn(func(nl net.Listener) net.Listener {
		l.Listener = nl
		return l
	}, testGrace)
	for name, tc := range map[string]struct {
		lines, body string
		want        int
	}{
		"refuses a body": {lines: "Transfer-Encoding: chunked", body: "zz\r\n", want: http.StatusBadRequest},
		"asks for one":   {lines: "Content-Length: 4\r\nExpect: 100-continue", want: http.StatusContinue},
	} {
		t.Run(name, func(t *testing.T) {
			l.unbounded.Store(0)
			c := dial()
			_, _ = fmt.Fprintf(c, "POST /charge/ HTTP/1.1\r\nHost: a.example\r\nId: a\r\nAuthorization: Bearer choir-key\r\n%s\r\n\r\n%s", tc.lines, tc.body)
			resp, _, err := c.receive()
			if diff := cmp.Diff(tc.want, resp.StatusCode); diff != "" || err != nil {
				t.Fatalf("%v, status -want +got:\n%s", err, diff)
			}
			_ = c.Close()
			if n := l.unbounded.Load(); n != 0 {
				t.Errorf("%d writes have no deadline", n)
			}
		})
	}
}
