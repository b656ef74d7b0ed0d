package fleet_test

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// controlStub is a control host that replies as the leader while leading is
// set, and otherwise does not reply.
type controlStub struct {
	leading atomic.Bool
	syncs   atomic.Int32 // number of sync requests received while leading
}

func (s *controlStub) start(ctx context.Context, t *testing.T) (address string) {
	t.Helper()
	server := &wire.Server{}
	wire.Handle(server, fleet.KindSync, func(ctx context.Context, _ fleet.SyncRequest) (fleet.SyncReply, error) {
		if !s.leading.Load() {
			<-ctx.Done()
			return fleet.SyncReply{}, ctx.Err()
		}
		s.syncs.Add(1)
		types.Sleep(ctx, 100*time.Millisecond)
		return fleet.SyncReply{}, nil
	})
	wire.Handle(server, fleet.KindLimits, func(ctx context.Context, _ fleet.LimitsRequest) (fleet.LimitsReply, error) {
		if !s.leading.Load() {
			<-ctx.Done()
			return fleet.LimitsReply{}, ctx.Err()
		}
		return fleet.LimitsReply{Allotments: map[types.AccountID]limit.Allotment{}}, nil
	})
	h := httptest.NewUnstartedServer(server)
	h.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	h.Start()
	t.Cleanup(h.Close)
	return strings.TrimPrefix(h.URL, "http://")
}

// TestSyncFollowsLeaderFoundByAnotherRequest guards against a sync request that
// stays blocked on an unresponsive former leader. When a renewal of limits
// finds the new leader, the client must sync with it at once instead of waiting
// for the pending sync request to time out, which takes an hour here.
func TestSyncFollowsLeaderFoundByAnotherRequest(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	first, second := &controlStub{}, &controlStub{}
	first.leading.Store(true)
	second.leading.Store(true)
	peers := &wire.Pool{}
	c := &fleet.Client{Host: "entry-1", Seeds: []string{first.start(ctx, t), second.start(ctx, t)}, Peers: peers, Clock: types.NewClock(), SyncWait: time.Hour}
	g.Go(func() error { return peers.Run(ctx) })
	g.Go(func() error { return c.Run(ctx) })
	waitFor(t, "a sync with either control host", func() bool { return first.syncs.Load()+second.syncs.Load() > 0 })
	silent, elected := first, second
	if second.syncs.Load() > 0 {
		silent, elected = second, first
	}
	silent.leading.Store(false)
	time.Sleep(150 * time.Millisecond) // By now the next sync request is pending.
	waitFor(t, "a reply from the new leader", func() bool {
		reqCtx, stop := context.WithTimeout(ctx, 200*time.Millisecond)
		defer stop()
		_, err := c.Limits(reqCtx, fleet.LimitsRequest{Host: "entry-1"})
		return err == nil
	})
	waitFor(t, "a sync with the new leader", func() bool { return elected.syncs.Load() > 0 })
}

// TestClientPassesOverControlHostsThatAreDown guards against requests that wait for the
// connection to a control host that has no power while the others are up: after a power
// failure of all hosts each would hold up every entry host.
func TestClientPassesOverControlHostsThatAreDown(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	var seeds []string
	for range 2 {
		l, err := net.Listen("tcp4", "127.0.0.1:0") // It never accepts.
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		seeds = append(seeds, l.Addr().String())
	}
	leader := &controlStub{}
	leader.leading.Store(true)
	seeds = append(seeds, leader.start(ctx, t))
	peers := &wire.Pool{DialTimeout: time.Hour}
	g.Go(func() error { return peers.Run(ctx) })
	for range 3 { // In any order of the addresses, at least one that is down comes first.
		c := &fleet.Client{Host: "entry-1", Seeds: seeds, Peers: peers, Clock: types.NewClock()}
		if _, err := c.Limits(ctx, fleet.LimitsRequest{Host: "entry-1"}); err != nil {
			t.Errorf("a control host is up: %v", err)
		}
		seeds = append(seeds[1:], seeds[0])
	}
}
