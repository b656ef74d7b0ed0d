package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// drainShare is the fraction of the grace period for which a draining host
	// still accepts new requests, because the load balancer detects with a delay
	// that the host is not ready.
	drainShare = 0.35
	// stopShare is the fraction of the grace period after which requests still
	// in flight are abandoned. The rest is for returning the host's shares of
	// rate limits.
	stopShare = 0.85
	// gateIdleTimeout is how long a caller's connection may be idle. It is
	// longer than the idle limit of any plan, so that no caller sends a request
	// on a connection that this host is closing.
	gateIdleTimeout = 2 * time.Minute
)

// startEntry runs an entry host in g. Once ctx or serveCtx ends, it drains the
// host and then calls stop.
func (n *Node) startEntry(ctx, serveCtx context.Context, g *errgroup.Group, stop func()) error {
	gt := &gate.Gate{
		Host: n.Settings.Host, Zone: n.Settings.Zone, HeaderNames: n.HeaderNames, Fleet: n.client, Clock: n.clock, MaxPlanStaleness: n.Settings.MaxKeyStaleness(), Log: n.Log,
		DialTarget: n.DialTarget, RelayAddress: n.Settings.PeerAddress(), Secret: n.secret,
		ColdBound: n.coldBound(), TargetPace: n.Settings.TargetPace, PaceSelective: n.Settings.PaceSelective,
		Backlog: gate.NewBacklog(gate.BacklogBytes(n.Settings.MemoryMB)),
		Turns:   &turns.Client{Peers: n.peers, Zone: n.Settings.Zone, Map: func() *turns.Map { return n.client.View().Map }},
	}
	n.client.OnChange = func(v fleet.View) { gt.TargetsChanged(v.Targets) }
	listener, err := listen(ctx, n.Settings.CallerListen)
	if err != nil {
		return err
	}
	if err := n.startPeerServer(serveCtx, g, map[string]http.Handler{relay.Path: gt.RelayHandler()}); err != nil {
		return err
	}
	if err := n.startReadinessServer(serveCtx, g, gt); err != nil {
		return err
	}
	g.Go(func() error { return n.client.Run(serveCtx) })
	gateCtx, stopGate := context.WithCancel(serveCtx)
	g.Go(func() error {
		defer stop() // Not earlier: the gate returns its shares of rate limits over the links.
		return gt.Run(gateCtx)
	})
	server := &http.Server{Handler: gt, ConnContext: gate.ConnContext, ReadHeaderTimeout: plan.MaxHeaderTimeout, IdleTimeout: gateIdleTimeout, MaxHeaderBytes: plan.MaxHeaderBytes}
	g.Go(func() error { return serve(server, listener) })
	g.Go(func() error {
		defer stopGate()
		waitEither(ctx, serveCtx)
		return n.drainGate(serveCtx, gt, server)
	})
	return nil
}

// drainGate takes the host out of service: it makes the host unready, keeps
// accepting requests for drainShare of the grace period and then waits for
// requests in flight, up to stopShare of it.
func (n *Node) drainGate(ctx context.Context, gate *gate.Gate, server *http.Server) error {
	n.Log.Write(event.HostDraining, event.Fields{"host": n.Settings.Host})
	gate.Drain()
	grace := n.Settings.Grace().Seconds()
	types.Sleep(ctx, time.Duration(drainShare*grace*float64(time.Second)))
	remaining := time.Duration((stopShare - drainShare) * grace * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), remaining)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.Log.Write(event.HostFailed, event.Fields{"host": n.Settings.Host, "error": err.Error(), "step": "drain"})
	}
	return nil
}

// startReadinessServer serves the readiness check of an entry host if the
// settings give an address for it.
func (n *Node) startReadinessServer(ctx context.Context, g *errgroup.Group, gate *gate.Gate) error {
	if n.Settings.ReadyListen == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc(n.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !gate.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return n.serve(ctx, g, n.Settings.ReadyListen, mux)
}

// serveOn serves h on listener in g until ctx ends.
func serveOn(ctx context.Context, g *errgroup.Group, listener net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx }, // WebSocket connections end with ctx.
	}
	g.Go(func() error { return serve(server, listener) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "host: close")
	})
}
