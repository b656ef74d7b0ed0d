package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// NodeRole selects what a [Node] runs.
type NodeRole string

// The roles of a [Node].
const (
	NodeEntry   NodeRole = "entry"   // entry host, which serves callers
	NodeControl NodeRole = "control" // control host, a replica of the configuration group
	NodeStore   NodeRole = "store"   // store of turns
)

// Node is one process of a fleet that discovers its control hosts through seed
// addresses. Set the exported fields, then call [Node.Run].
type Node struct {
	// Role selects what the process runs.
	Role NodeRole
	// Settings configure the process. They must have been validated.
	Settings config.NodeSettings
	// HeaderNames are the names of the header fields that callers and targets use.
	HeaderNames gate.HeaderNames
	// ReadyPath is the URL path of an entry host's readiness check.
	ReadyPath string
	// OperatorHandler returns the handler of a control host's operator interface, which counts
	// the bodies of requests in received. If it is nil, the interface is not served.
	OperatorHandler func(client *fleet.Client, received *intake.Budget) http.Handler
	// ListTargets reads the platform's list of targets, on a control host. It may be
	// nil.
	ListTargets func(ctx context.Context) ([]fleet.Target, error)
	// DialTarget opens connections of an entry host to targets. The default is
	// [fetch.DialTCP].
	DialTarget func(ctx context.Context, address string) (net.Conn, error)
	// SettingsFile is the file that Settings were read from. Its changes are applied while the
	// process runs, as far as possible. If it is empty, there are none.
	SettingsFile string
	// Reload makes the process read SettingsFile at once. It may be nil.
	Reload <-chan os.Signal
	// Disk performs the operations on the files of a control host or a store.
	Disk store.Disk
	// Log receives events. The zero value discards them.
	Log event.Log

	changed    atomic.Pointer[config.NodeSettings] // settings in force; nil as long as they are Settings
	appliers   []func(s config.NodeSettings)       // called after each change
	secret     string
	peers      *wire.Pool
	client     *fleet.Client
	clock      types.Clock
	peerServer *wire.Server
	// received bounds what the process holds for its peers, except on the ports of checks.
	received *intake.Budget
}

const (
	// memoryLimitShare is the fraction of Settings.MemoryMB that is set as the
	// memory limit of the Go runtime; the rest is for stacks, kernel buffers and
	// bursts.
	memoryLimitShare = 0.6
	// listenRetryInterval is the pause between attempts to listen on a port that
	// a terminating process still uses.
	listenRetryInterval = 100 * time.Millisecond
	maxListenAttempts   = 50
)

// Run runs the process until ctx ends, then waits for requests in flight within
// the grace period of the settings.
func (n *Node) Run(ctx context.Context) error {
	if err := n.prepare(); err != nil {
		return err
	}
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, serveCtx := errgroup.WithContext(serveCtx)
	g.Go(func() error { return n.peers.Run(serveCtx) })
	memory := &MemoryWatch{Limit: func() int64 { return n.inForce().MemoryMB << 20 }, Log: n.Log}
	g.Go(func() error { return memory.Run(serveCtx) })
	if err := n.startMetricsServer(serveCtx, g); err != nil {
		return err
	}
	n.Log.Write(event.HostStarted, event.Fields{"host": n.Settings.Host, "zone": n.Settings.Zone, "roles": n.Role, "founding": n.Settings.Founding})
	var err error
	switch n.Role {
	case NodeEntry:
		err = n.startEntry(ctx, serveCtx, g, cancel)
	case NodeControl:
		err = n.startControl(ctx, serveCtx, g, cancel)
	case NodeStore:
		err = n.startStore(ctx, serveCtx, g, cancel)
	default:
		err = errors.Newf("host: unknown role %q, want entry, control or store", n.Role)
	}
	if err != nil {
		return err
	}
	if n.SettingsFile != "" {
		g.Go(func() error { return n.watchSettings(serveCtx) })
	}
	err = g.Wait()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil // A regular shutdown.
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
	if n.Settings.MemoryMB > 0 {
		setMemoryLimit(n.Settings)
	}
	n.secret = secret
	n.clock = types.NewBootClock()
	n.received = intake.NewBudget(intake.Bytes(n.Settings.MemoryMB))
	n.received.SetLog(n.Log)
	messages := wire.NewBudget(n.Settings.MemoryMB << 20)
	n.peers = &wire.Pool{Secret: secret, Log: n.Log, OwnAddress: n.Settings.PeerAddress(), Budget: messages}
	n.peerServer = &wire.Server{Secret: secret, Log: n.Log, OnPeer: n.peers.Redial, Budget: messages}
	n.client = &fleet.Client{Host: n.Settings.Host, Zone: n.Settings.Zone, Seeds: n.Settings.SeedPeerAddresses(), Peers: n.peers, Clock: n.clock, Log: n.Log}
	n.onSettings(func(s config.NodeSettings) { n.client.SetSeeds(s.SeedPeerAddresses()) })
	if n.Role != NodeStore {
		n.onSettings(setMemoryLimit)
		n.onSettings(func(s config.NodeSettings) { n.received.SetLimit(intake.Bytes(s.MemoryMB)) })
		n.onSettings(func(s config.NodeSettings) { messages.SetMemory(s.MemoryMB << 20) })
	}
	return nil
}

// coldBound returns the bound on the requests to cold targets.
func coldBound(s config.NodeSettings) limit.ColdBound {
	return limit.ColdBound{Over: s.ColdOver, Slack: s.ColdSlack}
}

// startPeerServer serves connections from other processes of the fleet, and the given
// handlers by path.
func (n *Node) startPeerServer(ctx context.Context, g *errgroup.Group, handlers map[string]http.Handler) error {
	mux := http.NewServeMux()
	mux.Handle("/peer", n.peerServer)
	for path, h := range handlers {
		mux.Handle(path, h)
	}
	listener, err := listen(ctx, n.Settings.PeerListen(), n.Log)
	if err != nil {
		return err
	}
	serveOn(ctx, g, intake.ListenHosts(listener, n.received), intake.WithoutBodies(mux), n.Log)
	return nil
}

func (n *Node) startMetricsServer(ctx context.Context, g *errgroup.Group) error {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return n.serve(ctx, g, n.Settings.MetricsAddress(), intake.WithoutBodies(mux))
}

// checkBytes is the budget of a port for readiness checks or metrics. Callers have no part in it: a
// host that is busy with their requests would be taken for one that is not ready.
const checkBytes = 2 << 20

// serve listens on address, a port for checks, before it returns, and serves h in g until ctx ends.
func (n *Node) serve(ctx context.Context, g *errgroup.Group, address string, h http.Handler) error {
	listener, err := listen(ctx, address, n.Log)
	if err != nil {
		return err
	}
	received := intake.NewBudget(checkBytes)
	received.SetLog(n.Log)
	serveOn(ctx, g, listenerOf(listener, received), h, n.Log)
	return nil
}

// listen listens on a TCP address. It makes up to maxListenAttempts attempts,
// because a terminating process may still use the port.
func listen(ctx context.Context, address string, log event.Log) (net.Listener, error) {
	var lastErr error
	for range maxListenAttempts {
		l, err := net.Listen("tcp4", address)
		if err == nil {
			return &retryListener{Listener: l, log: log}, nil
		}
		lastErr = err
		if !types.Sleep(ctx, listenRetryInterval) {
			break
		}
	}
	return nil, errors.Wrap(lastErr, "host: listen")
}

// startControl runs a control host in g until ctx or serveCtx ends, and calls
// stop once its replica has stopped.
func (n *Node) startControl(ctx, serveCtx context.Context, g *errgroup.Group, stop func()) error {
	control := &fleet.Control{
		Address: n.Settings.PeerAddress(), Seeds: n.Settings.SeedPeerAddresses(), AllowBootstrap: n.Settings.Founding, Dir: n.Settings.DataDir, Disk: n.Disk,
		Losses: n.Settings.Losses, ZoneLosses: n.Settings.ZoneLosses, Peers: n.peers, Clock: n.clock, ListTargets: n.ListTargets, ColdBound: coldBound(n.Settings), TargetPace: n.Settings.TargetPace, Log: n.Log,
	}
	n.onSettings(func(s config.NodeSettings) {
		control.Change(fleet.ControlSettings{Seeds: s.SeedPeerAddresses(), Losses: s.Losses, ZoneLosses: s.ZoneLosses, ColdBound: coldBound(s)})
	})
	control.Register(n.peerServer)
	if err := n.startPeerServer(serveCtx, g, nil); err != nil {
		return err
	}
	g.Go(func() error { return n.client.Run(serveCtx) })
	var drained sync.WaitGroup
	drained.Add(2)
	if err := n.startOperatorServer(ctx, serveCtx, g, drained.Done); err != nil {
		return err
	}
	controlCtx, stopControl := context.WithCancel(serveCtx)
	g.Go(func() error {
		defer drained.Done()
		return control.Run(controlCtx)
	})
	g.Go(func() error {
		defer stopControl()
		waitEither(ctx, serveCtx)
		return nil
	})
	g.Go(func() error {
		// Not earlier: the replica transfers its leadership over the links, and operators'
		// requests in flight go to the next leader over them.
		defer stop()
		drained.Wait()
		return nil
	})
	return nil
}
