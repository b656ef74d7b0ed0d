package host

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
)

const (
	// operatorDrainShare is the fraction of the grace period for which a control host that
	// stops waits for requests of operators. Another host leads by then.
	operatorDrainShare = 0.25
	// operatorFinishTimeout is the time in which requests that have waited for so long get a
	// response.
	operatorFinishTimeout = 300 * time.Millisecond
)

// startOperatorServer serves the operators' interface in g until ctx or serveCtx ends. It
// then accepts no more requests, waits for those in flight and calls stopped.
func (n *Node) startOperatorServer(ctx, serveCtx context.Context, g *errgroup.Group, stopped func()) error {
	if n.OperatorHandler == nil || n.Settings.OperatorListen == "" {
		stopped()
		return nil
	}
	listener, err := listen(serveCtx, n.Settings.OperatorListen, n.Log)
	if err != nil {
		return err
	}
	requests, cancelRequests := context.WithCancel(context.WithoutCancel(ctx))
	handler := n.OperatorHandler(n.client, n.received)
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(requests, cancel)()
		handler.ServeHTTP(w, r.WithContext(ctx))
	}), n.Log)
	g.Go(func() error { return serve(server, listenerOf(listener, n.received)) })
	g.Go(func() error {
		defer stopped()
		waitEither(ctx, serveCtx)
		if ctx.Err() == nil {
			cancelRequests() // The process fails. It is restarted once it has ended, so it must not wait.
		}
		n.drainOperators(server, cancelRequests)
		return nil
	})
	return nil
}

// drainOperators stops the server of the operators' interface. Requests that are not
// complete after operatorDrainShare of the grace period get a response that their outcome is
// unknown.
func (n *Node) drainOperators(server *http.Server, cancelRequests context.CancelFunc) {
	defer cancelRequests()
	wait := time.Duration(operatorDrainShare * float64(n.inForce().Grace()))
	if shutdown(server, wait) == nil {
		return
	}
	cancelRequests()
	if err := shutdown(server, operatorFinishTimeout); err != nil {
		n.Log.Write(event.HostFailed, event.Fields{"host": n.Settings.Host, "error": err.Error(), "step": "drain"})
		_ = server.Close() // What is left has no response yet, and gets none.
	}
}

// shutdown shuts a server down and waits up to timeout for its requests in flight.
func shutdown(server *http.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return server.Shutdown(ctx)
}
