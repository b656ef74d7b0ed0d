package fleet_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestLossesChangeWhileRunning guards against shards that keep too few copies when the fleet
// must survive more losses than when its leader was started.
func TestLossesChangeWhileRunning(t *testing.T) {
	f := newFleet(t, 1)
	f.losses = 0
	f.runAll()
	for _, host := range []types.HostID{"store-a", "store-b", "store-c"} {
		f.addStore(host)
	}
	c, _ := f.client("entry-1")
	copies := func(n int) func() bool {
		return func() bool {
			m := c.View().Map
			return m != nil && len(m.Shards) > 0 && !slices.ContainsFunc(m.Shards, func(p turns.Placement) bool { return len(p.Current) != n })
		}
	}
	waitFor(t, "one copy of each shard", copies(1))
	f.running[0].Change(fleet.ControlSettings{Seeds: f.seeds, Losses: 1})
	waitFor(t, "three copies of each shard", copies(3))
}

// TestEmptyHostFollowsItsSeeds guards against an empty control host that never finds the
// group because the seeds that it was started with have been replaced.
func TestEmptyHostFollowsItsSeeds(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	_, peers := f.client("entry-1")
	f.waitForVoters(peers, 3, f.controls...)
	seeds := f.seeds
	f.allowBootstrap.Store(false)
	f.seeds = []string{newProcess(t).address} // Nothing listens there.
	late := f.addControl()
	late.run()
	if r, err := hello(peers, late.address); err == nil && r.Bootstrapped {
		t.Fatal("the host has found the group without a seed")
	}
	f.running[3].Change(fleet.ControlSettings{Seeds: seeds, Losses: 1})
	waitFor(t, "the host to belong to the group", func() bool {
		r, err := hello(peers, late.address)
		return err == nil && r.Members.Has(r.ID)
	})
}

// TestBootstrapKeepsItsSeeds guards against two groups: hosts whose seeds change while they
// wait for each other must not bootstrap with those that they have now.
func TestBootstrapKeepsItsSeeds(t *testing.T) {
	f := newFleet(t, 3)
	f.controls[0].run()
	f.running[0].Change(fleet.ControlSettings{Seeds: []string{f.controls[0].address}, Losses: 1})
	_, peers := f.client("entry-1")
	time.Sleep(500 * time.Millisecond)
	if r, err := hello(peers, f.controls[0].address); err != nil || r.Bootstrapped {
		t.Errorf("the host has bootstrapped a group without the other seeds (error %v)", err)
	}
	f.controls[1].run()
	f.controls[2].run()
	f.waitForVoters(peers, 3, f.controls...)
}

// TestClientFollowsItsSeeds guards against a host that cannot reach the leader because the
// seeds that it was started with have been replaced.
func TestClientFollowsItsSeeds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	defer func() {
		cancel()
		_ = g.Wait()
	}()
	leader := &controlStub{}
	leader.leading.Store(true)
	peers := &wire.Pool{}
	g.Go(func() error { return peers.Run(ctx) })
	c := &fleet.Client{Host: "entry-1", Seeds: []string{newProcess(t).address}, Peers: peers, Clock: types.NewClock()}
	g.Go(func() error { return c.Run(ctx) })
	c.SetSeeds([]string{leader.start(ctx, t)})
	waitFor(t, "a sync request to the leader", func() bool { return leader.syncs.Load() > 0 })
}

// TestColdBoundChangesOnLeader guards against a leader that divides what a cold target may get
// by the bound with which it was started.
func TestColdBoundChangesOnLeader(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	putColdPlan(ctx, t, c)
	waitFor(t, "the list", func() bool { return len(c.View().Targets) > 0 })
	bound := limit.ColdBound{Over: 10, Slack: 100}
	f.running[0].Change(fleet.ControlSettings{Seeds: f.seeds, Losses: 1, ColdBound: bound})
	admitted, start := 0, time.Now()
	for ; time.Since(start) < time.Second; time.Sleep(10 * time.Millisecond) {
		reply, err := c.Limits(ctx, fleet.LimitsRequest{
			Host: "entry-1", TargetDemands: map[types.TargetID]limit.Demand{"t1": {Holder: "entry-1", Rate: 1000, Waiting: 500}},
			TargetsCold: fleet.ColdTargets{"t1": 3 * time.Second},
		})
		if types.IsCode(err, types.CodeNotLeader) {
			continue // The process was late, and its lease has ended. It renews it.
		}
		if err != nil {
			t.Fatal(err)
		}
		admitted += reply.TargetAllotments["t1"].AdmitNow
	}
	before := limit.ColdBound{}.Limit(20)
	if most := float64(before.Burst) + float64(before.Rate)*time.Since(start).Seconds() + 1; float64(admitted) <= most {
		t.Errorf("%d requests were admitted, as with the bound before the change (%.1f)", admitted, most)
	}
}
