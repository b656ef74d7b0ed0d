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
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// drainShare is the part of the grace for which a host that was told to
	// stop still takes new requests, since the balancer notices late.
	drainShare = 0.35
	// stopShare is the part of the grace after which what is still under way
	// is given up. The rest is for giving allotments back.
	stopShare = 0.85
	// gateHeaderTimeout bounds the header of a request.
	gateHeaderTimeout = 10 * time.Second
	// gateIdle is how long a caller's connection may be idle. It is longer
	// than any plan's limit, so that no caller meets our close.
	gateIdle = 2 * time.Minute
)

// startEntry runs an entry host.
func (n *Node) startEntry(ctx, inner context.Context, g *errgroup.Group, stop func()) error {
	gate := &gate.Gate{
		Host: n.Settings.Host, Zone: n.Settings.Zone, Names: n.Names, Fleet: n.client, Clock: n.clock, MaxAge: n.Settings.KeyStale(), Log: n.Log,
		Turns: &turns.Client{Peers: n.peers, Zone: n.Settings.Zone, Map: func() *turns.Map { return n.client.View().Map }},
	}
	n.client.Changed = func(v fleet.View) { gate.TargetsChanged(v.Targets) }
	listener, err := listen(ctx, n.Settings.CallerListen)
	if err != nil {
		return err
	}
	if err := n.startReady(inner, g, gate); err != nil {
		return err
	}
	g.Go(func() error { return n.client.Run(inner) })
	gateCtx, stopGate := context.WithCancel(inner)
	g.Go(func() error {
		defer stop() // Allotments are given back over links that are still there.
		return gate.Run(gateCtx)
	})
	server := &http.Server{Handler: gate, ReadHeaderTimeout: gateHeaderTimeout, IdleTimeout: gateIdle, MaxHeaderBytes: maxHeader}
	g.Go(func() error { return serve(server, listener) })
	g.Go(func() error {
		defer stopGate()
		waitEither(ctx, inner)
		return n.drainGate(inner, gate, server)
	})
	return nil
}

// drainGate takes the host out of service without cutting off a request.
func (n *Node) drainGate(ctx context.Context, gate *gate.Gate, server *http.Server) error {
	n.Log.Write(event.HostDraining, event.Fields{"host": n.Settings.Host})
	gate.Drain()
	grace := n.Settings.Grace().Seconds()
	types.Sleep(ctx, time.Duration(drainShare*grace*float64(time.Second)))
	rest := time.Duration((stopShare - drainShare) * grace * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rest)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.Log.Write(event.HostFailed, event.Fields{"host": n.Settings.Host, "error": err.Error(), "step": "drain"})
	}
	return nil
}

func (n *Node) startReady(ctx context.Context, g *errgroup.Group, gate *gate.Gate) error {
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

// serveOn serves until ctx ends.
func serveOn(ctx context.Context, g *errgroup.Group, listener net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader,
		BaseContext: func(net.Listener) context.Context { return ctx }, // WebSocket connections end with it.
	}
	g.Go(func() error { return serve(server, listener) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "host: close")
	})
}
