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

// lateLeader is the only control host, and replies late.
type lateLeader struct {
	syncLatency time.Duration
	syncs       atomic.Int32 // sync requests received
	limits      atomic.Int32 // renewals received, of which every second is late
}

// startLateLeader starts a late leader and a client that follows it.
func startLateLeader(t *testing.T, l *lateLeader, syncWait time.Duration) *fleet.Client {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	server := &wire.Server{}
	wire.Handle(server, fleet.KindSync, func(ctx context.Context, _ fleet.SyncRequest) (fleet.SyncReply, error) {
		l.syncs.Add(1)
		types.Sleep(ctx, l.syncLatency)
		return fleet.SyncReply{}, nil
	})
	wire.Handle(server, fleet.KindLimits, func(ctx context.Context, _ fleet.LimitsRequest) (fleet.LimitsReply, error) {
		if l.limits.Add(1)%2 == 0 {
			types.Sleep(ctx, 300*time.Millisecond)
		}
		return fleet.LimitsReply{Allotments: map[types.AccountID]limit.Allotment{}}, nil
	})
	h := httptest.NewUnstartedServer(server)
	h.Config.BaseContext = func(net.Listener) context.Context { return ctx }
	h.Start()
	peers := &wire.Pool{}
	c := &fleet.Client{Host: "entry-1", Seeds: []string{strings.TrimPrefix(h.URL, "http://")}, Peers: peers, Clock: types.NewClock(), SyncWait: syncWait}
	var g errgroup.Group
	g.Go(func() error { return peers.Run(ctx) })
	g.Go(func() error { return c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
		h.Close()
	})
	return c
}

// TestLateRenewalsLeaveSyncRequest guards against sync requests that are canceled and repeated
// because renewals of limits sometimes time out: the leader is the same, and no reply that takes
// longer than the pause between two timeouts ever counted.
func TestLateRenewalsLeaveSyncRequest(t *testing.T) {
	l := &lateLeader{syncLatency: 500 * time.Millisecond}
	c := startLateLeader(t, l, 0)
	begin := time.Now()
	for time.Since(begin) < 3*time.Second {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, _ = c.Limits(ctx, fleet.LimitsRequest{Host: "entry-1"})
		cancel()
		types.Sleep(context.Background(), 20*time.Millisecond)
	}
	t.Logf("%d sync requests and %d renewals in 3 s", l.syncs.Load(), l.limits.Load())
	if s := c.Staleness(); s > 1500*time.Millisecond {
		t.Errorf("the last sync was sent %v ago, though the leader replies after 0.5 s", s)
	}
	if n := l.syncs.Load(); n > 8 {
		t.Errorf("%d sync requests in 3 s to a leader that replies to each after 0.5 s, want at most 8", n)
	}
}

// TestSyncWithLateLeader guards against sync requests that are all given up shortly before a
// leader replies that is late, but up: the host's view, and the shard map with it, grew old for
// as long as it was late.
func TestSyncWithLateLeader(t *testing.T) {
	l := &lateLeader{syncLatency: 900 * time.Millisecond}
	c := startLateLeader(t, l, 100*time.Millisecond) // The timeout is 0.7 s.
	time.Sleep(5 * time.Second)
	if s := c.Staleness(); s > 2500*time.Millisecond {
		t.Errorf("the last sync was sent %v ago after %d requests, though the leader replies after 0.9 s", s, l.syncs.Load())
	}
}
