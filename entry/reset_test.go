package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
)

// startRawTarget starts a target of service "booking" that answers each request, once its header has
// arrived, with bytes, and resets the connection 30 ms later.
func (f *fleet) startRawTarget(answer string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = l.Close() })
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			g.Go(func() error {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return err
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(30 * time.Millisecond)
				return c.(*net.TCPConn).SetLinger(0)
			})
		}
	})
	f.applyOrder(config.Change{PutTargets: []config.Target{{ID: "booking-0", Service: "booking", Address: l.Addr().String(), Zone: "zone-a"}}})
}

// TestResetDuringUpload guards against a response without a length that callers get as a whole one
// though its connection was reset while the host was writing the request's body.
func TestResetDuringUpload(t *testing.T) {
	f := newFleet(t)
	f.startRawTarget("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 100))
	for i := range 20 {
		body := fmt.Sprint(i, strings.Repeat("x", 4<<20)) // One that is repeated would be quarantined.
		if resp := f.request(0, choirKey, http.MethodPost, "/v1/services/booking/rooms", body); resp.status < http.StatusInternalServerError {
			t.Errorf("status %d: %.100s", resp.status, resp.body)
		}
	}
}
