package intake

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/event"
)

const (
	// connBytes is the memory of a connection without a request: its goroutine, the buffers of
	// the HTTP server, and minReceiveBytes in the kernel.
	connBytes = 16 << 10
	// receiveBytes is how much the kernel keeps for a connection that is not read, such as that
	// of a caller that sends on while its request is handled. The default is up to 6 MB. What the
	// kernel keeps counts toward the memory of the host.
	receiveBytes = 64 << 10
	// minReceiveBytes is the least that the kernel keeps. It is part of connBytes.
	minReceiveBytes = 8 << 10
	// keptReceiveBytes is the same for connections of other hosts. It is what a link of 160
	// Mbit/s with a round trip of 50 ms needs; the kernel may give less.
	keptReceiveBytes = 1 << 20
	// receiveShare is the part of the budget, as one in so many, that bounds what the kernel
	// keeps: a new connection gets half as much each time that all which are open could take
	// more than that. So all together take up to twice that beyond what is charged.
	receiveShare = 4
	// connsShare is the part of the descriptors of a process that the connections of a
	// listener may take, in eighths. Each may need another one to a target; the rest is for other
	// hosts and files.
	connsShare = 3
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
	// MaxConns is how many connections may be open. Beyond it, each new one takes the place of
	// one that has not sent a request, or else of the one that has been idle for the longest
	// time, or of the oldest one that is new. 0 means no limit.
	MaxConns int

	sized bool // the buffers of the kernel are those of this package

	mu       sync.Mutex
	conns    map[*Conn]struct{}
	receive  int64 // what the kernel keeps for new connections
	loggedAt time.Time
	closed   int // connections closed for new ones, or not accepted, since loggedAt
}

// Listen returns a listener that counts the connections of l in a budget, with MaxConns set to
// three eighths of the descriptors that the process may have.
func Listen(l net.Listener, b *Budget, limits func() Limits) *Listener {
	il := ListenHosts(l, b)
	il.Limits, il.sized = limits, true
	il.setReceiveBuffer(receiveBytes)
	return il
}

// ListenHosts is [Listen] for connections of other hosts of the fleet, which send much over long
// distances: those for which [Keep] was called may have keptReceiveBytes in the kernel.
func ListenHosts(l net.Listener, b *Budget) *Listener {
	il := &Listener{Listener: l, Budget: b, conns: map[*Conn]struct{}{}}
	var nofile unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &nofile) == nil && nofile.Cur < 1<<30 {
		il.MaxConns = int(nofile.Cur) * connsShare / 8
	}
	return il
}

// Accept returns the next connection, of type [*Conn]. Those for which there is neither memory
// nor a place are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
		refusedConns.Inc()
	}
}

// admit returns the connection that counts for nc, or nil if it has closed nc.
func (l *Listener) admit(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, limits: l.Limits}
	c.holder = l.Budget.Open("", func() { _ = nc.Close() })
	c.onClose = func() { l.remove(c) }
	if !l.sized {
		c.setReceiveBuffer(receiveBytes)
	}
	if !l.makePlace() || c.holder.addNow(connBytes) != nil {
		_ = c.Close()
		return nil
	}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.resize()
	l.mu.Unlock()
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.resize()
}

// resize changes what the kernel keeps for new connections if their number calls for it. It must
// be called with mu held.
func (l *Listener) resize() {
	if !l.sized {
		return
	}
	n, limit := int64(len(l.conns)), l.Budget.Limit()/receiveShare
	size := receiveSize(n, limit)
	if size > l.receive && receiveSize(n+n/4, limit) <= l.receive {
		return // It would change back with a few more connections.
	}
	if size != l.receive {
		l.setReceiveBuffer(size)
	}
}

// receiveSize returns what the kernel is to keep for the next one of n connections.
func receiveSize(n, limit int64) int64 {
	size := int64(receiveBytes)
	for size > minReceiveBytes && n*size > limit {
		size /= 2
	}
	return size
}

// setReceiveBuffer sets how much the kernel keeps for connections that are accepted from now on.
func (l *Listener) setReceiveBuffer(n int64) {
	l.receive = n
	raw, err := rawConn(l.Listener)
	if err != nil {
		return // It is no socket.
	}
	_ = raw.Control(func(fd uintptr) { // Accepted connections inherit the option.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(n/2)) // The kernel doubles it.
	})
}

// setReceiveBuffer sets how much the kernel keeps for the connection.
func (c *Conn) setReceiveBuffer(n int) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return // It is no socket.
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n/2) // The kernel doubles it.
	})
}

// makePlace closes a connection if MaxConns are open. It returns false if there is none to close.
func (l *Listener) makePlace() bool {
	l.mu.Lock()
	full := l.MaxConns > 0 && len(l.conns) >= l.MaxConns
	var v *Conn
	if full {
		v = l.victim()
		l.closed++
	}
	logNow := full && time.Since(l.loggedAt) >= pressureLogInterval
	fields := event.Fields{"closed": l.closed, "open": len(l.conns), "limit": l.MaxConns}
	if logNow {
		l.loggedAt, l.closed = time.Now(), 0
	}
	if v != nil {
		delete(l.conns, v)
	}
	l.mu.Unlock()
	if logNow {
		l.Budget.log.Write(event.ConnectionsFull, fields)
	}
	if v != nil {
		v.holder.evict()
	}
	return !full || v != nil
}

// victim returns the connection that is to be closed for a new one, or nil if all have requests
// that are being handled. New ones without a request come last, the oldest first: if a crowd that
// connects again and again has taken all places, all of them are new, and if none gave way, other
// callers would get a place by chance only. A caller that sends its request at once keeps its place
// unless as many connections as there are places arrive before it is read. It must be called with mu
// held.
func (l *Listener) victim() *Conn {
	b := l.Budget
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	isNew := func(h *Holder) int {
		if h.phase != Idle && now.Sub(h.since) < stallTime {
			return 1
		}
		return 0
	}
	isServed := func(h *Holder) int {
		if h.served {
			return 1
		}
		return 0
	}
	var v *Conn
	for c := range l.conns {
		h := c.holder
		if h.phase == Working || h.evicted {
			continue
		}
		if v == nil || cmp.Or(cmp.Compare(isNew(h), isNew(v.holder)), cmp.Compare(isServed(h), isServed(v.holder)), h.since.Compare(v.holder.since)) < 0 {
			v = c
		}
	}
	if v != nil {
		b.evict(v.holder)
	}
	return v
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
