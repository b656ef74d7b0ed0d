package intake

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

const (
	// connBytes is the memory of a connection without a request: its goroutine, the buffers of
	// the HTTP server and the kernel's socket.
	connBytes = 16 << 10
	// receiveBufferBytes is how much the kernel keeps for a connection that is not read. The
	// default is up to 6 MB, which count toward the memory of the host.
	receiveBufferBytes = 64 << 10
)

var refusedConns = metrics.NewCounter("banyanspur_intake_refused_connections_total")

// Limits bound what a peer may send before its request is complete.
type Limits struct {
	HeaderBytes   int64         // maximum size of a header; 0 means that the HTTP server decides
	HeaderTimeout time.Duration // from its first byte to its last; 0 means that the HTTP server decides
}

// Listener accepts the connections of an [http.Server] whose ConnState function is, or calls,
// [SetState]. Each counts in the budget, with the headers that it carries. Set the exported
// fields before Accept is called.
type Listener struct {
	net.Listener
	// Budget is that of the process.
	Budget *Budget
	// Limits returns the limits in force. If it is nil, there are none.
	Limits func() Limits
}

// Listen returns a listener that counts the connections of l in a budget. The kernel keeps no more
// than receiveBufferBytes for each that is not read.
func Listen(l net.Listener, b *Budget, limits func() Limits) *Listener {
	if sc, ok := l.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { // Accepted connections inherit the option.
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
			})
		}
	}
	return &Listener{Listener: l, Budget: b, Limits: limits}
}

// Accept returns the next connection, of type [*Conn]. Those for which there is no memory are
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, limits: l.Limits}
		c.holder = l.Budget.Open("", func() { _ = nc.Close() })
		if c.holder.Add(connBytes) == nil {
			return c, nil
		}
		refusedConns.Inc()
		_ = c.Close()
	}
}

// SyscallConn returns the raw listener.
func (l *Listener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// SetState is the ConnState function of an [http.Server] of a [Listener].
func SetState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*Conn); ok {
		c.setState(state)
	}
}

func rawConn(socket any) (syscall.RawConn, error) {
	if sc, ok := socket.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
