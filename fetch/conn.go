package fetch

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	used        bool          // a request was sent
	idled       bool          // it has been an idle connection of the pool
	idleSince   time.Time     // when the kernel received the last byte, as far as it tells
	idleTimeout time.Duration // reused only if it was idle for less
	sentAt      time.Time     // when the last request was sent
	// headBytes is how many more bytes may be read while readingHead is set.
	headBytes   int
	readingHead bool
	open        *atomic.Int64 // counts the open connections of the pool; nil if it does not count this one
	closed      atomic.Bool
}

// quieter is implemented by connections that know whether they can be reused: they are
// expected to work, and nothing has been received that was not read.
type quieter interface{ Quiet() bool }

// busySetter is implemented by connections that want to know whether a request is in
// flight on them.
type busySetter interface{ SetBusy(busy bool) }

const (
	readBufferSize = 4 << 10
	// maxHeadBytes is the maximum size of the head of a response.
	maxHeadBytes = 64 << 10
)

var errHeadTooLong = errors.New("fetch: the head of the response is too long")

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, idleTimeout: defaultIdleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Close closes the connection.
func (c *conn) Close() error {
	if c.open != nil && !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// readHead reads the head of a response to a request with the given method. It fails
// if the head is longer than maxHeadBytes, which the parser does not limit.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headBytes, c.readingHead = maxHeadBytes, true
	defer func() { c.readingHead = false }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(p)
	}
	if c.headBytes <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytes)])
	c.headBytes -= n
	return n, err
}

// usable reports whether an idle connection may be reused as far as is known without asking
// the socket: it has not been idle for too long, and the target has not sent unsolicited data.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	if q, ok := c.Conn.(quieter); ok && !q.Quiet() {
		return false
	}
	if _, ok := c.Conn.(syscall.Conn); ok {
		_, ok = c.rawConn()
		return ok
	}
	_, ok := c.Conn.(quieter)
	return ok
}

// setBusy tells the connection whether a request is in flight, if it wants to know.
func (c *conn) setBusy(busy bool) {
	if b, ok := c.Conn.(busySetter); ok {
		b.SetBusy(busy)
	}
}

// parseKeepAlive sets the idle timeout from the Keep-Alive header of a response,
// if it has one, less idleMargin.
func (c *conn) parseKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			c.idleTimeout = max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
}
