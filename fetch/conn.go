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
	in        *bufio.Reader
	idleSince time.Time
	idleFor   time.Duration // how long it may be idle
}

const readBuffer = 4 << 10

func newConn(nc net.Conn) *conn {
	return &conn{Conn: nc, in: bufio.NewReaderSize(nc, readBuffer), idleFor: unstatedIdle}
}

// usable reports whether a kept connection may be used again: it has not been
// idle for too long, and the target has neither closed it nor sent anything
// that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleFor || c.in.Buffered() > 0 {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// noteKeepAlive reads how long the target keeps an idle connection.
func (c *conn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			c.idleFor = max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
}
