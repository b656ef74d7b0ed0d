package fetch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/banyanspur/banyanspur/fetch"
)

// TestInvalidStatusIsAnError guards against a response with a status that HTTP does not have: callers
// would get it, or, if it counts as an interim one, its body as the response.
func TestInvalidStatusIsAnError(t *testing.T) {
	inner := okResponse("x", "from a body")
	withBody := func(head string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nId: x\r\nContent-Length: %d\r\n\r\n%s", head, len(inner), inner)
	}
	for _, head := range []string{"000 Zero", "099 Low", "+20 Sign", "-01 Sign", "0 Short", "20 Short", "101 Switching Protocols", "103 Early Hints", "600 High", "999 High"} {
		t.Run(head, func(t *testing.T) {
			tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
				next()
				_, _ = io.WriteString(c, withBody(head))
			})
			var p fetch.Pool
			if got, err := send(t, &p, tg, "x"); err == nil {
				t.Errorf("the response is taken as valid: %q", got)
			}
		})
	}
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+inner)
	})
	var p fetch.Pool
	if got, err := send(t, &p, tg, "x"); got != "from a body" || err != nil {
		t.Errorf("after an interim response: %q, %v", got, err)
	}
}
