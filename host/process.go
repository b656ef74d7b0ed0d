package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/entry"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Process is one process of a fleet whose settings list all control hosts. Set
// the exported fields, then call [Process.Run].
type Process struct {
	// Settings configure the process. They must have been validated.
	Settings config.Settings
	// Secret authenticates the processes of the fleet to each other. If it is
	// empty, it is read from Settings.ClusterSecretFile.
	Secret string
	// DrainLag is how long callers are still accepted after the context of
	// [Process.Run] ends. The default is 3 seconds; a negative value means
	// not at all.
	DrainLag time.Duration
	// Received bounds what the process holds for its peers on all ports. The default is a budget
	// of 256 MiB, since the settings do not tell the memory of the host: the largest order takes
	// half of it while it is received.
	Received *intake.Budget
	// Log receives events. The zero value discards them.
	Log event.Log

	client  *ctrl.Client
	clock   types.Clock
	entry   *entry.Entry
	control *Control
}

const (
	// shutdownTimeout bounds the wait for requests in flight.
	shutdownTimeout = ledger.MaxAttemptDuration + 10*time.Second
	minSecretLength = 16
	// defaultReceivedBytes is the default of [Process.Received].
	defaultReceivedBytes = 256 << 20
	// defaultDrainLag is how long a draining host keeps accepting callers,
	// because the load balancer notices late that it is not ready.
	defaultDrainLag = 3 * time.Second
)

// Run runs the process until ctx ends, then waits for requests in flight.
func (p *Process) Run(ctx context.Context) error {
	if err := p.prepare(); err != nil {
		return err
	}
	// serveCtx outlives ctx until the last request is answered. It also keeps
	// the links up until the replicas have stopped, because a leader needs them
	// to transfer its leadership.
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, serveCtx := errgroup.WithContext(serveCtx)
	controlDone := make(chan struct{})
	controlCtx, stopControl := context.WithCancel(serveCtx)
	stop := func() {
		stopControl()
		<-controlDone
		cancel()
	}
	g.Go(func() error { return p.client.Run(serveCtx) })
	if p.control != nil {
		if err := p.startPeerServer(serveCtx, g); err != nil {
			return err
		}
		g.Go(func() error {
			defer close(controlDone)
			return p.control.Run(controlCtx)
		})
	} else {
		close(controlDone)
	}
	if err := p.startAdminServer(serveCtx, g); err != nil {
		return err
	}
	p.Log.Write(event.HostStarted, event.Fields{"host": p.Settings.Host, "zone": p.Settings.Zone, "roles": p.Settings.Roles})
	if p.entry != nil {
		if err := p.startEntry(ctx, serveCtx, g, stop); err != nil {
			return err
		}
	} else {
		g.Go(func() error {
			waitEither(ctx, serveCtx)
			stop()
			return nil
		})
	}
	err := g.Wait()
	p.Log.Write(event.HostStopped, event.Fields{"host": p.Settings.Host})
	return err
}

func (p *Process) prepare() error {
	if p.Secret == "" {
		b, err := os.ReadFile(p.Settings.ClusterSecretFile)
		if err != nil {
			return errors.Wrap(err, "host: read cluster secret")
		}
		p.Secret = strings.TrimSpace(string(b))
	}
	if len(p.Secret) < minSecretLength {
		return errors.Newf("host: the cluster secret is shorter than %d characters", minSecretLength)
	}
	if p.DrainLag == 0 {
		p.DrainLag = defaultDrainLag
	}
	p.clock = types.NewClock()
	if p.Received == nil {
		p.Received = intake.NewBudget(defaultReceivedBytes)
	}
	s := p.Settings
	p.client = &ctrl.Client{Hosts: s.Control, Secret: p.Secret, Groups: s.Groups, Log: p.Log}
	if s.HasRole(config.RoleControl) {
		p.control = &Control{
			Settings: s, Client: p.client, Clock: p.clock, Log: p.Log,
			Releaser: HTTPReleaser{Client: p.client},
		}
	}
	if s.HasRole(config.RoleEntry) {
		p.entry = &entry.Entry{
			Host: s.Host, Zone: s.Zone, Client: p.client, Clock: p.clock, HostListFile: s.HostListFile, Received: p.Received, Log: p.Log,
		}
	}
	return nil
}

// startPeerServer serves connections from other processes of the fleet.
func (p *Process) startPeerServer(ctx context.Context, g *errgroup.Group) error {
	server := &wire.Server{Secret: p.Secret, Log: p.Log}
	p.control.Register(server)
	mux := http.NewServeMux()
	mux.Handle("/peer", server)
	listener, err := net.Listen("tcp", p.Settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "host: listen for peers")
	}
	serveOn(ctx, g, intake.ListenHosts(&retryListener{Listener: listener, log: p.Log}, p.Received), intake.WithoutBodies(mux), p.Log)
	return nil
}

// startAdminServer serves the administration interface, health checks and
// metrics if the settings give an address for them.
func (p *Process) startAdminServer(ctx context.Context, g *errgroup.Group) error {
	if p.Settings.AdminListen == "" {
		return nil
	}
	server := &manage.Server{
		Client: p.client, ControlHosts: p.Settings.Control, Operators: p.Settings.Operator,
		Ready: func() bool { return p.entry == nil || p.entry.Ready() }, Received: p.Received,
	}
	listener, err := net.Listen("tcp", p.Settings.AdminListen)
	if err != nil {
		return errors.Wrap(err, "host: listen for operators")
	}
	serveOn(ctx, g, listenerOf(&retryListener{Listener: listener, log: p.Log}, p.Received), server.Handler(), p.Log)
	return nil
}

// startEntry serves callers until ctx or serveCtx ends. It then drains the host
// and calls stop to end the rest of the process.
func (p *Process) startEntry(ctx, serveCtx context.Context, g *errgroup.Group, stop func()) error {
	listener, err := net.Listen("tcp", p.Settings.CallerListen)
	if err != nil {
		return errors.Wrap(err, "host: listen for callers")
	}
	server := newServer(p.entry.Handler(), p.Log)
	entryCtx, stopEntry := context.WithCancel(serveCtx)
	g.Go(func() error {
		return serve(server, intake.Listen(&retryListener{Listener: listener, log: p.Log}, p.Received, nil))
	})
	g.Go(func() error {
		defer stop()
		return p.entry.Run(entryCtx)
	})
	g.Go(func() error {
		defer stopEntry()
		waitEither(ctx, serveCtx)
		return p.drain(serveCtx, server)
	})
	return nil
}

// waitEither waits until a or b ends.
func waitEither(a, b context.Context) {
	select {
	case <-a.Done():
	case <-b.Done():
	}
}

// drain takes the host out of service: it makes the host unready, keeps
// accepting callers for DrainLag and then waits for requests in flight, up to
// shutdownTimeout.
func (p *Process) drain(ctx context.Context, server *http.Server) error {
	p.entry.Drain()
	if p.DrainLag > 0 {
		types.Sleep(ctx, p.DrainLag)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(ctx), "host: wait for requests in flight")
}
