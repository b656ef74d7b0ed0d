package fetch

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// resetConn is a connection whose Read does not return io.EOF after a reset. The kernel reports a
// reset once: if a write that is under way gets it, the next read returns a plain end, and what
// has been read until then looks complete.
type resetConn struct {
	net.Conn
	writing sync.Mutex // held during writes; guards reset
	reset   bool       // a write has got the reset
}

// TrackReset returns a connection that reports a reset to its readers, also if a write got it
// before. A connection that is no socket is returned as it is.
func TrackReset(c net.Conn) net.Conn {
	if _, ok := c.(syscall.Conn); !ok {
		return c
	}
	return &resetConn{Conn: c}
}

// Write writes to the connection.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset = true
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the peer has ended it in order.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.wasReset() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// wasReset reports whether a write has got a reset. A reset that follows an end in order gives
// writes another error, EPIPE.
func (c *resetConn) wasReset() bool {
	if !c.isClosed() {
		return false // The peer may read on, so that a write may still be under way.
	}
	c.writing.Lock() // A write that is under way gets its error now.
	defer c.writing.Unlock()
	return c.reset
}

// tcpClose is the state of a socket that was reset (linux/tcp_states.h). One whose peer has
// ended in order is in another state until this side has ended too.
const tcpClose = 7

// isClosed reports whether the kernel, or this process, has closed the socket.
func (c *resetConn) isClosed() (closed bool) {
	raw, err := c.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = err == nil && info.State == tcpClose
		})
	}
	return closed || err != nil
}

// SyscallConn returns the raw connection, with which its state can be queried.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
