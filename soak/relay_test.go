package soak_test

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayMode is how a relay treats traffic. The modes after modeReset discard bytes.
type relayMode int32

const (
	modeForward relayMode = iota
	modeDelay
	modeReset    // resets existing and new connections
	modeDrop     // discards all bytes; connections stay open
	modeDropTo   // discards bytes sent to the host
	modeDropFrom // discards bytes sent by the host
)

// faultModes are the modes that inject a fault.
var faultModes = []relayMode{modeDelay, modeReset, modeDrop, modeDropTo, modeDropFrom}

// relayDelay is how long modeDelay delays each chunk that is read.
const relayDelay = 60 * time.Millisecond

// relay is a TCP proxy in front of a host that injects network faults.
type relay struct {
	hostAddress string
	mode        atomic.Int32
	listener    net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
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

// limitRate limits the bytes in either direction, before any are forwarded.
func (r *relay) limitRate(mbps float64) {
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

// newRelay starts a relay that listens on address and forwards to hostAddress.
func newRelay(address, hostAddress string) (*relay, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	r := &relay{hostAddress: hostAddress, listener: l, conns: map[net.Conn]bool{}, silenced: make(chan struct{})}
	return r, nil
}

// setMode changes the mode. When a mode that discards bytes ends, all connections
// are reset, so that the discarded bytes are lost together with their connections,
// as in a network partition.
func (r *relay) setMode(m relayMode) {
	previous := relayMode(r.mode.Swap(int32(m)))
	if m == modeReset || previous > modeReset {
		r.resetAll()
	}
}

// resetAll closes all connections with a TCP reset.
func (r *relay) resetAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(r.conns)
}

// silence makes all open connections discard all bytes for good, without a reset, while new
// ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.resetAll()
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(relayDelay) // Out of file descriptors.
			continue
		}
		if relayMode(r.mode.Load()) == modeReset {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		go r.connect(in)
	}
}

// connect connects to the host and forwards both directions until one of the
// connections ends.
func (r *relay) connect(in net.Conn) {
	out, err := net.DialTimeout("tcp4", r.hostAddress, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	silenced := r.silenced
	r.mu.Unlock()
	go r.forward(out, in, modeDropTo, silenced)
	r.forward(in, out, modeDropFrom, silenced)
}

// forward copies bytes from one connection to another until either ends. It
// discards them in modeDrop and in dropMode, the mode that drops this direction, and once
// silenced is closed.
func (r *relay) forward(to, from net.Conn, dropMode relayMode, silenced <-chan struct{}) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		select {
		case <-silenced:
			if err == nil {
				continue // Discard the bytes.
			}
		default:
		}
		switch m := relayMode(r.mode.Load()); m {
		case modeDrop, dropMode:
			if err == nil {
				continue // Discard the bytes.
			}
		case modeDelay:
			time.Sleep(relayDelay)
		}
		if dropMode == modeDropTo {
			r.toHost.wait(n)
		} else {
			r.fromHost.wait(n)
		}
		if _, werr := to.Write(b[:n]); err != nil || werr != nil {
			return
		}
	}
}
