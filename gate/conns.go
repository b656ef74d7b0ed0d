package gate

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/intake"
)

const (
	// unusedTime is how long a connection that has carried no request is kept open by a host
	// that drains. It covers a lost packet, which is sent again after a second.
	unusedTime = 2 * time.Second
	// lastUnusedTime is the same at the end of the grace period. It covers a round trip between
	// regions.
	lastUnusedTime = 50 * time.Millisecond
)

// callerConns tracks the connections of callers, so that a host that stops closes them without
// losing a request: [http.Server.Shutdown] closes those on which a request arrives meanwhile
// without a response, and keeps unused ones for 5 s. The zero value is ready to use. It is
// safe for concurrent use.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// callerConn is what is known of one connection.
type callerConn struct {
	openedAt time.Time
	state    http.ConnState // StateNew, StateActive or StateIdle
	activeAt time.Time      // when its last request was read
	closed   bool           // closeUnused or abortActive has closed it
}

// setState is the ConnState function of an [http.Server]. The server calls it with StateActive
// before it calls its handler.
func (t *callerConns) setState(c net.Conn, state http.ConnState) {
	intake.SetState(c, state)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		if t.conns == nil {
			t.conns = map[net.Conn]*callerConn{}
		}
		t.conns[c] = &callerConn{openedAt: time.Now()}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	case http.StateActive:
		t.conns[c].state, t.conns[c].activeAt = state, time.Now()
	default:
		t.conns[c].state = state
	}
}

// isClosed reports whether closeUnused has closed the connection of a request that was read
// meanwhile.
func (t *callerConns) isClosed(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.conns[c]
	return known != nil && known.closed
}

// closeUnused closes the connections that have no request in flight, new ones only once they
// are unusedTime old. It returns the number of connections that are open, and of those among
// them whose caller has sent a request.
func (t *callerConns) closeUnused(unusedTime time.Duration) (open, active int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, known := range t.conns {
		if known.closed {
			continue
		}
		open++
		switch {
		case known.state == http.StateActive, hasInput(c):
			active++
		case known.state == http.StateIdle, time.Since(known.openedAt) >= unusedTime:
			open--
			known.closed = true
			_ = c.Close()
		}
	}
	return open, active
}

// abortActive closes the connections whose request was read before a time and is still in
// flight, so that their responses do not look complete, and returns their number.
func (t *callerConns) abortActive(before time.Time) (aborted int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, known := range t.conns {
		if known.state != http.StateActive || known.closed || !known.activeAt.Before(before) {
			continue
		}
		aborted++
		if l, ok := c.(lingerer); ok {
			_ = l.SetLinger(0) // Fails if the connection is lost already.
		}
		known.closed = true
		_ = c.Close()
	}
	return aborted
}

// hasInput reports whether a connection has received bytes that nobody has read yet, or whether
// a listener has connections that nobody has accepted yet. It is false for what is no socket.
func hasInput(socket any) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}
