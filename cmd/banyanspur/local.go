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
	Port    int    `long:"port" default:"8400" description:"First of the 40 ports that are used on 127.0.0.1"`
	Data    string `long:"data" description:"Folder for the state; a new temporary one if not given"`
	Verbose bool   `long:"verbose" short:"v" description:"Write log events to standard error"`
}

// The ports of a local fleet, relative to the first.
const (
	portControl = 10
	portAdmin   = 20
	portTarget  = 30
)

var localZones = []types.ZoneID{"zone-a", "zone-b", "zone-c"}

// localFleet is a whole fleet in this process.
type localFleet struct {
	port     int
	data     string
	log      event.Log
	secret   string
	operator string // key
	caller   string // key
}

// Execute runs the fleet until SIGTERM or SIGINT.
func (c *localCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	f := &localFleet{port: c.Port, data: c.Data, secret: types.RandomID(), operator: types.RandomID(), caller: types.RandomID()}
	if c.Verbose {
		f.log = event.New(os.Stderr)
	}
	if f.data == "" {
		dir, err := os.MkdirTemp("", "banyanspur-")
		if err != nil {
			return errors.Wrap(err, "banyanspur: make data folder")
		}
		defer os.RemoveAll(dir)
		f.data = dir
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

// process returns the control or entry process of one zone.
func (f *localFleet) process(role config.Role, i int) *host.Process {
	s := config.Settings{
		Host: types.HostID(fmt.Sprintf("%s-%s", role, localZones[i])), Zone: localZones[i], Roles: []config.Role{role}, Groups: 1,
		Operator: []config.Operator{{Name: "local", KeyHash: types.HashKey(f.operator)}},
	}
	for j, zone := range localZones {
		s.Control = append(s.Control, config.ControlHost{
			Host: types.HostID(fmt.Sprintf("%s-%s", config.RoleControl, zone)), Address: f.address(portControl + j),
		})
	}
	if role == config.RoleControl {
		s.PeerListen = f.address(portControl + i)
		s.AdminListen = f.address(portAdmin + i)
		s.DataDir = filepath.Join(f.data, string(s.Host))
	} else {
		s.CallerListen = f.address(i)
	}
	return &host.Process{Settings: s, Secret: f.secret, DrainLag: -1, Log: f.log}
}

// startTargets starts two engines, a plain service and a tool service.
func (f *localFleet) startTargets(ctx context.Context, g *errgroup.Group) {
	for i := range 2 {
		engine := &fakes.Engine{PrefillRate: 8000, TokenTime: 20 * time.Millisecond, Seed: uint64(i)}
		f.startTarget(ctx, g, i, engine.Handler())
	}
	f.startTarget(ctx, g, 2, &fakes.Service{})
	f.startTarget(ctx, g, 3, &fakes.Service{})
}

func (f *localFleet) startTarget(ctx context.Context, g *errgroup.Group, i int, h http.Handler) {
	server := &http.Server{Addr: f.address(portTarget + i), Handler: h, ReadHeaderTimeout: time.Second}
	g.Go(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "banyanspur: stand-in target")
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

// questionnaire returns the answers for the local fleet.
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
`, types.HashKey(f.caller), f.address(portTarget), f.address(portTarget+1), f.address(portTarget+2), f.address(portTarget+3))
}

// configure waits for a leader and brings the questionnaire into force.
func (f *localFleet) configure(ctx context.Context) error {
	next, err := config.ParseQuestionnaire("local questionnaire", []byte(f.questionnaire()))
	if err != nil {
		return err
	}
	a := api{address: f.address(portAdmin), key: f.operator}
	for ctx.Err() == nil {
		current, err := a.fleet()
		if err != nil {
			time.Sleep(pollInterval)
			continue
		}
		return a.order(manage.OrderBody{ID: orderID(""), Base: current.Version, Change: current.Diff(next), Summary: "local fleet"})
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
`, f.address(0), f.address(1), f.address(2), f.address(portAdmin), f.operator, f.caller, f.address(0), f.caller)
}
