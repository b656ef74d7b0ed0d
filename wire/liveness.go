package wire

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// confirmTime is how long after a frame was sent the peer must have sent something.
	// Otherwise it is pinged.
	confirmTime = 600 * time.Millisecond
	// idlePingInterval is the idle time after which the side that has dialed a connection
	// pings the peer. It is long, since a fleet has a connection for each pair of an entry
	// host and a store, and a connection is checked whenever it is used.
	idlePingInterval = 5 * time.Second
	// minPingTimeout is how long a peer may take to respond to a ping. A peer that has lost
	// power is thus detected within confirmTime and this time after a frame was sent.
	minPingTimeout = 600 * time.Millisecond
	// maxPingTimeout bounds the time for peers that are known to respond late. If their
	// connections were given up again and again, the handshakes would delay them further.
	maxPingTimeout = 4 * minPingTimeout
	// lateTolerance is by how much a ping may end after its timeout. If it ends later, this
	// process itself has not run, and may not have read the response yet.
	lateTolerance = 100 * time.Millisecond
	// maxPings is how many pings in a row may end without a verdict.
	maxPings = 3
)

// errNoResponse marks the end of a connection whose peer has not responded to a ping.
var errNoResponse = errors.New("wire: no response to a ping")

// nextPingTimeout returns the timeout of pings on a link's next connection, if it was timeout
// on the last one and the last dial or connection has ended with err. It doubles if the host
// has not responded in time, and is the shortest again after a dial that has not reached the
// host's kernel: the host was not only late, but down or cut off.
func nextPingTimeout(timeout time.Duration, err error) time.Duration {
	switch {
	case errors.Is(err, errNoResponse):
		return min(2*timeout, maxPingTimeout)
	case reachedKernel(err):
		return timeout
	}
	return minPingTimeout
}

// reachedKernel reports whether a dial or connection that has ended with err had reached the
// kernel of a host that may be late: the handshake took too long, or the connection was reset.
func reachedKernel(err error) bool {
	var netErr *net.OpError
	if errors.As(err, &netErr) {
		return netErr.Op != "dial"
	}
	return errors.Is(err, context.DeadlineExceeded)
}

// liveness tells when the peer of a connection should be pinged, to detect a connection
// that broke without being closed.
type liveness struct {
	// ping receives a value when the peer should be pinged.
	ping chan struct{}

	unconfirmed atomic.Bool   // a frame was sent since the last one was received
	timer       *time.Timer   // runs while unconfirmed
	frames      atomic.Uint64 // frames, chunks of large ones and pongs received
}

func newLiveness() *liveness {
	l := &liveness{ping: make(chan struct{}, 1)}
	l.timer = time.AfterFunc(time.Hour, l.check)
	l.timer.Stop()
	return l
}

// check makes the peer be pinged.
func (l *liveness) check() {
	select {
	case l.ping <- struct{}{}:
	default: // A ping is already due.
	}
}

// sent records that a frame was sent.
func (l *liveness) sent() {
	if !l.unconfirmed.Swap(true) {
		l.timer.Reset(confirmTime)
	}
}

// received records that a frame, a chunk of one or a pong was received.
func (l *liveness) received() {
	l.frames.Add(1)
	if l.unconfirmed.Swap(false) {
		l.timer.Stop()
	}
}

// pingLoop pings the peer when liveness says so, and every idlePingInterval if this side
// has dialed the connection, until ctx ends or the peer does not respond.
func (s *stream) pingLoop(ctx context.Context) error {
	defer s.liveness.timer.Stop()
	var idle <-chan time.Time
	if s.dialed {
		ticker := time.NewTicker(idlePingInterval)
		defer ticker.Stop()
		idle = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.liveness.ping:
		case <-idle:
		}
		if err := s.ping(ctx); err != nil {
			return errors.Mark(errors.Wrap(err, "wire: ping"), errNoResponse)
		}
		s.liveness.received()
	}
}

// ping pings the peer. It fails if the peer neither responds in time nor sends anything else
// meanwhile, which shows that it is slow to respond only. If this process was held up itself,
// the missing response proves nothing, and it pings again, up to maxPings times in all.
func (s *stream) ping(ctx context.Context) error {
	for n := 1; ; n++ {
		pings.Inc()
		start, frames := time.Now(), s.liveness.frames.Load()
		pingCtx, cancel := context.WithTimeout(ctx, s.pingTimeout)
		err := s.conn.Ping(pingCtx)
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		if s.liveness.frames.Load() != frames {
			return nil
		}
		if late := time.Since(start) > s.pingTimeout+lateTolerance; !late || n == maxPings {
			return err
		}
	}
}
