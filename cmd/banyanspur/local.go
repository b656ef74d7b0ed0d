package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
)

type localCommand struct {
	Port    int    `long:"port" default:"8400" description:"First of the 40 ports to use on 127.0.0.1"`
	Data    string `long:"data" description:"Directory for the state; default: a new temporary directory"`
	Verbose bool   `long:"verbose" short:"v" description:"Write log events to standard error"`
}

// Port offsets of a local fleet, relative to its first port. Entry hosts start at
// offset 0.
const (
	controlPortOffset = 10
	adminPortOffset   = 20
	targetPortOffset  = 30
)

var localZones = []types.ZoneID{"zone-a", "zone-b", "zone-c"}

// localFleet is a fleet whose hosts and stand-in targets all run in this process.
type localFleet struct {
	port        int // first port of the fleet
	dataDir     string
	log         event.Log
	secret      string // shared by the hosts to authenticate each other
	operatorKey string
	callerKey   string
}

// Execute runs the fleet until SIGTERM or SIGINT.
func (c *localCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f := &localFleet{port: c.Port, dataDir: c.Data, secret: types.RandomID(), operatorKey: types.RandomID(), callerKey: types.RandomID()}
	if c.Verbose {
		log, stopLog := event.NewAsync(os.Stderr)
		defer stopLog()
		f.log = log
	}
	if f.dataDir == "" {
		dir, err := os.MkdirTemp("", "banyanspur-")
		if err != nil {
			return errors.Wrap(err, "banyanspur: create data directory")
		}
		defer os.RemoveAll(dir)
		f.dataDir = dir
	}
	return f.run(ctx)
}

func (f *localFleet) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	f.startTargets(ctx, g)
	for i := range localZones {
		g.Go(func() error { return f.process(config.RoleControl, i).Run(ctx) })
		g.Go(func() error { return f.process(config.RoleEntry, i).Run(ctx) })
	}
	g.Go(func() error {
		if err := f.configure(ctx); err != nil {
			return err
		}
		f.printUsage()
		return nil
	})
	return g.Wait()
}

func (f *localFleet) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", f.port+offset) }

// process returns the control or entry host of the i-th zone.
func (f *localFleet) process(role config.Role, i int) *host.Process {
	s := config.Settings{
		Host: types.HostID(fmt.Sprintf("%s-%s", role, localZones[i])), Zone: localZones[i], Roles: []config.Role{role}, Groups: 1,
		Operator: []config.Operator{{Name: "local", KeyHash: types.HashKey(f.operatorKey)}},
	}
	for j, zone := range localZones {
		s.Control = append(s.Control, config.ControlHost{
			Host: types.HostID(fmt.Sprintf("%s-%s", config.RoleControl, zone)), Address: f.address(controlPortOffset + j),
		})
	}
	if role == config.RoleControl {
		s.PeerListen = f.address(controlPortOffset + i)
		s.AdminListen = f.address(adminPortOffset + i)
		s.DataDir = filepath.Join(f.dataDir, string(s.Host))
	} else {
		s.CallerListen = f.address(i)
	}
	// No load balancer has to notice that the host is draining, so DrainLag is off.
	return &host.Process{Settings: s, Secret: f.secret, DrainLag: -1, Log: f.log}
}

// startTargets starts the stand-in targets: two engines, a plain service and a
// tool service.
func (f *localFleet) startTargets(ctx context.Context, g *errgroup.Group) {
	for i := range 2 {
		engine := &fakes.Engine{PrefillRate: 8000, TokenTime: 20 * time.Millisecond, Seed: uint64(i)}
		f.startTarget(ctx, g, i, engine.Handler())
	}
	f.startTarget(ctx, g, 2, &fakes.Service{})
	f.startTarget(ctx, g, 3, &fakes.Service{})
}

func (f *localFleet) startTarget(ctx context.Context, g *errgroup.Group, i int, h http.Handler) {
	server := &http.Server{Addr: f.address(targetPortOffset + i), Handler: h, ReadHeaderTimeout: time.Second}
	g.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "banyanspur: serve stand-in target")
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

// questionnaire returns the questionnaire of the local fleet, in TOML.
func (f *localFleet) questionnaire() string {
	return fmt.Sprintf(`
[[account]]
name = "demo"
requestsPerSecond = 50.0
burst = 100
keyHashes = [%q]

[[service]]
name = "assistant"
kind = "model"
[[service.target]]
name = "engine-1"
address = %q
zone = "zone-a"
[[service.target]]
name = "engine-2"
address = %q
zone = "zone-b"

[[service]]
name = "booking"
kind = "plain"
nonIdempotent = ["/deposits", "/holds"]
[[service.target]]
name = "booking-1"
address = %q
zone = "zone-a"

[[service]]
name = "search"
kind = "tool"
openToAll = true
[[service.target]]
name = "search-1"
address = %q
zone = "zone-c"
`, types.HashKey(f.callerKey), f.address(targetPortOffset), f.address(targetPortOffset+1), f.address(targetPortOffset+2), f.address(targetPortOffset+3))
}

// configure waits until the control hosts have a leader, and then puts the
// questionnaire into force.
func (f *localFleet) configure(ctx context.Context) error {
	next, err := config.ParseQuestionnaire("local questionnaire", []byte(f.questionnaire()))
	if err != nil {
		return err
	}
	a := adminClient{address: f.address(adminPortOffset), key: f.operatorKey}
	for ctx.Err() == nil {
		current, err := a.fleet()
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		return a.submitOrder(manage.OrderBody{ID: orderID(""), Base: current.Version, Change: current.Diff(next), Summary: "local fleet"})
	}
	return nil
}

func (f *localFleet) printUsage() {
	fmt.Printf(`
banyanspur is up: 3 control hosts, 3 entry hosts, 4 stand-in targets.

  entry hosts   http://%s  http://%s  http://%s
  administration http://%s (operator's key %s)
  caller's key  %s

Try:
  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Is the big room free on Friday?"}]}'

Stop with Ctrl-C.
`, f.address(0), f.address(1), f.address(2), f.address(adminPortOffset), f.operatorKey, f.callerKey, f.address(0), f.callerKey)
}
