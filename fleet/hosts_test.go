package fleet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// stepTimeout bounds a step that must succeed. It is long, so that tests pass
// on a busy machine.
const stepTimeout = 30 * time.Second

// process is a host of a test fleet that can be stopped and restarted.
type process struct {
	t       testing.TB
	address string
	dir     string
	// start registers the host's handlers with server and starts its goroutines
	// in g.
	start func(ctx context.Context, g *errgroup.Group, peers *wire.Pool, server *wire.Server)
	// stop stops the process. It is set by run.
	stop func()
	// While syncPaused is set, a store sends no requests to the leader, but serves. pauseSync
	// cancels the one that is under way.
	syncPaused atomic.Bool
	pauseSync  atomic.Pointer[context.CancelFunc]
}

// pause keeps a store from sending requests to the leader until resume is called.
func (p *process) pause() {
	p.syncPaused.Store(true)
	(*p.pauseSync.Load())()
}

func (p *process) resume() { p.syncPaused.Store(false) }

func newProcess(t testing.TB) *process {
	t.Helper()
	return &process{t: t, address: reserveAddress(t), dir: filepath.Join(t.TempDir(), "data")}
}

// reserveAddress returns an address that only listeners which ask for it get until the test ends.
// Its socket is bound and does not listen: connections are refused, and the kernel gives the port
// to no other socket while no process of the test listens on it.
func reserveAddress(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	// Listeners have the option, too; sockets that all have it may share a port.
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		t.Fatal(err)
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
}

// run starts the process, and stops it at the end of the test.
func (p *process) run() {
	p.t.Helper()
	var l net.Listener
	var err error
	for range 100 { // The previous run may still hold the port.
		if l, err = net.Listen("tcp4", p.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	g, inner := errgroup.WithContext(ctx)
	peers := &wire.Pool{}
	server := &wire.Server{}
	p.start(inner, g, peers, server)
	mux := http.NewServeMux()
	mux.Handle("/peer", server)
	s := &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return inner }}
	g.Go(func() error { return peers.Run(inner) })
	g.Go(func() error { _ = s.Serve(l); return nil })
	p.stop = func() {
		cancel()
		_ = s.Close()
		_ = g.Wait()
		p.stop = func() {}
	}
	p.t.Cleanup(func() { p.stop() })
}

// testFleet is a set of control hosts and stores.
type testFleet struct {
	t              testing.TB
	seeds          []string
	controls       []*process
	stores         []*process
	losses         int          // value of fleet.Control.Losses for all control hosts
	targetPace     bool         // value of fleet.Control.TargetPace for all control hosts
	coldUntil      atomic.Int64 // Unix time in nanoseconds until which the listed targets stay cold
	allowBootstrap atomic.Bool  // value of fleet.Control.AllowBootstrap for control hosts started from now on
	// targets is the platform's list. While it is nil, the list cannot be fetched.
	targets atomic.Pointer[[]fleet.Target]
	log     event.Log // of the control hosts
	// holdCopies keeps stores that are started from now on from copying shards while it
	// is set.
	holdCopies atomic.Bool
	disk       []store.Disk     // of the first control hosts
	running    []*fleet.Control // those that were started, in this order
}

func newFleet(t testing.TB, controls int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, losses: 1}
	f.allowBootstrap.Store(true)
	f.targets.Store(&[]fleet.Target{{ID: "t1", Service: "models", Address: "127.0.0.1:1"}})
	for range controls {
		f.addControl()
	}
	for _, c := range f.controls[:min(3, controls)] {
		f.seeds = append(f.seeds, c.address)
	}
	return f
}

// addControl adds a control host without starting it.
func (f *testFleet) addControl() *process {
	p := newProcess(f.t)
	n := len(f.controls)
	p.start = func(ctx context.Context, g *errgroup.Group, peers *wire.Pool, server *wire.Server) {
		disk := store.Disk{}
		if n < len(f.disk) {
			disk = f.disk[n]
		}
		c := &fleet.Control{
			Disk:    disk,
			Address: p.address, Seeds: f.seeds, TargetPace: f.targetPace, AllowBootstrap: f.allowBootstrap.Load(), Dir: p.dir, Losses: f.losses, Peers: peers, Clock: types.NewClock(), Log: f.log,
			ListTargets: func(context.Context) ([]fleet.Target, error) {
				list := f.targets.Load()
				if list == nil {
					return nil, errors.New("no list")
				}
				targets := slices.Clone(*list)
				for i := range targets {
					targets[i].ColdLeft = max(0, time.Until(time.Unix(0, f.coldUntil.Load())))
				}
				return targets, nil
			},
		}
		f.running = append(f.running, c)
		c.Register(server)
		g.Go(func() error {
			err := c.Run(ctx)
			if err != nil {
				f.t.Logf("control host %s: %v", p.address, err)
			}
			return err
		})
	}
	f.controls = append(f.controls, p)
	return p
}

// addStore adds a store and starts it.
func (f *testFleet) addStore(host types.HostID) *process {
	p := newProcess(f.t)
	p.start = func(ctx context.Context, g *errgroup.Group, peers *wire.Pool, server *wire.Server) {
		s := &turns.Store{Dir: p.dir, Clock: types.NewClock()}
		id, err := s.Open()
		if err != nil {
			f.t.Error(err)
			return
		}
		s.Register(server)
		client := &fleet.Client{
			Host: host, Seeds: f.seeds, Peers: peers, Clock: types.NewClock(), Store: &turns.Member{ID: id, Host: host, Address: p.address},
			OnChange: func(v fleet.View) {
				if v.Map != nil {
					s.SetMap(v.Map)
				}
			},
		}
		g.Go(func() error {
			for ctx.Err() == nil {
				runCtx, pause := context.WithCancel(ctx)
				p.pauseSync.Store(&pause)
				_ = client.Run(runCtx) // Always nil.
				pause()
				for p.syncPaused.Load() && types.Sleep(ctx, 10*time.Millisecond) {
				}
			}
			return nil
		})
		g.Go(func() error { return s.Run(ctx) })
		g.Go(func() error {
			for f.holdCopies.Load() && types.Sleep(ctx, 10*time.Millisecond) {
			}
			return s.CopyShards(ctx, peers)
		})
		g.Go(func() error {
			for types.Sleep(ctx, 20*time.Millisecond) {
				if p.syncPaused.Load() {
					continue
				}
				_ = client.ReportCopied(ctx, fleet.CopiedRequest{Store: id, Copied: s.CopiedShards()}) // Repeated in the next iteration.
			}
			return nil
		})
	}
	f.stores = append(f.stores, p)
	p.run()
	return p
}

// client starts a client of the fleet, and stops it at the end of the test.
func (f *testFleet) client(host types.HostID) (*fleet.Client, *wire.Pool) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	peers := &wire.Pool{}
	c := &fleet.Client{Host: host, Seeds: f.seeds, Peers: peers, Clock: types.NewClock()}
	g.Go(func() error { return peers.Run(ctx) })
	g.Go(func() error { return c.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return c, peers
}

func (f *testFleet) runAll() {
	for _, c := range f.controls {
		c.run()
	}
}

// waitForVoters waits until each of the running control hosts reports the given
// number of voters, including itself. Until then, a replaced or restarted host
// still counts as one of the tolerated losses.
func (f *testFleet) waitForVoters(peers *wire.Pool, voters int, running ...*process) {
	f.t.Helper()
	for i, p := range running {
		lastReply := "no reply"
		f.t.Cleanup(func() {
			if f.t.Failed() {
				f.t.Logf("last reply of control host %d, %s: %s", i, p.address, lastReply)
			}
		})
		waitFor(f.t, "the expected voters", func() bool {
			r, err := hello(peers, p.address)
			lastReply = fmt.Sprintf("%+v, %v", r, err)
			return err == nil && len(r.Members.Voters) == voters && r.Members.IsVoter(r.ID)
		})
	}
}

// hello returns what the control host at address reports of its replica.
func hello(peers *wire.Pool, address string) (fleet.HelloReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link := peers.Link(address)
	if !link.WaitConnected(ctx) {
		return fleet.HelloReply{}, errors.New("no connection")
	}
	return wire.Call[fleet.HelloRequest, fleet.HelloReply](ctx, link, fleet.KindHello, fleet.HelloRequest{})
}

// putPlan puts a plan with the given version and one account, and returns the
// version in force afterwards.
func putPlan(t *testing.T, c *fleet.Client, version types.Version, account types.AccountID) types.Version {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	result, err := c.Put(ctx, planRequest(version, account))
	if err != nil {
		t.Fatal(err)
	}
	return result.PlanVersion
}

// planRequest returns the request to put a plan with the given version and one account.
func planRequest(version types.Version, account types.AccountID) fleet.PutPlan {
	p := plan.Plan{Version: version, Accounts: []plan.Account{{Name: account, Rate: 10, Burst: 10}}}
	return fleet.PutPlan{Document: fleet.Document{Body: []byte(fmt.Sprintf("%d %s", version, account)), Plan: p}}
}

// readPlan returns the original form of the plan in force.
func readPlan(t *testing.T, c *fleet.Client) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	reply, err := c.Read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return string(reply.Body)
}

// waitFor polls done until it returns true, and fails the test after
// stepTimeout.
func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
