package host

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/turns"
)

// startEntry runs an entry host in g. Once ctx or serveCtx ends, it drains the
// host and then calls stop.
func (n *Node) startEntry(ctx, serveCtx context.Context, g *errgroup.Group, stop func()) error {
	gt := &gate.Gate{
		Host: n.Settings.Host, Zone: n.Settings.Zone, HeaderNames: n.HeaderNames, Fleet: n.client, Clock: n.clock, MaxPlanStaleness: n.Settings.MaxKeyStaleness(), Log: n.Log,
		DialTarget: n.DialTarget, RelayAddress: n.Settings.PeerAddress(), Secret: n.secret,
		ColdBound: coldBound(n.Settings), TargetPace: n.Settings.TargetPace, PaceSelective: n.Settings.PaceSelective,
		Backlog: gate.NewBacklog(gate.BacklogBytes(n.Settings.MemoryMB)), Received: n.received,
		Turns: &turns.Client{Peers: n.peers, Zone: n.Settings.Zone, Map: func() *turns.Map { return n.client.View().Map }},
	}
	n.client.OnChange = func(v fleet.View) { gt.TargetsChanged(v.Targets) }
	n.onSettings(func(s config.NodeSettings) {
		gt.Change(gate.Settings{MaxPlanStaleness: s.MaxKeyStaleness(), ColdBound: coldBound(s)})
		gt.Backlog.SetLimit(gate.BacklogBytes(s.MemoryMB))
	})
	listener, err := listen(ctx, n.Settings.CallerListen, n.Log)
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
	gateEnded := make(chan struct{})
	g.Go(func() error {
		defer close(gateEnded)
		return gt.Run(gateCtx)
	})
	server := &gate.Server{Gate: gt, Listener: listener}
	g.Go(server.Serve)
	g.Go(func() error {
		defer stop()
		waitEither(ctx, serveCtx)
		n.Log.Write(event.HostDraining, event.Fields{"host": n.Settings.Host})
		server.Grace = n.inForce().Grace()
		err := server.Drain(serveCtx)
		stopGate()
		<-gateEnded // It returns its shares of rate limits over the links, which end with stop.
		if err = errors.CombineErrors(err, server.Close()); err != nil {
			n.Log.Write(event.HostFailed, event.Fields{"host": n.Settings.Host, "error": err.Error(), "step": "drain"})
		}
		return nil
	})
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
	return n.serve(ctx, g, n.Settings.ReadyListen, intake.WithoutBodies(mux))
}
