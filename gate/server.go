package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// acceptShare is the fraction of the grace period for which a draining host
	// still accepts new connections, because the load balancer detects with a delay
	// that the host is not ready.
	acceptShare = 0.35
	// answerShare is the fraction of the grace period after which requests in flight end
	// with a response of this host. It leaves as much of the grace period to targets as
	// possible; the rest is for writing these responses and for returning the host's
	// shares of rate limits.
	answerShare = 0.85
	// closeShare is the fraction of the grace period after which connections are closed
	// whose callers have not read their responses.
	closeShare = 0.88
	// idleTimeout is how long a caller's connection may be idle. It is longer than the
	// idle limit of any plan, so that no caller sends a request on a connection that this
	// host is closing.
	idleTimeout = 2 * time.Minute
	// closePollInterval is how often a host that stops looks for connections to close.
	closePollInterval = 20 * time.Millisecond
)

// Server serves the callers of a [Gate]. Set the exported fields, then call [Server.Serve].
type Server struct {
	// Gate handles the requests.
	Gate *Gate
	// Listener accepts the connections of callers.
	Listener net.Listener
	// Grace is the time from the call of [Server.Drain] until the process is killed.
	Grace time.Duration

	initOnce sync.Once
	conns    callerConns
	server   http.Server
	served   chan struct{} // closed when Serve returns
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

// Serve accepts connections until [Server.Drain] closes the listener.
func (s *Server) Serve() error {
	s.init()
	defer close(s.served)
	if err := s.server.Serve(s.Listener); !errors.Is(err, net.ErrClosed) {
		return errors.Wrap(err, "gate: serve")
	}
	return nil
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && s.conns.isClosed(c) {
		panic(http.ErrAbortHandler) // Its caller cannot get a response, so that no target may get it.
	}
	s.Gate.ServeHTTP(w, r)
}

// Drain takes the host out of service within the grace period. The gate is drained, see
// [Gate.Drain], new connections are accepted for acceptShare of the grace period or until ctx
// ends, and Drain returns when all connections are closed, also those that the host relays. It
// closes those of callers without a request in flight; a request that arrives on any other gets a response. It returns an error if
// callers have not read their responses in time. The process must call [Server.Serve], too.
func (s *Server) Drain(ctx context.Context) error {
	s.init()
	start := time.Now()
	share := func(f float64) time.Duration { return time.Duration(f * float64(s.Grace)) }
	s.Gate.Drain(share(acceptShare), share(answerShare))
	types.Sleep(ctx, share(acceptShare))
	err := s.Listener.Close()
	<-s.served
	// Relayed connections may carry requests of other hosts, which this host cannot tell from
	// idle ones.
	for (s.conns.closeUnused() > 0 || s.Gate.isRelaying()) && time.Since(start) < share(closeShare) {
		time.Sleep(closePollInterval)
	}
	if n := s.conns.abortAll(); n > 0 {
		err = errors.CombineErrors(errors.Newf("gate: %d connections were closed before their responses were read", n), err)
	}
	return errors.CombineErrors(err, s.server.Close())
}
