package fetch

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Pool is a pool of connections to targets. The zero value is ready to use. It is
// safe for concurrent use.
type Pool struct {
	// Dial opens a connection to an address. The default is [DialTCP].
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ReceiveBytes is what the kernel's buffers of a few connections may take of responses that
	// have not been read: a new connection gets its share of it, at least minReceiveBytes and at
	// most what receiveBufferBytes allows. 0 means no limit. It must not change after the first
	// use.
	ReceiveBytes int64

	open atomic.Int64 // connections that were dialed and have not been closed

	mu   sync.Mutex
	idle map[string][]*conn // by address; the most recently used one is last
	// estimates holds an estimate for each target, by address, of how long it keeps an idle
	// connection open.
	estimates map[string]*idleEstimate
	lateness  lateness
}

const (
	// DefaultDialTimeout allows for several round trips between regions.
	DefaultDialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of connections to targets that send
	// none in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the target's own timeout an idle
	// connection is no longer reused.
	idleMargin = 700 * time.Millisecond
	// maxIdle limits the idle connections to one target.
	maxIdle = 16
	// receiveBufferBytes is how much of a response the kernel keeps until it is read. The
	// kernel's own bound is some megabytes, which would count toward the memory of the host
	// for each response whose caller reads slowly. At a round trip of 40 ms, this allows
	// 6.4 MB per second.
	receiveBufferBytes = 256 << 10
	// minReceiveBytes is the smallest buffer, with which hundreds of connections take a small
	// part of the memory of a host. At a round trip of 2 ms, it allows 2 MB per second.
	minReceiveBytes = 8 << 10
	// silenceTimeout is how long sent data or keepalive probes may remain
	// unacknowledged before the connection breaks. A sound target may be silent for a
	// second or so.
	silenceTimeout = 2500 * time.Millisecond
	// probeIdle and probeInterval are the parameters of the TCP keepalive probes,
	// which detect a lost target while no data is sent to it. The kernel counts in
	// whole seconds. It breaks a connection with an unanswered probe as soon as the
	// last byte is silenceTimeout old, whatever the number of probes, so that
	// probeIdle must be well below.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 3
)

var (
	dials          = metrics.NewCounter("banyanspur_fetch_dials_total")
	reuses         = metrics.NewCounter("banyanspur_fetch_reuses_total")
	idleCloses     = metrics.NewCounter("banyanspur_fetch_idle_closes_total")
	idleTooLong    = metrics.NewCounter("banyanspur_fetch_idle_too_long_total")
	strayResponses = metrics.NewCounter("banyanspur_fetch_stray_answers_total")
)

// connect returns a connection to address: an idle one that seems usable if there is one and
// newOnly is false, or else a new one.
func (p *Pool) connect(ctx context.Context, address string, newOnly bool) (*conn, error) {
	for !newOnly {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
	dials.Inc()
	dial := p.Dial
	if dial == nil {
		dial = DialTCP
	}
	nc, err := dial(p.withReceiveBuffer(ctx), address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	c := newConn(nc)
	c.open = &p.open
	return c, nil
}

// receiveBufferKey is the key of the size of a connection's receive buffer in the context in
// which it is dialed. The peer may send as much as it allows as soon as the connection is open.
type receiveBufferKey struct{}

// withReceiveBuffer counts a connection that is about to be dialed, and returns the context for
// it.
func (p *Pool) withReceiveBuffer(ctx context.Context) context.Context {
	n := p.open.Add(1)
	if p.ReceiveBytes <= 0 {
		return ctx
	}
	size := max(p.ReceiveBytes/n, minReceiveBytes) / 2 // The kernel doubles the size that it is given.
	return context.WithValue(ctx, receiveBufferKey{}, int(min(size, receiveBufferBytes)))
}

// DialTCP opens a TCP connection within [DefaultDialTimeout]. The connection breaks if
// the peer has been silent for silenceTimeout. It is one of [TrackReset].
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: DefaultDialTimeout, ControlContext: setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return TrackReset(c), nil
}

// Probe checks whether the target at address accepts a new connection, and keeps the
// connection for later requests.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address, true)
	if err != nil {
		return err
	}
	p.putIdle(address, c)
	return nil
}

// Keep adds a connection that was opened elsewhere to the idle connections to address.
func (p *Pool) Keep(address string, c net.Conn) { p.putIdle(address, newConn(c)) }

// CloseIdle closes the idle connections to address that match.
func (p *Pool) CloseIdle(address string, match func(net.Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := slices.DeleteFunc(p.idle[address], func(c *conn) bool {
		if !match(c.Conn) {
			return false
		}
		_ = c.Close()
		return true
	})
	if len(rest) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = rest
}

// setSocketOptions makes the connection break if sent data is not acknowledged within
// silenceTimeout, and bounds what the kernel keeps of a response that is not read.
func setSocketOptions(ctx context.Context, _, _ string, raw syscall.RawConn) error {
	size, ok := ctx.Value(receiveBufferKey{}).(int)
	if !ok {
		size = receiveBufferBytes
	}
	var ackErr, bufferErr error
	err := raw.Control(func(fd uintptr) {
		ackErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
		bufferErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	return errors.CombineErrors(err, errors.CombineErrors(ackErr, bufferErr))
}

// HasIdle reports whether there is an idle connection to address that is not too old to be
// reused. It may turn out to be unusable all the same.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	newest, now := list[len(list)-1], time.Now()
	age := now.Sub(newest.idleSince)
	return age < newest.idleTimeout && p.estimate(address).allows(age, p.lateness.get(now))
}

// takeIdle returns the most recently used idle connection to address, or nil if there is none
// that the target can be expected to keep open.
func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	now, e := time.Now(), p.estimate(address)
	c := list[len(list)-1]
	if age := now.Sub(c.idleSince); age < c.idleTimeout && !e.allows(age, p.lateness.get(now)) {
		idleTooLong.Inc()
		// They stay open: how long they do tells whether the estimate is too low.
		p.idle[address] = e.dropClosed(list, now)
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// estimate returns the estimate of the target at address. The caller must hold mu.
func (p *Pool) estimate(address string) *idleEstimate {
	e := p.estimates[address]
	if e == nil {
		if p.estimates == nil {
			p.estimates = map[string]*idleEstimate{}
		}
		e = &idleEstimate{}
		p.estimates[address] = e
	}
	return e
}

func (p *Pool) putIdle(address string, c *conn) {
	c.idleSince, c.idled = time.Now().Add(-c.sinceLastData()), true
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	list := p.idle[address]
	if len(list) >= maxIdle {
		i := 0 // The least recently used one.
		if p.estimate(address).shortest > 0 {
			i = 1 // The one that has been idle for longest shows whether the estimate is too low.
		}
		_ = list[i].Close()
		list = slices.Delete(list, i, i+1)
	}
	p.idle[address] = append(list, c)
}

// CloseIdleExcept closes the idle connections to all addresses that are not in
// keep.
func (p *Pool) CloseIdleExcept(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if keep[address] {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
	for address := range p.estimates {
		if !keep[address] {
			delete(p.estimates, address)
		}
	}
}
