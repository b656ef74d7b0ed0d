package relay_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestResetDuringUploadIsPassedOn guards against a relaying host that reports the reset of a target's
// connection as its end in order, since its write of the caller's bytes got the reset, and against one
// that breaks off a response that its target has ended in order without reading what the caller sends.
func TestResetDuringUploadIsPassedOn(t *testing.T) {
	for name, inOrder := range map[string]bool{"reset": false, "end in order": true} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var server errgroup.Group
			server.Go(func() error {
				for {
					c, err := l.Accept()
					if err != nil {
						return nil // The test has ended.
					}
					server.Go(func() error {
						defer c.Close()
						_, _ = io.WriteString(c, strings.Repeat("a", 100))
						if inOrder {
							_ = c.(*net.TCPConn).CloseWrite()
						}
						time.Sleep(30 * time.Millisecond)
						return c.(*net.TCPConn).SetLinger(0)
					})
				}
			})
			tg := &target{address: l.Addr().String()}
			d := newDialer(t, newRelayingHost(t, "entry-2", true, tg))
			d.network.setCut(syscall.ECONNREFUSED)
			for range 20 {
				c := d.dialThrough(t, tg)
				var writer errgroup.Group
				writer.Go(func() error {
					_, err := c.Write(make([]byte, 4<<20))
					return err
				})
				b, err := io.ReadAll(c)
				if inOrder && (len(b) != 100 || err != nil) || !inOrder && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%d bytes, then: %v", len(b), err)
				}
				_ = c.Close()
				_ = writer.Wait() // It ends since the connection is closed.
			}
		})
	}
}
