package fetch

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

var (
	errClosedBefore = errors.New("fetch: the connection was closed before the request was sent")
	errUnsolicited  = errors.New("fetch: unsolicited data before the request")
	errIdleTooLong  = errors.New("fetch: the connection was idle for too long when the request was to be sent")
)

// begin takes a connection and writes as much of request to it as the kernel accepts at once,
// n bytes. As long as no byte was accepted, the request cannot have reached the target, and
// begin goes on to the next connection if it has taken an idle one. stop keeps ctx from
// closing the connection. A returned error is an *[Error].
func (p *Pool) begin(ctx context.Context, address string, request net.Buffers, newOnly bool) (_ *conn, n int, stop func() bool, err error) {
	for {
		c, err := p.connect(ctx, address, newOnly)
		if err != nil {
			// A connection that is reset while it is opened was accepted before: one to a port
			// without a listener is refused.
			return nil, 0, nil, &Error{Connected: errors.Is(err, syscall.ECONNRESET), Err: err}
		}
		c.setBusy(true)
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		n, err := 0, error(nil)
		if c.idled && !p.allows(address, c) {
			err = errIdleTooLong // This process was late since it has taken the connection.
		} else {
			n, err = c.writeFirst(request)
		}
		if err == nil {
			c.sentAt = time.Now()
			if c.idled {
				reuses.Inc()
			}
			return c, n, stop, nil
		}
		stop()
		c.setBusy(false)
		_ = c.Close()
		if !c.idled || ctx.Err() != nil {
			return nil, 0, nil, &Error{Connected: true, Err: err}
		}
		if errors.Is(err, errClosedBefore) {
			idleCloses.Inc()
			p.recordClosed(address, c)
		}
	}
}

func (p *Pool) recordClosed(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate(address).recordClosed(c, time.Now())
}

// allows reports whether a connection may be used after the time for which it has been idle.
func (p *Pool) allows(address string, c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.estimate(address).allows(now.Sub(c.idleSince), p.lateness.get(now))
}

// recordRead records that this process has read the head of a response from c.
func (p *Pool) recordRead(c *conn) {
	d := c.sinceLastData()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lateness.add(d, time.Now())
}

// recordCrossed records that a request over a connection that had been idle got no byte of a
// response, if that is likely since the target was closing the connection when it was sent.
func (p *Pool) recordCrossed(address string, c *conn, err error) {
	if !c.idled || time.Since(c.sentAt) > maxCrossingTime || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, unix.ECONNRESET) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate(address).recordClosed(c, c.sentAt)
}

// maxCrossingTime is the time after a request was sent within which a connection ends that the
// target was closing then.
const maxCrossingTime = 100 * time.Millisecond

// writeFirst writes as much of b as the kernel accepts at once, right after checking that the
// target has not closed the connection: a close that arrives between the check and the write
// leaves open whether the request has run. If it returns an error, no byte was accepted.
// Nothing is written to connections other than sockets.
func (c *conn) writeFirst(b net.Buffers) (n int, err error) {
	raw, isSocket := c.rawConn()
	if !isSocket {
		return 0, nil
	}
	rawErr := raw.Write(func(fd uintptr) bool {
		switch state := peek(int(fd)); {
		case state == idleClosed:
			err = errClosedBefore
		case state == idleUnusual && c.idled:
			err = errUnsolicited
		default:
			n, err = writeOnce(int(fd), b)
		}
		return true
	})
	if rawErr != nil {
		return 0, rawErr // The connection is closed on this side, and the function did not run.
	}
	return n, err
}

// writeOnce writes as much of b as the kernel accepts without waiting. An error means that it
// has accepted nothing.
func writeOnce(fd int, b net.Buffers) (int, error) {
	for {
		n, err := writeBuffers(fd, b)
		switch err {
		case nil:
			return n, nil
		case unix.EINTR:
		case unix.EAGAIN:
			return 0, nil
		case unix.EPIPE, unix.ECONNRESET:
			return 0, errClosedBefore
		default:
			return 0, err
		}
	}
}

// maxWrittenParts is the number of parts that the kernel accepts at once.
const maxWrittenParts = 1024

func writeBuffers(fd int, b net.Buffers) (int, error) {
	if len(b) == 1 {
		return unix.Write(fd, b[0])
	}
	return unix.Writev(fd, b[:min(len(b), maxWrittenParts)])
}

// rawConn returns the socket of the connection if it is one.
func (c *conn) rawConn() (raw syscall.RawConn, ok bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := sc.SyscallConn()
	return raw, err == nil
}

// sinceLastData returns the time since the kernel has received the last byte, with the
// resolution of the kernel's clock ticks, or 0 if that is not known. A process that is late, or
// a response that was held for its caller, has left the connection idle meanwhile.
func (c *conn) sinceLastData() (since time.Duration) {
	raw, isSocket := c.rawConn()
	if !isSocket {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// peek returns the state of a socket to which nothing is to be sent at the moment.
func peek(fd int) idleState {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case err == unix.EAGAIN:
		return idleOpen
	case err == nil && n == 0, err == unix.ECONNRESET, err == unix.EPIPE:
		return idleClosed
	}
	return idleUnusual
}
