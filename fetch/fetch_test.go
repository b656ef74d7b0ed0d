package fetch_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fetch"
)

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// send sends one request and returns the part of the response's body that arrived.
func send(t *testing.T, p *fetch.Pool, tg *target, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, tg.address, &fetch.Request{
		Method: http.MethodPost, RequestTarget: "/x?y=1", Host: "a.example", Header: http.Header{"Id": {id}}, Body: []byte("body of " + id), ID: id, IDHeader: "Id",
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func mayBeSent(err error) bool {
	var e *fetch.Error
	return errors.As(err, &e) && e.Sent
}

func TestConnectionIsReused(t *testing.T) {
	conns := make(chan bool, 10)
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		conns <- true
		for id, ok := next(); ok; id, ok = next() {
			_, _ = io.WriteString(c, okResponse(id, "for "+id))
		}
	})
	var p fetch.Pool
	for i := range 5 {
		id := fmt.Sprint(i)
		got, err := send(t, &p, tg, id)
		if err != nil || got != "for "+id {
			t.Fatalf("response %q, %v", got, err)
		}
	}
	if diff := cmp.Diff(1, len(conns)); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// TestNoAutomaticRetry has a target that reads a request over a reused connection
// and closes it without a response. The request must not be sent again.
func TestNoAutomaticRetry(t *testing.T) {
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		id, ok := next()
		if !ok {
			return
		}
		_, _ = io.WriteString(c, okResponse(id, "ok"))
		next()
	})
	var p fetch.Pool
	if _, err := send(t, &p, tg, "first"); err != nil {
		t.Fatal(err)
	}
	if _, err := send(t, &p, tg, "second"); !mayBeSent(err) {
		t.Errorf("a request without a response is not reported as sent: %v", err)
	}
	if diff := cmp.Diff(2, tg.requestCount()); diff != "" {
		t.Errorf("requests that the target read (-want +got):\n%s", diff)
	}
}

// TestStrayResponsesAreSkipped has a target that responds twice to a request, the
// second time at once or just before the next response.
func TestStrayResponsesAreSkipped(t *testing.T) {
	for name, handler := range map[string]connHandler{
		"at once": func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			for id, ok := next(); ok; id, ok = next() {
				_, _ = io.WriteString(c, okResponse(id, "for "+id)+okResponse(id, "again "+id))
			}
		},
		"late": func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			last := ""
			for id, ok := next(); ok; id, ok = next() {
				late := ""
				if last != "" {
					late = okResponse(last, "late "+last)
				}
				_, _ = io.WriteString(c, late+okResponse(id, "for "+id))
				last = id
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, handler)
			var p fetch.Pool
			for i := range 4 {
				id := fmt.Sprint(i)
				got, err := send(t, &p, tg, id)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff("for "+id, got); diff != "" {
					t.Errorf("response (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestBrokenResponsesAreErrors has targets that send incomplete or invalid
// responses.
func TestBrokenResponsesAreErrors(t *testing.T) {
	for name, response := range map[string]string{
		"truncated body":  "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\nshort",
		"truncated chunk": "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\na\r\nshort",
		"no last chunk":   "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"no response":     "",
		"no HTTP":         "\x00\x01\x02 this is no answer\r\n\r\n",
		"half a head":     "HTTP/1.1 200 OK\r\nId: x\r\n",
		"endless strays":  strings.Repeat(okResponse("y", "stray"), 20),
		"two lengths":     "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"unframed, other": "HTTP/1.1 200 OK\r\nId: y\r\n\r\nstray to the end",
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
				next()
				_, _ = io.WriteString(c, response)
			})
			var p fetch.Pool
			if got, err := send(t, &p, tg, "x"); err == nil {
				t.Errorf("the response is taken as complete: %q", got)
			}
		})
	}
}

// TestResponseEndedByClose has a target end a response without a length by closing
// the connection. The response is complete after an orderly close, but not after a
// reset.
func TestResponseEndedByClose(t *testing.T) {
	for reset, complete := range map[bool]bool{false: true, true: false} {
		tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			next()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\nto the end")
			time.Sleep(20 * time.Millisecond) // So that the reset does not discard the data.
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		var p fetch.Pool
		_, err := send(t, &p, tg, "x")
		if diff := cmp.Diff(complete, err == nil); diff != "" {
			t.Errorf("reset %t: the response is complete (-want +got):\n%s%v", reset, diff, err)
		}
	}
}

// TestEarlyResponseClosesConnection has a target that responds to a request with a
// long body without having read it. The connection must not be reused, or the rest
// of the body would be taken for the next request.
func TestEarlyResponseClosesConnection(t *testing.T) {
	conns := make(chan bool, 10)
	tg := newTarget(t, func(c net.Conn, in *bufio.Reader, _ func() (string, bool)) {
		conns <- true
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(r.Header.Get("Id"), "too long"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, in)
	})
	var p fetch.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 {
		resp, err := p.Do(ctx, tg.address, &fetch.Request{
			Method: http.MethodPost, RequestTarget: "/", Host: "a.example", Header: http.Header{"Id": {"x"}}, Body: make([]byte, 8<<20), ID: "x", IDHeader: "Id",
		})
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil || string(b) != "too long" {
			t.Errorf("response %q, %v", b, err)
		}
		resp.Close()
	}
	if diff := cmp.Diff(2, len(conns)); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{address: l.Addr().String()}
	_ = l.Close()
	var p fetch.Pool
	if _, err := send(t, &p, tg, "x"); err == nil || mayBeSent(err) {
		t.Errorf("a refused connection is not reported as an unsent request: %v", err)
	}
}

// TestClosedConnectionIsNotReused has a target that closes idle connections. The
// next request must use a new one.
func TestClosedConnectionIsNotReused(t *testing.T) {
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		if id, ok := next(); ok {
			_, _ = io.WriteString(c, okResponse(id, "ok"))
		}
	})
	var p fetch.Pool
	for i := range 3 {
		if _, err := send(t, &p, tg, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond) // Until the close arrives.
	}
}

// TestKeepAliveTimeoutIsHonored has a target that announces a keep-alive timeout
// of one second.
func TestKeepAliveTimeoutIsHonored(t *testing.T) {
	conns := make(chan bool, 10)
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		conns <- true
		for id, ok := next(); ok; id, ok = next() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var p fetch.Pool
	for i := range 2 {
		if _, err := send(t, &p, tg, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(400 * time.Millisecond)
	}
	if diff := cmp.Diff(2, len(conns)); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// TestCancelClosesConnection cancels a request that a target is processing. The
// target must see the connection close.
func TestCancelClosesConnection(t *testing.T) {
	ended := make(chan bool, 1)
	tg := newTarget(t, func(_ net.Conn, in *bufio.Reader, next func() (string, bool)) {
		next()
		_, _ = in.ReadByte()
		ended <- true
	})
	var p fetch.Pool
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := p.Do(ctx, tg.address, &fetch.Request{Method: http.MethodGet, RequestTarget: "/", Host: "a.example", Header: http.Header{}, ID: "x", IDHeader: "Id"})
	if !mayBeSent(err) {
		t.Errorf("a canceled request is not reported as sent: %v", err)
	}
	<-ended
}

// TestPartsOfBodyAreSentInOrder guards against requests that lose or reorder parts of a body that
// is not copied, also where the kernel accepts only a part of it at once.
func TestPartsOfBodyAreSentInOrder(t *testing.T) {
	bodies := make(chan string, 1)
	tg := newTarget(t, func(c net.Conn, r *bufio.Reader, _ func() (string, bool)) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond) // The connection becomes full.
			b, _ := io.ReadAll(req.Body)
			bodies <- string(b)
			_, _ = io.WriteString(c, okResponse("x", "ok"))
		}
	})
	var p fetch.Pool
	for _, size := range []int{10, 1000, 100 << 10, 5 << 20} {
		prefix := [][]byte{[]byte("first"), []byte(strings.Repeat("p", size)), []byte("second")}
		resp, err := p.Do(t.Context(), tg.address, &fetch.Request{
			Method: http.MethodPost, RequestTarget: "/", Host: "a.example", Header: http.Header{"Id": {"x"}}, Prefix: prefix, Body: []byte("last"), ID: "x", IDHeader: "Id",
		})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Close()
		if got := <-bodies; got != "first"+strings.Repeat("p", size)+"secondlast" {
			t.Errorf("prefix of %d bytes: body of %d bytes begins with %.20q", size, len(got), got)
		}
	}
}
