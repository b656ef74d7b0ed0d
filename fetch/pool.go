package fetch

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"
)

// Pool keeps connections to targets. The zero value is ready; it is safe for
// concurrent use.
type Pool struct {
	// DialTimeout bounds the making of a connection. The default is
	// [DefaultDialTimeout].
	DialTimeout time.Duration

	mu   sync.Mutex
	idle map[string][]*conn // by address; the one used last is at the end
}

const (
	// DefaultDialTimeout is several round trips between regions.
	DefaultDialTimeout = 250 * time.Millisecond
	// unstatedIdle is how long a kept connection is used for whose target does
	// not say how long it keeps it.
	unstatedIdle = 4 * time.Second
	// idleMargin is how much sooner than the target a connection is given up.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the kept connections to one target.
	maxIdle = 16
	// ackTimeout is how long sent bytes may go unacknowledged before the
	// connection counts as lost.
	ackTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a peer that is gone while
	// nothing is sent to it.
	probeIdle     = 2 * time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

var (
	dials  = metrics.NewCounter("banyanspur_fetch_dials_total")
	reuses = metrics.NewCounter("banyanspur_fetch_reuses_total")
	strays = metrics.NewCounter("banyanspur_fetch_stray_answers_total")
)

// get returns a connection to address, a kept one if there is one that is
// whole and fresh is not set.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if c.usable(time.Now()) {
			reuses.Inc()
			return c, nil
		}
		_ = c.Close()
	}
	dials.Inc()
	dialer := net.Dialer{
		Timeout: p.dialTimeout(), Control: setAckTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	nc, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func (p *Pool) dialTimeout() time.Duration {
	if p.DialTimeout > 0 {
		return p.DialTimeout
	}
	return DefaultDialTimeout
}

func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	list := p.idle[address]
	if len(list) >= maxIdle {
		_ = list[0].Close() // The one that was idle for longest.
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// Forget closes the kept connections to all addresses that keep does not hold.
func (p *Pool) Forget(keep map[string]bool) {
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
}
