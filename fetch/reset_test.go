package fetch_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fetch"
)

// upload sends a request with a body of 4 MiB and returns the part of the response's body that arrived.
func upload(p *fetch.Pool, tg *target) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, tg.address, &fetch.Request{
		Method: http.MethodPost, RequestTarget: "/", Host: "a.example", Header: http.Header{}, Body: make([]byte, 4<<20), ID: "x", IDHeader: "Id",
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// earlyResponse is a response without a length to a request whose body has not been read.
var earlyResponse = "HTTP/1.1 200 OK\r\nId: x\r\n\r\n" + strings.Repeat("a", 100)

// TestResetDuringUploadIsAnError guards against a response without a length that looks complete though
// its connection was reset: the kernel reports a reset once, to the write of the request's body.
func TestResetDuringUploadIsAnError(t *testing.T) {
	tg := newTarget(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, earlyResponse)
		time.Sleep(30 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	var p fetch.Pool
	for range 40 {
		if got, err := upload(&p, tg); err == nil {
			t.Errorf("a response that was reset after %d bytes is taken as complete", len(got))
		}
	}
}

// TestEarlyResponseIsComplete guards against a response that counts as broken off though its target
// has ended it in order, before it has read the body of the request: it then stays open, or resets
// the connection later.
func TestEarlyResponseIsComplete(t *testing.T) {
	for name, stay := range map[string]time.Duration{"stays open": 300 * time.Millisecond, "resets later": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, earlyResponse)
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(stay)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			var p fetch.Pool
			for range 10 {
				got, err := upload(&p, tg)
				if diff := cmp.Diff(strings.Repeat("a", 100), got); diff != "" || err != nil {
					t.Errorf("response: %v (-want +got):\n%s", err, diff)
				}
			}
		})
	}
}
