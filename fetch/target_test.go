package fetch_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
)

// target answers over raw sockets, as the script of a test says. Each request
// that was read in full is counted.
type target struct {
	address string
	ran     chan string // the ids of requests that were read in full
}

// script handles one connection. It gets each request's id in turn.
type script func(conn net.Conn, in *bufio.Reader, next func() (id string, ok bool))

func newTarget(t *testing.T, run script) *target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{address: l.Addr().String(), ran: make(chan string, 100)}
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer conn.Close()
				in := bufio.NewReader(conn)
				run(conn, in, func() (string, bool) { return tg.read(in) })
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
	})
	return tg
}

func (tg *target) read(in *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return "", false
	}
	id := r.Header.Get("Id")
	tg.ran <- id
	return id, true
}

// count returns how many requests were read in full so far.
func (tg *target) count() int { return len(tg.ran) }
