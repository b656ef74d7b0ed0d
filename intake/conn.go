package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// headerFactor is the memory of a header, as a multiple of its bytes: the received lines
	// and the fields that are decoded from them.
	headerFactor = 2
	// headerSlack is how much of a body the HTTP server may read with the end of a header.
	headerSlack = 4 << 10
	// lingerTime is for how long the rest of a refused request is read, so that its caller
	// receives the response instead of a reset.
	lingerTime = 500 * time.Millisecond
	// lingerBytes is how much of it is read. Discarding all that a crowd sends takes the
	// processor time of other requests; a peer that sends more has to wait.
	lingerBytes = 256 << 10
)

// Conn is a connection that counts in a [Budget].
type Conn struct {
	net.Conn
	holder  *Holder
	limits  func() Limits
	onClose func() // may be called more than once

	mu sync.Mutex
	// working is set while a handler has a complete request, and once the connection is no
	// longer that of the HTTP server. What is read then is not part of a header.
	working     bool
	headerBytes int64     // of the header that is being received
	headerEnd   time.Time // when it must be complete; zero if it has not begun or has no limit
	deadline    time.Time // read deadline that the HTTP server has set
}

// Read reads what the peer has sent, and counts it if it belongs to a header. A header that is too
// large, or for which there is no memory, gets a response that its request has not run.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	status, alive := c.countHeader(int64(n))
	switch {
	case !alive:
		return 0, io.EOF // The HTTP server responds with 400 to other errors, and the connection may not be closed yet.
	case status != 0:
		c.reject(status)
		return 0, io.EOF
	}
	return n, err
}

// countHeader counts n bytes that were read. It returns the status with which the connection must
// be refused, or 0. alive is false if the connection was evicted.
func (c *Conn) countHeader(n int64) (status int, alive bool) {
	inHeader, tooLarge := c.recordHeader(n)
	switch {
	case !inHeader:
		return 0, true
	case tooLarge:
		return http.StatusRequestHeaderFieldsTooLarge, true
	}
	c.holder.Received(n)
	err := c.holder.Add(headerFactor * n)
	if errors.Is(err, ErrFull) {
		return http.StatusServiceUnavailable, true
	}
	return 0, err == nil
}

// recordHeader records n bytes that were read, and reports whether they belong to a header, and
// whether that exceeds the limit.
func (c *Conn) recordHeader(n int64) (inHeader, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.working {
		return false, false
	}
	var limits Limits
	if c.limits != nil {
		limits = c.limits()
	}
	if c.headerBytes == 0 {
		c.holder.SetPhase(Receiving)
		if limits.HeaderTimeout > 0 {
			c.headerEnd = time.Now().Add(limits.HeaderTimeout)
			_ = c.applyDeadline() // Fails if the connection is closed.
		}
	}
	c.headerBytes += n
	return true, limits.HeaderBytes > 0 && c.headerBytes > limits.HeaderBytes+headerSlack
}

// reject writes a response and reads on for lingerTime.
func (c *Conn) reject(status int) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	text := http.StatusText(status)
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s\n", status, text, retryAfter, len(text)+1, text)
	c.Linger()
}

// Linger ends the side that this process writes to, and discards up to lingerBytes that the peer
// sends. It returns once the peer has ended its own side, or after lingerTime. It is called
// after a response to a request that was not read to its end: if a connection is closed before,
// its peer may lose the response.
func (c *Conn) Linger() {
	end := time.Now().Add(lingerTime)
	_ = c.Conn.SetReadDeadline(end)
	if c.CloseWrite() != nil {
		return
	}
	if n, _ := io.CopyN(io.Discard, c.Conn, lingerBytes); n == lingerBytes {
		time.Sleep(time.Until(end))
	}
}

// Evicted reports whether the connection was closed because others needed its memory or its
// descriptor. A request on it must not be run, since its caller cannot get the response.
func (c *Conn) Evicted() bool { return c.holder.Evicted() }

// SetReadDeadline sets the deadline for reads. While a header is received, its end is one, too.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// applyDeadline must be called with mu held.
func (c *Conn) applyDeadline() error {
	t := c.deadline
	if !c.headerEnd.IsZero() && (t.IsZero() || c.headerEnd.Before(t)) {
		t = c.headerEnd
	}
	return c.Conn.SetReadDeadline(t)
}

// setState follows the requests on the connection. The HTTP server calls it with StateActive once
// a header is complete and before it calls its handler.
func (c *Conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateHijacked: // The handler has set working.
		c.holder.SetPhase(Idle)
	case http.StateActive:
		c.working = true
		if !c.headerEnd.IsZero() {
			c.headerEnd = time.Time{}
			_ = c.applyDeadline() // Fails if the connection is closed.
		}
		c.holder.SetPhase(Working)
	case http.StateIdle:
		c.working = false
		c.holder.becomeIdle(headerFactor * c.headerBytes)
		c.headerBytes = 0
	}
}

// connKey is the context key of a connection.
type connKey struct{}

// ConnContext is the ConnContext function of an [http.Server] whose handlers call [Keep].
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Keep makes the connection of a request, which its handler has taken over, keep its place and its
// memory. Until then it may be closed for another one as if it was idle. ctx is that of the
// request.
func Keep(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.holder.SetPhase(Working)
		c.setReceiveBuffer(keptReceiveBytes)
	}
}

// Evicted is [Conn.Evicted] for the connection of a request whose context is ctx. It returns false
// for connections that are not counted, and without [ConnContext].
func Evicted(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*Conn)
	return ok && c.Evicted()
}

// Close closes the connection and returns its memory.
func (c *Conn) Close() error {
	if c.onClose != nil {
		defer c.onClose()
	}
	defer c.holder.Close()
	return c.Conn.Close()
}

// SetLinger sets what happens to unsent bytes when the connection is closed.
func (c *Conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return syscall.ENOTSUP
}

// CloseWrite closes the side of the connection that this process writes to.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return syscall.ENOTSUP
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }
