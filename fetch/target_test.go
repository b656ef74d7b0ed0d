package fetch_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sync/errgroup"
)

// target is a TCP server that responds as the test's connHandler does, and counts
// the requests that it has read in full.
type target struct {
	address  string
	received chan string // IDs of the requests read in full
}

// connHandler handles one connection. next reads the next request and returns its
// ID, or false if there is none.
type connHandler func(conn net.Conn, reader *bufio.Reader, next func() (id string, ok bool))

func newTarget(t *testing.T, handler connHandler) *target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tg := &target{address: l.Addr().String(), received: make(chan string, 100)}
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				handler(conn, reader, func() (string, bool) { return tg.readRequest(reader) })
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
	})
	return tg
}

func (tg *target) readRequest(reader *bufio.Reader) (string, bool) {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return "", false
	}
	id := r.Header.Get("Id")
	tg.received <- id
	return id, true
}

// requestCount returns the number of requests read in full so far.
func (tg *target) requestCount() int { return len(tg.received) }

// makeRoom drops half of the received requests if few more fit, as no test reads them.
func (t *target) makeRoom() {
	if len(t.received) <= cap(t.received)/2 {
		return
	}
	for range cap(t.received) / 2 {
		<-t.received
	}
}
