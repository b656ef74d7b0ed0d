package fakes

import (
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// RelayMode is how a [FaultyRelay] treats traffic. The modes after ModeReset discard bytes.
type RelayMode int32

// The modes of a [FaultyRelay].
const (
	ModeForward  RelayMode = iota // forwards
	ModeDelay                     // delays each chunk that is read
	ModeReset                     // resets existing and new connections
	ModeDrop                      // discards all bytes; connections stay open
	ModeDropTo                    // discards bytes sent to the host
	ModeDropFrom                  // discards bytes sent by the host
)

// FaultModes are the modes that inject a fault.
var FaultModes = []RelayMode{ModeDelay, ModeReset, ModeDrop, ModeDropTo, ModeDropFrom}

// relayDelay is how long ModeDelay delays each chunk that is read.
const relayDelay = 60 * time.Millisecond

// FaultyRelay is a TCP proxy in front of a host that injects network faults. It is safe for
// concurrent use, other than LimitRate.
type FaultyRelay struct {
	hostAddress string
	connections errgroup.Group
	mode        atomic.Int32
	listener    net.Listener

	mu sync.Mutex
	// conns holds the open connections, with the addresses that the hosts which dialed them named,
	// if any.
	conns map[net.Conn]*atomic.Value
	// cut holds the number of cuts from other hosts, by address.
	cut map[string]int
	// silenced is closed to make the connections that are open discard all bytes for good.
	silenced chan struct{}

	toHost, fromHost link
}

// link delays bytes to a rate over all connections in one direction.
type link struct {
	bytesPerSecond float64 // 0 for no limit

	mu   sync.Mutex
	free time.Time // when the bytes so far have passed
}

// LimitRate limits the bytes in either direction, before any are forwarded.
func (r *FaultyRelay) LimitRate(mbps float64) {
	r.toHost.bytesPerSecond, r.fromHost.bytesPerSecond = mbps*1e6/8, mbps*1e6/8
}

// wait returns when n more bytes have passed.
func (l *link) wait(n int) {
	if l.bytesPerSecond == 0 {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	free := l.free
	l.mu.Unlock()
	// Waits shorter than the machine can sleep add up until they are long enough.
	if wait := free.Sub(now); wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// NewFaultyRelay returns a relay that listens on address and forwards to hostAddress once Accept
// is called.
func NewFaultyRelay(address, hostAddress string) (*FaultyRelay, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &FaultyRelay{hostAddress: hostAddress, listener: l, conns: map[net.Conn]*atomic.Value{}, cut: map[string]int{}, silenced: make(chan struct{})}
	return r, nil
}

// SetMode changes the mode. When a mode that discards bytes ends, all connections
// are reset, so that the discarded bytes are lost together with their connections,
// as in a network partition.
func (r *FaultyRelay) SetMode(m RelayMode) {
	previous := RelayMode(r.mode.Swap(int32(m)))
	if m == ModeReset || previous > ModeReset {
		r.resetFrom("")
	}
}

// resetFrom closes the connections of a host, or all if source is empty, with a TCP reset.
func (r *FaultyRelay) resetFrom(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, from := range r.conns {
		if source == "" || from.Load() == source {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(r.conns, c)
		}
	}
}

// ChangeCut begins (1) or ends (-1) a cut from a host: its connections are silent while there is
// one, and are reset in the end.
func (r *FaultyRelay) ChangeCut(source string, delta int) {
	r.mu.Lock()
	r.cut[source] += delta
	r.mu.Unlock()
	if delta < 0 {
		r.resetFrom(source)
	}
}

// discards reports whether bytes of the connections of a host are discarded.
func (r *FaultyRelay) discards(source string, dropMode RelayMode) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := RelayMode(r.mode.Load())
	return m == ModeDrop || m == dropMode || r.cut[source] > 0
}

// sourceOf returns the address that the host which dials names in its first bytes, or an empty
// text.
func sourceOf(b []byte) string {
	_, rest, _ := strings.Cut(string(b), "Banyanspur-Address: ")
	address, _, found := strings.Cut(rest, ":")
	if !found {
		return ""
	}
	return address
}

// Silence makes all open connections discard all bytes for good, without a reset, while new
// ones work.
func (r *FaultyRelay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
}

// Close ends the relay and resets its connections.
func (r *FaultyRelay) Close() {
	_ = r.listener.Close()
	r.resetFrom("")
}

// Accept forwards connections until the relay is closed.
func (r *FaultyRelay) Accept() {
	for {
		in, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(relayDelay) // Out of file descriptors.
			continue
		}
		if RelayMode(r.mode.Load()) == ModeReset {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		r.connections.Go(func() error { r.connect(in); return nil })
	}
}

// connect connects to the host and forwards both directions until one of the
// connections ends.
func (r *FaultyRelay) connect(in net.Conn) {
	out, err := net.DialTimeout("tcp4", r.hostAddress, time.Second)
	if err != nil {
		for RelayMode(r.mode.Load()) == ModeDrop {
			time.Sleep(relayDelay) // A host without power does not respond.
		}
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	source := &atomic.Value{}
	source.Store("")
	r.mu.Lock()
	r.conns[in], r.conns[out] = source, source
	silenced := r.silenced
	r.mu.Unlock()
	r.connections.Go(func() error { r.forward(out, in, ModeDropTo, silenced, source); return nil })
	r.forward(in, out, ModeDropFrom, silenced, source)
}

// forward copies bytes from one connection to another until either ends. It
// discards them in ModeDrop and in dropMode, the mode that drops this direction, once silenced
// is closed, and while the source is cut off. Ends of connections are not seen meanwhile.
func (r *FaultyRelay) forward(to, from net.Conn, dropMode RelayMode, silenced <-chan struct{}, source *atomic.Value) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for first := dropMode == ModeDropTo; ; {
		n, err := from.Read(b)
		select {
		case <-silenced:
			if err == nil {
				continue // Discard the bytes.
			}
		default:
		}
		if first {
			source.Store(sourceOf(b[:n]))
			first = false
		}
		discarded := false
		for r.discards(source.Load().(string), dropMode) {
			discarded = true
			if err == nil {
				break
			}
			time.Sleep(relayDelay) // The end of the connection does not show.
		}
		if discarded && err == nil {
			continue
		}
		if RelayMode(r.mode.Load()) == ModeDelay {
			time.Sleep(relayDelay)
		}
		if dropMode == ModeDropTo {
			r.toHost.wait(n)
		} else {
			r.fromHost.wait(n)
		}
		if _, werr := to.Write(b[:n]); err != nil || werr != nil {
			return
		}
	}
}
