package gate

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// unusedTime is how long a connection that has carried no request is kept open by a host that
// accepts no more connections. It covers a lost packet, which is sent again after a second.
const unusedTime = 2 * time.Second

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
	closed   bool           // closeUnused has closed it
}

// setState is the ConnState function of an [http.Server]. The server calls it with StateActive
// before it calls its handler.
func (t *callerConns) setState(c net.Conn, state http.ConnState) {
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

// closeUnused closes the connections that have no request in flight, new ones only after
// unusedTime. It returns the number of connections that are open.
func (t *callerConns) closeUnused() (open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, known := range t.conns {
		unused := known.state == http.StateIdle || known.state == http.StateNew && time.Since(known.openedAt) >= unusedTime
		if unused && !known.closed {
			known.closed = true
			_ = c.Close()
		}
		if !known.closed {
			open++
		}
	}
	return open
}

// abortAll prepares all connections with a request in flight for being closed, so that their
// responses do not look complete, and returns their number.
func (t *callerConns) abortAll() (active int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, known := range t.conns {
		if known.state != http.StateActive || known.closed {
			continue
		}
		active++
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Fails if the connection is lost already.
		}
	}
	return active
}
