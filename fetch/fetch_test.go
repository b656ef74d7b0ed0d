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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// get sends one request and returns the body, as far as it came.
func get(t *testing.T, p *fetch.Pool, tg *target, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, tg.address, &fetch.Request{
		Method: http.MethodPost, Target: "/x?y=1", Host: "a.example", Header: http.Header{"Id": {id}}, Body: []byte("body of " + id), ID: id, IDField: "Id",
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func sent(err error) bool {
	var e *fetch.Error
	return errors.As(err, &e) && e.Sent
}

func TestConnectionIsKept(t *testing.T) {
	conns := make(chan bool, 10)
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		conns <- true
		for id, ok := next(); ok; id, ok = next() {
			_, _ = io.WriteString(c, answer(id, "for "+id))
		}
	})
	var p fetch.Pool
	for i := range 5 {
		id := fmt.Sprint(i)
		got, err := get(t, &p, tg, id)
		if err != nil || got != "for "+id {
			t.Fatalf("answer %q, %v", got, err)
		}
	}
	if diff := cmp.Diff(1, len(conns)); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// TestNothingIsSentTwice has a target that reads a request over a kept
// connection and closes it without an answer.
func TestNothingIsSentTwice(t *testing.T) {
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		id, ok := next()
		if !ok {
			return
		}
		_, _ = io.WriteString(c, answer(id, "ok"))
		next()
	})
	var p fetch.Pool
	if _, err := get(t, &p, tg, "first"); err != nil {
		t.Fatal(err)
	}
	if _, err := get(t, &p, tg, "second"); !sent(err) {
		t.Errorf("a request without an answer: %v", err)
	}
	if diff := cmp.Diff(2, tg.count()); diff != "" {
		t.Errorf("requests that the target read (-want +got):\n%s", diff)
	}
}

// TestAnswerToAnotherRequestIsSkipped has a target that answers twice, at once
// or just before the next answer.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	for name, run := range map[string]script{
		"at once": func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			for id, ok := next(); ok; id, ok = next() {
				_, _ = io.WriteString(c, answer(id, "for "+id)+answer(id, "again "+id))
			}
		},
		"late": func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			last := ""
			for id, ok := next(); ok; id, ok = next() {
				late := ""
				if last != "" {
					late = answer(last, "late "+last)
				}
				_, _ = io.WriteString(c, late+answer(id, "for "+id))
				last = id
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, run)
			var p fetch.Pool
			for i := range 4 {
				id := fmt.Sprint(i)
				got, err := get(t, &p, tg, id)
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff("for "+id, got); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// TestBrokenAnswersAreErrors has targets that do not answer properly.
func TestBrokenAnswersAreErrors(t *testing.T) {
	for name, bytes := range map[string]string{
		"cut body":        "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 10\r\n\r\nshort",
		"cut chunk":       "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\na\r\nshort",
		"no last chunk":   "HTTP/1.1 200 OK\r\nId: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"no answer":       "",
		"no HTTP":         "\x00\x01\x02 this is no answer\r\n\r\n",
		"half a head":     "HTTP/1.1 200 OK\r\nId: x\r\n",
		"endless strays":  strings.Repeat(answer("y", "stray"), 20),
		"two lengths":     "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"unframed, other": "HTTP/1.1 200 OK\r\nId: y\r\n\r\nstray to the end",
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
				next()
				_, _ = io.WriteString(c, bytes)
			})
			var p fetch.Pool
			if got, err := get(t, &p, tg, "x"); err == nil {
				t.Errorf("the answer counts as whole: %q", got)
			}
		})
	}
}

// TestUnframedAnswer ends with its connection, in order or by a reset.
func TestUnframedAnswer(t *testing.T) {
	for reset, whole := range map[bool]bool{false: true, true: false} {
		tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
			next()
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\nto the end")
			time.Sleep(20 * time.Millisecond) // The bytes leave before the reset overtakes them.
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		var p fetch.Pool
		_, err := get(t, &p, tg, "x")
		if diff := cmp.Diff(whole, err == nil); diff != "" {
			t.Errorf("with a reset %t, the answer counts as whole (-want +got):\n%s%v", reset, diff, err)
		}
	}
}

// TestEarlyAnswerEndsTheConnection has a target that answers a long body
// without having read it: what is left of the body must not be taken for the
// next request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	conns := make(chan bool, 10)
	l := newTarget(t, func(c net.Conn, in *bufio.Reader, _ func() (string, bool)) {
		conns <- true
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(r.Header.Get("Id"), "too long"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, in)
	})
	var p fetch.Pool
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for range 2 {
		resp, err := p.Do(ctx, l.address, &fetch.Request{
			Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{"Id": {"x"}}, Body: make([]byte, 8<<20), ID: "x", IDField: "Id",
		})
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(resp.Body)
		if err != nil || string(b) != "too long" {
			t.Errorf("answer %q, %v", b, err)
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
	if _, err := get(t, &p, tg, "x"); err == nil || sent(err) {
		t.Errorf("a refused connection: %v", err)
	}
}

// TestClosedConnectionIsNotUsed has a target that closes its connection while
// it is idle; the next request goes over another.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		if id, ok := next(); ok {
			_, _ = io.WriteString(c, answer(id, "ok"))
		}
	})
	var p fetch.Pool
	for i := range 3 {
		if _, err := get(t, &p, tg, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond) // The close arrives.
	}
}

// TestKeepAliveIsKeptTo has a target that keeps connections for a second.
func TestKeepAliveIsKeptTo(t *testing.T) {
	conns := make(chan bool, 10)
	tg := newTarget(t, func(c net.Conn, _ *bufio.Reader, next func() (string, bool)) {
		conns <- true
		for id, ok := next(); ok; id, ok = next() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	var p fetch.Pool
	for i := range 2 {
		if _, err := get(t, &p, tg, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(400 * time.Millisecond)
	}
	if diff := cmp.Diff(2, len(conns)); diff != "" {
		t.Errorf("connections (-want +got):\n%s", diff)
	}
}

// TestCallerThatLeavesEndsTheConnection cancels a request that a target works
// on.
func TestCallerThatLeavesEndsTheConnection(t *testing.T) {
	ended := make(chan bool, 1)
	tg := newTarget(t, func(_ net.Conn, in *bufio.Reader, next func() (string, bool)) {
		next()
		_, _ = in.ReadByte()
		ended <- true
	})
	var p fetch.Pool
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, err := p.Do(ctx, tg.address, &fetch.Request{Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}, ID: "x", IDField: "Id"})
	if !sent(err) {
		t.Errorf("a request that was left: %v", err)
	}
	<-ended
}
