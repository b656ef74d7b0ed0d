package wire_test

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
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/wire"
)

const (
	// endlessBytes is how much an "endless" host sends at most, so that a test without a limit
	// fails instead of using all memory. No process may read as much: entry hosts have 184 MB.
	endlessBytes = 96 << 20
	// fragmentOfMessage is the head of a frame of 64 KiB after which others of its message follow.
	fragmentOfMessage = "\x02\x7f\x00\x00\x00\x00\x00\x01\x00\x00"
	continuation      = "\x00\x7f\x00\x00\x00\x00\x00\x01\x00\x00"
	// endlessFrame is the head of a frame of 1 TB.
	endlessFrame = "\x82\x7f\x00\x00\x01\x00\x00\x00\x00\x00"
	// clientHandshake requests a WebSocket connection.
	clientHandshake = "GET /peer HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
)

// faultyHost accepts connections, and handles each with serve after it has read a request.
type faultyHost struct {
	address string
	conns   atomic.Int64
	sent    atomic.Int64 // the most bytes that it has sent over one connection
	closed  atomic.Int64 // connections that the other side has closed
}

func newFaultyHost(t *testing.T, serve func(c net.Conn, accept string, f *faultyHost)) *faultyHost {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyHost{address: l.Addr().String()}
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			f.conns.Add(1)
			g.Go(func() error {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return nil
				}
				serve(c, acceptKey(r.Header.Get("Sec-WebSocket-Key")), f)
				f.closed.Add(1)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = g.Wait()
	})
	return f
}

// acceptKey returns the response to a WebSocket handshake.
func acceptKey(key string) string {
	sum := sha1.Sum([]byte(key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11")) //nolint:gosec // As above.
	return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: " + base64.StdEncoding.EncodeToString(sum[:]) + "\r\n\r\n"
}

// repeat writes chunk until the connection fails or endlessBytes were written.
func repeat(w io.Writer, chunk string, sent *atomic.Int64) {
	n := int64(0)
	for n < endlessBytes {
		written, err := io.WriteString(w, chunk)
		n += int64(written)
		sent.Store(max(sent.Load(), n))
		if err != nil {
			return
		}
	}
}

// TestEndlessBytesOfHostAreCutOff guards against a host of the fleet that sends without end:
// the process that had dialed it read up to 256 MiB of a frame, 10 MiB of a handshake, kept
// them, and dialed again at once.
func TestEndlessBytesOfHostAreCutOff(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	for name, c := range map[string]struct {
		upgrade      bool
		start, chunk string
		maxBytes     int64
	}{
		"status line":       {false, "HTTP/1.1 200 ", block, 5 << 20},
		"header field":      {false, "HTTP/1.1 101 Switching Protocols\r\nLong: ", block, 5 << 20},
		"header fields":     {false, "HTTP/1.1 101 Switching Protocols\r\n", strings.Repeat("Many: x\r\n", 1000), 5 << 20},
		"interim responses": {false, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100), 5 << 20},
		"refusal":           {false, "HTTP/1.1 503 Service Unavailable\r\n\r\n", block, 5 << 20},
		"frame":             {true, endlessFrame, block, 64 << 20},
		"fragments":         {true, fragmentOfMessage + block, continuation + block, 64 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFaultyHost(t, func(conn net.Conn, accept string, f *faultyHost) {
				if !c.upgrade {
					accept = ""
				}
				_, _ = io.WriteString(conn, accept+c.start)
				repeat(conn, c.chunk, &f.sent)
			})
			l := startPool(t, &wire.Pool{}).Link(f.address)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			for f.closed.Load() == 0 && ctx.Err() == nil {
				callCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
				start := time.Now()
				if _, err := wire.Call[echoRequest, int](callCtx, l, echo, echoRequest{}); err == nil || time.Since(start) > 2*time.Second {
					t.Errorf("a call without a reply took %v: %v", time.Since(start), err)
				}
				cancel()
				time.Sleep(10 * time.Millisecond)
			}
			if n := f.sent.Load(); f.closed.Load() == 0 || n > c.maxBytes {
				t.Errorf("%d bytes of a connection were read, at most %d may be", n, c.maxBytes)
			}
			if !c.upgrade {
				return
			}
			time.Sleep(time.Second)
			if n := f.conns.Load(); n > 1 {
				t.Errorf("the host was dialed %d times within a second", n)
			}
		})
	}
}

// TestEndlessBytesOfClientAreCutOff guards against the same from a process that has connected.
func TestEndlessBytesOfClientAreCutOff(t *testing.T) {
	block := strings.Repeat("x", 64<<10)
	maskedFrame := strings.Replace(endlessFrame, "\x7f", "\xff", 1) + "\x00\x00\x00\x00"
	maskedStart := strings.Replace(fragmentOfMessage, "\x7f", "\xff", 1) + "\x00\x00\x00\x00"
	maskedNext := strings.Replace(continuation, "\x7f", "\xff", 1) + "\x00\x00\x00\x00"
	for name, c := range map[string]struct{ start, chunk string }{
		"frame":     {maskedFrame, block},
		"fragments": {maskedStart + block, maskedNext + block},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp4", startEchoServer(t))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, _ = io.WriteString(conn, clientHandshake+c.start)
			var sent atomic.Int64
			repeat(conn, c.chunk, &sent)
			if n := sent.Load(); n > 64<<20 {
				t.Errorf("%d bytes were read of a frame", n)
			}
		})
	}
}
