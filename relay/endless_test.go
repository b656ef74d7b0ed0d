package relay_test

import (
	"bufio"
	"context"
	"crypto/sha1" //nolint:gosec // The handshake of WebSocket uses it.
	"encoding/base64"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/relay"
)

// endlessBytes is how much an "endless" host sends at most, and maxReadBytes how much of it may
// be read: the limits, and what the kernel holds of a connection.
const (
	endlessBytes = 32 << 20
	maxReadBytes = 6 << 20
)

// TestEndlessBytesOfRelayingHostAreCutOff guards against a relaying host that sends without
// end: 10 MiB of the response to each handshake were read and kept.
func TestEndlessBytesOfRelayingHostAreCutOff(t *testing.T) {
	const upgrade = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: "
	block := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct{ start, chunk string }{
		"status line":       {"HTTP/1.1 101 ", block},
		"header field":      {"HTTP/1.1 101 Switching Protocols\r\nLong: ", block},
		"interim responses": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
		"refusal":           {"HTTP/1.1 503 Service Unavailable\r\n\r\n", block},
		"frame":             {upgrade, block},
	} {
		t.Run(name, func(t *testing.T) {
			var sent, closed atomic.Int64
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var g errgroup.Group
			g.Go(func() error {
				conn, err := l.Accept()
				if err != nil {
					return nil // The test has ended.
				}
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return nil
				}
				if c.start == upgrade {
					sum := sha1.Sum([]byte(r.Header.Get("Sec-WebSocket-Key") + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")) //nolint:gosec // As above.
					c.start += base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n\x82\x7f\x00\x00\x01\x00\x00\x00\x00\x00"
				}
				_, err = io.WriteString(conn, c.start)
				for err == nil && sent.Load() < endlessBytes {
					var n int
					n, err = io.WriteString(conn, c.chunk)
					sent.Add(int64(n))
				}
				closed.Add(1)
				return nil
			})
			d := newDialer(t)
			d.network.setCut(syscall.ECONNREFUSED)
			d.SetHosts([]relay.Host{{ID: "entry-2", Address: l.Addr().String()}})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if conn, err := d.Dial(ctx, newTarget(t).address); err == nil {
				_, err = io.ReadAll(conn)
				if err == nil {
					t.Error("what the host has sent is taken as the end of the target's response")
				}
				_ = conn.Close()
			}
			for deadline := time.Now().Add(3 * time.Second); closed.Load() == 0 && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			if n := sent.Load(); closed.Load() == 0 || n > maxReadBytes {
				t.Errorf("%d bytes were read, at most %d may be", n, maxReadBytes)
			}
			_ = l.Close()
			_ = g.Wait()
		})
	}
}
