package host

import (
	"net"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
)

const (
	// minAcceptDelay and maxAcceptDelay bound the pause after an attempt to accept a
	// connection that has failed. Connections wait meanwhile.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 100 * time.Millisecond
)

var acceptsFailed = metrics.NewCounter("banyanspur_host_accepts_failed_total")

// retryListener is a listener whose Accept fails only once it is closed. Other errors, such as
// a lack of memory or of descriptors, say nothing about later connections, and most of them
// would end an [http.Server], and the process with it.
type retryListener struct {
	net.Listener
	log event.Log
}

// Accept waits for the next connection.
func (l *retryListener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		acceptsFailed.Inc()
		if delay == minAcceptDelay {
			l.log.Write(event.AcceptFailed, event.Fields{"address": l.Addr().String(), "error": err.Error()})
		}
		time.Sleep(delay)
	}
}

// SyscallConn returns the socket, with which its state can be queried.
func (l *retryListener) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := l.Listener.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.New("host: the listener has no socket")
}
