package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/panics"
)

const (
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// idleTimeout is how long a connection may be idle between two requests. It is longer than
	// that of usual clients, so that none sends a request on a connection that is being closed.
	idleTimeout = 2 * time.Minute
	// bodyTimeout bounds the receipt of a body unless the handler sets another time. After a
	// handler that has not read a body, the server reads up to 256 KiB of it.
	bodyTimeout = 30 * time.Second
)

// newServer returns a server for connections of [intake.Listener]. Panics of h are written to log.
func newServer(h http.Handler, log event.Log) *http.Server {
	return &http.Server{
		Handler: panics.Handler(log, boundBodies(h)), ConnState: intake.SetState, ConnContext: intake.ConnContext, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
}

// boundBodies bounds the receipt of bodies by bodyTimeout. It drops requests whose connection was
// closed for others, since their callers cannot get a response.
func boundBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if intake.Evicted(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // Fails if the connection is closed.
		}
		h.ServeHTTP(w, r)
	})
}

// listenerOf returns a listener for a port that only a few clients use, which counts its
// connections in the budget of the process.
func listenerOf(l net.Listener, received *intake.Budget) net.Listener {
	il := intake.Listen(l, received, nil)
	il.MaxConns /= 3 // An eighth of all descriptors.
	return il
}

// serveOn serves h on listener in g until ctx ends. Panics of h are written to log.
func serveOn(ctx context.Context, g *errgroup.Group, listener net.Listener, h http.Handler, log event.Log) {
	server := newServer(h, log)
	server.BaseContext = func(net.Listener) context.Context { return ctx } // WebSocket connections end with ctx.
	g.Go(func() error { return serve(server, listener) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "host: close")
	})
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "host: serve")
	}
	return nil
}
