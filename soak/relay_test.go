package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// manner is how a relay treats what passes.
type manner int32

const (
	passing manner = iota
	delaying
	resetting // all connections end at once, new ones too
	silent    // nothing passes; connections stay open
	deaf      // nothing passes towards the host
	mute      // nothing passes from the host
)

// manners are those that a fault may choose.
var manners = []manner{delaying, resetting, silent, deaf, mute}

// relayDelay is what each piece is delayed by.
const relayDelay = 60 * time.Millisecond

// relay stands between a host and the others.
type relay struct {
	to       string
	manner   atomic.Int32
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newRelay(at, to string) (*relay, error) {
	l, err := net.Listen("tcp4", at)
	if err != nil {
		return nil, err
	}
	r := &relay{to: to, listener: l, conns: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// set changes the manner. Bytes that were held up are lost with their
// connections, as behind a partition.
func (r *relay) set(m manner) {
	was := manner(r.manner.Swap(int32(m)))
	if m == resetting || was > resetting {
		r.dropAll()
	}
}

func (r *relay) dropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(r.conns)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.dropAll()
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		if manner(r.manner.Load()) == resetting {
			_ = in.(*net.TCPConn).SetLinger(0)
			_ = in.Close()
			continue
		}
		go r.connect(in)
	}
}

func (r *relay) connect(in net.Conn) {
	out, err := net.DialTimeout("tcp4", r.to, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	go r.pump(out, in, deaf)
	r.pump(in, out, mute)
}

// pump passes bytes on, except in the manner that stops this direction.
func (r *relay) pump(to, from net.Conn, stopped manner) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		switch m := manner(r.manner.Load()); m {
		case silent, stopped:
			if err == nil {
				continue // Lost on the way.
			}
		case delaying:
			time.Sleep(relayDelay)
		}
		if _, werr := to.Write(b[:n]); err != nil || werr != nil {
			return
		}
	}
}
