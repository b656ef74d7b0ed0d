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
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Process is one process of banyanspur. Set the exported fields, then call
// [Process.Run].
type Process struct {
	// Settings are checked settings.
	Settings config.Settings
	// Secret is what our processes share. If it is empty, it is read from the
	// settings' file.
	Secret string
	// DrainLag is how long callers are still accepted after the process was
	// told to stop. The default is 3 seconds; negative stands for none.
	DrainLag time.Duration
	// Log receives events. The zero value discards them.
	Log event.Log

	client  *ctrl.Client
	clock   types.Clock
	entry   *entry.Entry
	control *Control
}

const (
	headerTimeout = 5 * time.Second
	maxHeader     = 64 << 10
	callerIdle    = 2 * time.Minute
	// finishTimeout bounds how long requests under way are waited for.
	finishTimeout = ledger.MaxAttempt + 10*time.Second
	minSecret     = 16
	// drainLag is how long a host that is leaving goes on accepting callers,
	// since the balancer notices late.
	drainLag = 3 * time.Second
)

// Run runs the process until ctx ends, then lets every request under way
// finish.
func (p *Process) Run(ctx context.Context) error {
	if err := p.prepare(); err != nil {
		return err
	}
	// What serves requests outlives ctx until the last request is answered,
	// and the links outlive the replicas, which hand their lead over.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, inner := errgroup.WithContext(inner)
	controlDone := make(chan struct{})
	controlCtx, stopControl := context.WithCancel(inner)
	stop := func() {
		stopControl()
		<-controlDone
		cancel()
	}
	g.Go(func() error { return p.client.Run(inner) })
	if p.control != nil {
		if err := p.startPeers(inner, g); err != nil {
			return err
		}
		g.Go(func() error {
			defer close(controlDone)
			return p.control.Run(controlCtx)
		})
	} else {
		close(controlDone)
	}
	if err := p.startAdmin(inner, g); err != nil {
		return err
	}
	p.Log.Write(event.HostStarted, event.Fields{"host": p.Settings.Host, "zone": p.Settings.Zone, "roles": p.Settings.Roles})
	if p.entry != nil {
		if err := p.startEntry(ctx, inner, g, stop); err != nil {
			return err
		}
	} else {
		g.Go(func() error {
			waitEither(ctx, inner)
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
	if len(p.Secret) < minSecret {
		return errors.Newf("host: the cluster secret is shorter than %d characters", minSecret)
	}
	if p.DrainLag == 0 {
		p.DrainLag = drainLag
	}
	p.clock = types.NewClock()
	s := p.Settings
	p.client = &ctrl.Client{Hosts: s.Control, Secret: p.Secret, Groups: s.Groups, Log: p.Log}
	if s.Has(config.RoleControl) {
		p.control = &Control{
			Settings: s, Client: p.client, Clock: p.clock, Log: p.Log,
			Releaser: HTTPReleaser{Client: p.client},
		}
	}
	if s.Has(config.RoleEntry) {
		p.entry = &entry.Entry{
			Host: s.Host, Zone: s.Zone, Client: p.client, Clock: p.clock, HostList: s.HostListFile, Log: p.Log,
		}
	}
	return nil
}

// startPeers answers our other processes.
func (p *Process) startPeers(ctx context.Context, g *errgroup.Group) error {
	server := &wire.Server{Secret: p.Secret, Log: p.Log}
	p.control.Register(server)
	mux := http.NewServeMux()
	mux.Handle("/peer", server)
	return serveUntilDone(ctx, g, p.Settings.PeerListen, mux)
}

// startAdmin answers operators, health checks and metrics.
func (p *Process) startAdmin(ctx context.Context, g *errgroup.Group) error {
	if p.Settings.AdminListen == "" {
		return nil
	}
	server := &manage.Server{
		Client: p.client, Control: p.Settings.Control, Operators: p.Settings.Operator,
		Ready: func() bool { return p.entry == nil || p.entry.Ready() },
	}
	return serveUntilDone(ctx, g, p.Settings.AdminListen, server.Handler())
}

// startEntry serves callers until outer ends, lets what is under way finish,
// and then stops the rest of the process.
func (p *Process) startEntry(outer, inner context.Context, g *errgroup.Group, stop func()) error {
	listener, err := net.Listen("tcp", p.Settings.CallerListen)
	if err != nil {
		return errors.Wrap(err, "host: listen for callers")
	}
	server := &http.Server{
		Handler: p.entry.Handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, IdleTimeout: callerIdle,
	}
	entryCtx, stopEntry := context.WithCancel(inner)
	g.Go(func() error { return serve(server, listener) })
	g.Go(func() error {
		defer stop()
		return p.entry.Run(entryCtx)
	})
	g.Go(func() error {
		defer stopEntry()
		waitEither(outer, inner)
		return p.drain(inner, server)
	})
	return nil
}

// waitEither waits until one of the contexts ends.
func waitEither(a, b context.Context) {
	select {
	case <-a.Done():
	case <-b.Done():
	}
}

// drain takes the host out of service without cutting off a request.
func (p *Process) drain(ctx context.Context, server *http.Server) error {
	p.entry.Drain()
	if p.DrainLag > 0 {
		types.Sleep(ctx, p.DrainLag)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(ctx), "host: finish requests")
}

// serveUntilDone listens at once and serves until ctx ends.
func serveUntilDone(ctx context.Context, g *errgroup.Group, address string, h http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "host: listen")
	}
	serveOn(ctx, g, listener, h)
	return nil
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "host: serve")
	}
	return nil
}
