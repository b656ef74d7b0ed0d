//go:build crowd

package crowd_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// filler is a piece of a body.
var filler = bytes.Repeat([]byte("x"), 64<<10)

var lastID atomic.Int64

// newID returns a unique ID of a request or a program.
func newID() string { return fmt.Sprintf("crowd-%d-%d", os.Getpid(), lastID.Add(1)) }

// member is one client of a crowd. It connects again when its connection has ended.
type member struct {
	ctx     context.Context
	address string
	sent    func() // reports that it has done its worst, or was refused
	count   func(status int)
	conn    net.Conn
	reader  *bufio.Reader
}

// behavior is what a member does on one connection.
type behavior func(m *member)

const (
	// settleTime bounds the wait for a crowd whose members the host does not read from.
	settleTime = 10 * time.Second
	// stayTime is how long a crowd stays after that: longer than the timeouts of requests and of
	// headers, so that all members that were refused come again.
	stayTime = 5 * time.Second
)

// crowd lets n members loose on an address until stop is called. It returns once all have done
// their worst, or wait for the host.
func crowd(t *testing.T, address string, n int, do behavior) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running, settling sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range n {
		settling.Add(1)
		m := &member{ctx: ctx, address: address, sent: sync.OnceFunc(settling.Done), count: func(status int) {
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		}}
		running.Go(func() { m.run(do) })
	}
	settled := make(chan struct{})
	go func() {
		settling.Wait()
		close(settled)
	}()
	select {
	case <-settled:
	case <-time.After(settleTime):
	}
	types.Sleep(ctx, stayTime)
	return func() {
		cancel()
		running.Wait()
		t.Logf("responses to the crowd by status, 0 for connections without one: %v", statuses)
	}
}

func (m *member) run(do behavior) {
	defer m.sent()
	for m.ctx.Err() == nil {
		dialer := net.Dialer{Timeout: 5 * time.Second}
		conn, err := dialer.DialContext(m.ctx, "tcp4", m.address)
		if err == nil {
			m.conn, m.reader = conn, bufio.NewReader(conn)
			unlink := context.AfterFunc(m.ctx, func() { _ = conn.Close() })
			do(m)
			unlink()
			_ = conn.Close()
		}
		m.sent()
		types.Sleep(m.ctx, 50*time.Millisecond)
	}
}

// write writes to the connection, and reports whether it still can.
func (m *member) write(b []byte) bool {
	_, err := m.conn.Write(b)
	return err == nil
}

// writeN writes n bytes of a body in pieces, with a pause after each.
func (m *member) writeN(n int, pause time.Duration) bool {
	for n > 0 {
		piece := filler[:min(n, len(filler))]
		if !m.write(piece) || pause > 0 && !types.Sleep(m.ctx, pause) {
			return false
		}
		n -= len(piece)
	}
	return true
}

// hold keeps the connection open until the host closes it, and reads all responses.
func (m *member) hold() {
	m.sent()
	for m.response() {
	}
}

// response reads one response whole, and reports whether the connection can carry another.
func (m *member) response() bool {
	resp, err := http.ReadResponse(m.reader, nil)
	if err != nil {
		if m.ctx.Err() == nil {
			m.count(0)
		}
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	m.count(resp.StatusCode)
	return err == nil && !resp.Close
}

// header returns the header of a request to a path without its end.
func header(method, path, key string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: crowd.example\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Program-Id: %s\r\nX-Token-Budget: 100\r\nX-Token-Usage: 10,40\r\n",
		method, path, key, newID(), newID())
}

func post(path string) func() string {
	return func() string { return header(http.MethodPost, path, "key-rash") }
}

func putConfig() string { return header(http.MethodPut, "/v1/config", "key-rash") }

// unfinished sends a body with a length, all but its last byte, in pieces with pauses.
func unfinished(head func() string, size int, pause time.Duration) behavior {
	return func(m *member) {
		if m.write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(), size)) && m.writeN(size-1, pause) {
			m.hold()
		}
	}
}

// chunked sends chunks of a size, n in all, and neither their end nor that of the body.
func chunked(head func() string, size, n int) behavior {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	return func(m *member) {
		if !m.write([]byte(head() + "Transfer-Encoding: chunked\r\n\r\n")) {
			return
		}
		for range n {
			if !m.write(chunk) {
				return
			}
		}
		m.hold()
	}
}

// whole sends whole bodies, one after another.
func whole(head func() string, body []byte) behavior {
	return func(m *member) {
		for m.write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head(), len(body))) && m.write(body) {
			m.sent()
			if !m.response() {
				return
			}
		}
	}
}

// longHeader sends a header of n bytes without its end.
func longHeader(n int) behavior {
	return func(m *member) {
		if m.write([]byte(header(http.MethodGet, "/call/", "key-rash")+"X-Filler: ")) && m.writeN(n, 0) {
			m.hold()
		}
	}
}

// slowHeader sends a header without end, byte by byte.
func slowHeader(m *member) {
	head := header(http.MethodGet, "/call/", "key-rash") + "X-Filler: "
	for n := 0; ; n++ {
		b := byte('x')
		if n < len(head) {
			b = head[n]
		}
		if !m.write([]byte{b}) || !types.Sleep(m.ctx, 5*time.Millisecond) {
			return
		}
		if n == 300 {
			m.sent()
		}
	}
}

// silent sends nothing.
func silent(m *member) { m.hold() }

// unreadResponse requests a large response and does not read it.
func unreadResponse(m *member) {
	_ = m.conn.(*net.TCPConn).SetReadBuffer(4096) // A smaller part of the response suffices then.
	if m.write([]byte(header(http.MethodGet, "/large/", "key-rash") + "\r\n")) {
		m.sent()
		<-m.ctx.Done()
	}
}

// pipelined sends more requests while one is being handled.
func pipelined(m *member) {
	if !m.write([]byte(post("/late/")() + "Content-Length: 1\r\n\r\nx")) {
		return
	}
	for m.write(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", post("/call/")(), bodyLimit)) && m.writeN(bodyLimit, 0) {
		m.sent()
	}
}

// idle makes one request that is complete and keeps the connection open.
func idle(m *member) {
	if m.write([]byte(header(http.MethodGet, "/call/", "key-rash") + "\r\n")) {
		m.hold()
	}
}

// handshake opens a connection as other hosts do, and reports whether the host accepted it.
func (m *member) handshake() bool {
	if !m.write([]byte("GET /peer HTTP/1.1\r\nHost: crowd\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n\r\n")) {
		return false
	}
	resp, err := http.ReadResponse(m.reader, nil)
	if err != nil {
		return false
	}
	m.count(resp.StatusCode)
	return resp.StatusCode == http.StatusSwitchingProtocols
}

// idlePeer opens a connection as other hosts do, and sends nothing more.
func idlePeer(m *member) {
	if m.handshake() {
		m.sent()
		_, _ = io.Copy(io.Discard, m.reader) // Ends with the connection.
	}
}

// frames opens a connection as other hosts do and sends whole frames of garbage, or one without
// its last byte if unfinished is set.
func frames(size int, unfinished bool) behavior {
	head := binary.BigEndian.AppendUint64([]byte{0x82, 0x80 | 127}, uint64(size)) // Binary, masked, with a length of 8 bytes.
	head = append(head, 0, 0, 0, 0)                                               // The mask.
	return func(m *member) {
		if !m.handshake() {
			return
		}
		for m.write(head) {
			if unfinished {
				if m.writeN(size-1, 0) {
					m.sent()
					_, _ = io.Copy(io.Discard, m.reader) // Ends with the connection.
				}
				return
			}
			if !m.writeN(size, 0) {
				return
			}
			m.sent()
		}
	}
}
