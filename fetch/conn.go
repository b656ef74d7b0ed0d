package fetch

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is a connection to a target, used by one request at a time.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	idleSince   time.Time
	idleTimeout time.Duration // reused only if it was idle for less
}

const readBufferSize = 4 << 10

func newConn(nc net.Conn) *conn {
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBufferSize), idleTimeout: defaultIdleTimeout}
}

// usable reports whether an idle connection may be reused: it has not been idle
// for too long, and the target has neither closed it nor sent unsolicited data.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
	})
	return err == nil && idle
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
