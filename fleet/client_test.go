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

// controlStub answers as a control host that leads from when led is set, and
// is silent before.
type controlStub struct {
	leading atomic.Bool
	syncs   atomic.Int32
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

// TestSyncFollowsLeaderFoundByAnotherRequest has a control host that takes
// the wait for news and falls silent. A renewal of limits finds who leads; the
// host must not wait for its news until the silent one has had its time, which
// is an hour here.
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
	c := &fleet.Client{Host: "entry-1", Seeds: []string{first.start(ctx, t), second.start(ctx, t)}, Peers: peers, Clock: types.NewClock(), Wait: time.Hour}
	g.Go(func() error { return peers.Run(ctx) })
	g.Go(func() error { return c.Run(ctx) })
	waitFor(t, "news from either", func() bool { return first.syncs.Load()+second.syncs.Load() > 0 })
	silent, elected := first, second
	if second.syncs.Load() > 0 {
		silent, elected = second, first
	}
	silent.leading.Store(false)
	time.Sleep(150 * time.Millisecond) // The next wait for news has begun.
	waitFor(t, "an answer of the new leader", func() bool {
		askCtx, stop := context.WithTimeout(ctx, 200*time.Millisecond)
		defer stop()
		_, err := c.Limits(askCtx, fleet.LimitsRequest{Host: "entry-1"})
		return err == nil
	})
	waitFor(t, "news from the new leader", func() bool { return elected.syncs.Load() > 0 })
}
