package fetch_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/banyanspur/banyanspur/fetch"
)

// TestResponseCutWithinHeadIsAnError guards against a target that stops in the middle of a
// response's head and closes the connection in order: callers would get a success with an
// empty or short body. The head is cut after each of its bytes.
func TestResponseCutWithinHeadIsAnError(t *testing.T) {
	for name, head := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nId: x\r\nProof: 5a2.600.0\r\nContent-Length: 12\r\n\r\n",
		"in chunks":     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: x\r\nProof: 5a2\r\nTransfer-Encoding: chunked\r\n\r\n",
		"unframed":      "HTTP/1.1 200 OK\r\nId: x\r\nProof: 5a2\r\n\r\n",
		"bare newlines": "HTTP/1.1 200 OK\nId: x\nProof: 5a2\n\n",
		"after interim": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: x\r\nProof: 5a2\r\n\r\n",
		"after a stray": "HTTP/1.1 200 OK\r\nId: y\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: x\r\nProof: 5a2\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range head {
				tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
					next()
					_, _ = io.WriteString(c, head[:n])
				})
				var p fetch.Pool
				if got, err := send(t, &p, tg, "x"); err == nil {
					t.Errorf("cut after %q, the response is taken as complete: %q", head[:n], got)
				}
			}
		})
	}
}
