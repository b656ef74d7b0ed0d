package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// NodeRole is what a [Node] does.
type NodeRole string

// The roles of a node.
const (
	NodeEntry   NodeRole = "entry"
	NodeControl NodeRole = "control"
	NodeStore   NodeRole = "store"
)

// Node is one process of a fleet that finds itself. Set the exported fields,
// then call [Node.Run].
type Node struct {
	// Role is what the process does.
	Role NodeRole
	// Settings are checked settings.
	Settings config.Node
	// Names are the header fields of callers and targets.
	Names gate.Names
	// ReadyPath is where an entry host is asked whether it takes callers.
	ReadyPath string
	// Operators makes the interface for operators of a control host.
	Operators func(client *fleet.Client) http.Handler
	// List reads the platform's list of targets.
	List func(ctx context.Context) ([]fleet.Target, error)
	// Log receives events. The zero value discards them.
	Log event.Log

	peers  *wire.Pool
	client *fleet.Client
	clock  types.Clock
	server *wire.Server
}

const (
	// memoryShare is the part of the host's memory that the runtime aims to
	// stay under; the rest is for stacks, buffers of the kernel and bursts.
	memoryShare = 0.6
	// listenPause spreads attempts to listen on a port that a process which is
	// ending still holds.
	listenPause = 100 * time.Millisecond
	listenTries = 50
)

// Run runs the process until ctx ends, then lets every request under way
// finish within the grace that the settings give.
func (n *Node) Run(ctx context.Context) error {
	if err := n.prepare(); err != nil {
		return err
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	g.Go(func() error { return n.peers.Run(inner) })
	if err := n.startMetrics(inner, g); err != nil {
		return err
	}
	n.Log.Write(event.HostStarted, event.Fields{"host": n.Settings.Host, "zone": n.Settings.Zone, "roles": n.Role, "founding": n.Settings.Founding})
	var err error
	switch n.Role {
	case NodeEntry:
		err = n.startEntry(ctx, inner, g, cancel)
	case NodeControl:
		err = n.startControl(ctx, inner, g, cancel)
	case NodeStore:
		err = n.startStore(ctx, inner, g, cancel)
	default:
		err = errors.Newf("host: %q is neither entry, control nor store", n.Role)
	}
	if err != nil {
		return err
	}
	err = g.Wait()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil // It was told to stop.
	}
	n.Log.Write(event.HostStopped, event.Fields{"host": n.Settings.Host})
	return err
}

func (n *Node) prepare() error {
	secret := ""
	if n.Settings.SecretFile != "" {
		b, err := os.ReadFile(n.Settings.SecretFile)
		if err != nil {
			return errors.Wrap(err, "host: read the secret")
		}
		secret = strings.TrimSpace(string(b))
	}
	if mb := n.Settings.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(mb<<20)))
	}
	n.clock = types.NewBootClock()
	n.peers = &wire.Pool{Secret: secret, Log: n.Log}
	n.server = &wire.Server{Secret: secret, Log: n.Log}
	n.client = &fleet.Client{Host: n.Settings.Host, Seeds: n.Settings.SeedPeers(), Peers: n.peers, Clock: n.clock, Log: n.Log}
	return nil
}

// startPeers answers our other processes.
func (n *Node) startPeers(ctx context.Context, g *errgroup.Group) error {
	mux := http.NewServeMux()
	mux.Handle("/peer", n.server)
	return n.serve(ctx, g, n.Settings.PeerListen(), mux)
}

func (n *Node) startMetrics(ctx context.Context, g *errgroup.Group) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return n.serve(ctx, g, n.Settings.Metrics(), mux)
}

// serve listens at once and serves until ctx ends.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, address string, h http.Handler) error {
	listener, err := listen(ctx, address)
	if err != nil {
		return err
	}
	serveOn(ctx, g, listener, h)
	return nil
}

// listen waits for a port that a process which is ending still holds.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var failure error
	for range listenTries {
		l, err := net.Listen("tcp4", address)
		if err == nil {
			return l, nil
		}
		failure = err
		if !types.Sleep(ctx, listenPause) {
			break
		}
	}
	return nil, errors.Wrap(failure, "host: listen")
}

// startControl runs a control host.
func (n *Node) startControl(ctx, inner context.Context, g *errgroup.Group, stop func()) error {
	control := &fleet.Control{
		Address: n.Settings.Peer(), Seeds: n.Settings.SeedPeers(), Founding: n.Settings.Founding, Dir: n.Settings.DataDir,
		Losses: n.Settings.Losses, Peers: n.peers, Clock: n.clock, List: n.List, Log: n.Log,
	}
	control.Register(n.server)
	if err := n.startPeers(inner, g); err != nil {
		return err
	}
	g.Go(func() error { return n.client.Run(inner) })
	if n.Operators != nil && n.Settings.OperatorListen != "" {
		if err := n.serve(inner, g, n.Settings.OperatorListen, n.Operators(n.client)); err != nil {
			return err
		}
	}
	controlCtx, stopControl := context.WithCancel(inner)
	g.Go(func() error {
		defer stop() // The links outlive the replica, which hands its lead over.
		return control.Run(controlCtx)
	})
	g.Go(func() error {
		defer stopControl()
		waitEither(ctx, inner)
		return nil
	})
	return nil
}
