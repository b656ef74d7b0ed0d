package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// acceptShare is the fraction of the grace period for which a draining host serves all
	// requests, because the load balancer detects with a delay that the host is not ready.
	acceptShare = 0.35
	// rotationTime is how long load balancers may direct new connections to a host that is not
	// ready: they ask once a second and take it out after two misses. A host that ends earlier
	// makes their callers get refused connections.
	rotationTime = 2500 * time.Millisecond
	// answerShare is the fraction of the grace period after which requests in flight end
	// with a response of this host. It leaves as much of the grace period to targets as
	// possible; the rest is for writing these responses and for returning the host's
	// shares of rate limits.
	answerShare = 0.85
	// closeShare is the fraction of the grace period after which connections are closed
	// whose callers have not read their responses.
	closeShare = 0.88
	// commitShare is the fraction of the grace period until which turns that targets have
	// completed are stored. What remains is for their ends, and for returning the host's
	// shares of rate limits.
	commitShare = 0.92
	// turnEndTime is how long a host waits for the end of a turn to be written after it was
	// stored. It is twice the time for which a processor quota may stop a process.
	turnEndTime = 200 * time.Millisecond
	// endShare is the fraction of the grace period after which the host no longer waits for
	// connections to be accepted and answered.
	endShare = 0.93
	// idleTimeout is how long a caller's connection may be idle. It is longer than the
	// idle limit of any plan, so that no caller sends a request on a connection that this
	// host is closing.
	idleTimeout = 2 * time.Minute
	// closePollInterval is how often a host that drains looks for connections to close.
	closePollInterval = 20 * time.Millisecond
	// endPollInterval is how often a host that ends looks for a moment without connections.
	// It is short, since such moments are, as long as new connections are opened.
	endPollInterval = time.Millisecond
)

// Server serves the callers of a [Gate]. Set the exported fields, then call [Server.Serve].
type Server struct {
	// Gate handles the requests.
	Gate *Gate
	// Listener accepts the connections of callers.
	Listener net.Listener
	// MaxConns is how many connections may be open. The default is three eighths of the
	// descriptors that the process may have; the others are for targets and other hosts.
	MaxConns int
	// Grace is the time from the call of [Server.Drain] until the process is killed.
	Grace time.Duration

	initOnce sync.Once
	conns    callerConns
	server   http.Server
	served   chan struct{} // closed when Serve returns
	start    time.Time     // of Drain
}

func (s *Server) init() {
	s.initOnce.Do(func() {
		s.served = make(chan struct{})
		s.server = http.Server{
			Handler: http.HandlerFunc(s.serveHTTP), ConnContext: ConnContext, ConnState: s.conns.setState,
			ReadHeaderTimeout: plan.MaxHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: plan.MaxHeaderBytes,
		}
	})
}

// Serve accepts connections until [Server.Close] closes the listener.
func (s *Server) Serve() error {
	s.init()
	defer close(s.served)
	s.Gate.init()
	listener := intake.Listen(s.Listener, s.Gate.Received, s.Gate.headerLimits)
	if s.MaxConns > 0 {
		listener.MaxConns = s.MaxConns
	}
	if err := s.server.Serve(listener); !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "gate: serve")
	}
	return nil
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*intake.Conn); ok && (c.Evicted() || s.conns.isClosed(c)) {
		panic(http.ErrAbortHandler) // Its caller cannot get a response, so that no target may get it.
	}
	s.Gate.ServeHTTP(w, r)
}

// share returns a fraction of the grace period.
func (s *Server) share(f float64) time.Duration { return time.Duration(f * float64(s.Grace)) }

// Drain takes the host out of service within the grace period. The gate is drained, see
// [Gate.Drain], and from acceptShare of the grace period on, connections without a request in
// flight are closed; a request that arrives on any other gets a response. Drain returns when all
// connections are closed, but not before load balancers have taken the host out, unless ctx
// ends. It also waits for the connections that the host relays, for answerShare of the grace
// period. From then on, all requests are refused; connections are accepted until [Server.Close].
// Drain returns an error if callers have not read their responses in time.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	s.start = time.Now()
	s.Gate.Drain(s.share(acceptShare), s.share(answerShare), s.share(commitShare))
	types.Sleep(ctx, s.share(acceptShare))
	s.awaitDrained(ctx)
	s.Gate.refuseAll()
	s.awaitDrained(ctx) // A request may have arrived just before.
	if time.Since(s.start) < s.share(closeShare) {
		return nil
	}
	return s.abortActive(s.start.Add(s.share(answerShare)))
}

func (s *Server) awaitDrained(ctx context.Context) {
	for !s.isDrained(ctx) {
		time.Sleep(closePollInterval)
	}
}

// abortActive closes the connections whose request was read before a time and is still in
// flight. It returns an error if there are any.
func (s *Server) abortActive(before time.Time) error {
	if n := s.conns.abortActive(before); n > 0 {
		return errors.Newf("gate: %d connections were closed before their responses were read", n)
	}
	return nil
}

// isDrained closes unused connections, and reports whether there is nothing left to wait for
// or no time left.
func (s *Server) isDrained(ctx context.Context) bool {
	elapsed := time.Since(s.start)
	open, _ := s.conns.closeUnused(unusedTime)
	if elapsed >= s.share(closeShare) {
		return !s.Gate.isCommitting() || elapsed >= s.share(endShare)
	}
	inRotation := ctx.Err() == nil && elapsed < min(rotationTime, s.share(answerShare))
	relays := s.Gate.relayServer.Active() > 0 && elapsed < s.share(answerShare) // For the requests of other hosts.
	return open == 0 && !inRotation && !relays
}

// Close ends a drained server: it closes the listener at a moment at which no connection is open
// or waits to be accepted. A connection that waits would be reset, and its caller could not tell
// whether its request has run. After closeShare of the grace period, connections without a
// request do not count, and after endShare, none does. The process should end right after Close,
// since connections are refused from then on.
func (s *Server) Close() error {
	for s.isBusy() && time.Since(s.start) < s.share(endShare) {
		time.Sleep(endPollInterval)
	}
	err := s.Listener.Close()
	<-s.served
	for time.Since(s.start) < s.share(endShare) {
		if open, _ := s.conns.closeUnused(lastUnusedTime); open == 0 {
			break
		}
		time.Sleep(endPollInterval)
	}
	err = errors.CombineErrors(err, s.abortActive(time.Now()))
	return errors.CombineErrors(err, s.server.Close())
}

// isBusy reports whether a connection is open or waits to be accepted. It closes unused ones.
func (s *Server) isBusy() bool {
	open, active := s.conns.closeUnused(unusedTime)
	if time.Since(s.start) >= s.share(closeShare) {
		open = active
	}
	return open > 0 || hasInput(s.Listener)
}
