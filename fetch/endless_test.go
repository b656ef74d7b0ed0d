package fetch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fetch"
)

// endlessBytes is how much an "endless" target sends at most, so that a test without a
// limit fails instead of using all memory.
const endlessBytes = 64 << 20

// newEndlessTarget starts a target that responds with start and then repeats chunk until
// the connection is closed. It returns the number of bytes sent so far.
func newEndlessTarget(t *testing.T, start, chunk string) (*target, *atomic.Int64) {
	var sent atomic.Int64
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		next()
		block := strings.Repeat(chunk, 1+16<<10/len(chunk))
		_, err := io.WriteString(c, start)
		for sent.Load() < endlessBytes && err == nil {
			var n int
			n, err = io.WriteString(c, block)
			sent.Add(int64(n))
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, c) // Until the connection is closed.
		}
	})
	return tg, &sent
}

// TestEndlessResponseIsCutOff guards against a target that sends bytes that are no
// response, or a response without end, until the caller closes the connection: the host
// would use up its memory and its link.
func TestEndlessResponseIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nId: x\r\n"
	for name, c := range map[string]struct{ start, chunk string }{
		"status line":        {"HTTP/1.1 200 ", "x"},
		"no line feed":       {"", "\x00\x01"},
		"header field":       {ok + "Long: ", "x"},
		"header fields":      {ok, "Many: x\r\n"},
		"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other responses":    {"", okResponse("y", "stray")},
		"other body":         {"HTTP/1.1 200 OK\r\nId: y\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"body to the end":    {ok + "\r\n", "x"},
		"body with a length": {ok + "Content-Length: 1000000000000\r\n\r\n", "x"},
		"chunk":              {ok + "Transfer-Encoding: chunked\r\n\r\nfffffffff\r\n", "x"},
		"chunks":             {ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension":    {ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer field":      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nLong: ", "x"},
		"trailer fields":     {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Many: x\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			tg, sent := newEndlessTarget(t, c.start, c.chunk)
			var p fetch.Pool
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			resp, err := p.Do(ctx, tg.address, &fetch.Request{
				Method: http.MethodGet, RequestTarget: "/", Host: "a.example", Header: http.Header{"Id": {"x"}}, ID: "x", IDHeader: "Id", MaxBodyBytes: 1 << 20,
			})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Close()
			}
			if err == nil {
				t.Error("the response is taken as complete")
			}
			if ctx.Err() != nil || sent.Load() >= endlessBytes {
				t.Errorf("the target was not cut off, it sent %d bytes: %v", sent.Load(), err)
			}
		})
	}
}

// TestBodyOfMaximumSize checks that a body is complete up to the maximum.
func TestBodyOfMaximumSize(t *testing.T) {
	for size, complete := range map[int]bool{1000: true, 1001: false} {
		tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			id, _ := next()
			_, _ = io.WriteString(c, okResponse(id, strings.Repeat("x", size)))
		})
		var p fetch.Pool
		resp, err := p.Do(context.Background(), tg.address, &fetch.Request{
			Method: http.MethodGet, RequestTarget: "/", Host: "a.example", Header: http.Header{"Id": {"x"}}, ID: "x", IDHeader: "Id", MaxBodyBytes: 1000,
		})
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		resp.Close()
		if (err == nil) != complete || len(b) > 1000 {
			t.Errorf("%d bytes: read %d, %v", size, len(b), err)
		}
	}
}
