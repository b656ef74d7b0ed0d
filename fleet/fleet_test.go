package fleet_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestBootstrapInAnyStartOrder starts the control hosts in reverse order, so
// that the seeds start last.
func TestBootstrapInAnyStartOrder(t *testing.T) {
	f := newFleet(t, 5)
	for i := len(f.controls) - 1; i >= 0; i-- {
		f.controls[i].run()
	}
	c, _ := f.client("entry-1")
	putPlan(t, c, 3, "choir")
	if diff := cmp.Diff("3 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
	waitFor(t, "the plan on a host", func() bool { return c.View().Versions.Plan == 3 })
	waitFor(t, "the list of targets on a host", func() bool { return len(c.View().Targets) == 1 })
}

// TestHighestVersionWins puts plans with versions out of order, and a different
// plan with the version that is already in force.
func TestHighestVersionWins(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, _ := f.client("entry-1")
	var got []types.Version
	for _, p := range []struct {
		version types.Version
		account types.AccountID
	}{{5, "choir"}, {3, "band"}, {5, "band"}, {9, "temple"}} {
		got = append(got, putPlan(t, c, p.version, p.account))
	}
	if diff := cmp.Diff([]types.Version{5, 5, 5, 9}, got); diff != "" {
		t.Errorf("version in force after each (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff("9 temple", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
}

// newBootstrappedFleet returns a fleet of five control hosts that have
// bootstrapped the group and have a plan, and a client of it.
func newBootstrappedFleet(t *testing.T) (*testFleet, *fleet.Client, *wire.Pool) {
	t.Helper()
	f := newFleet(t, 5)
	f.runAll()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.allowBootstrap.Store(false)
	f.waitForVoters(peers, 5, f.controls...)
	return f, c, peers
}

// TestPlanSurvivesControlHostLoss stops and restarts the control hosts one after
// another, deletes the data directory of one of them, and finally restarts all.
func TestPlanSurvivesControlHostLoss(t *testing.T) {
	f, c, peers := newBootstrappedFleet(t)
	version := types.Version(1)
	for i, p := range f.controls {
		p.stop()
		version++
		putPlan(t, c, version, "choir")
		if i == 1 {
			if err := os.RemoveAll(p.dir); err != nil {
				t.Fatal(err)
			}
		}
		p.run()
		version++
		putPlan(t, c, version, "choir")
		f.waitForVoters(peers, 5, f.controls...)
	}
	for _, p := range f.controls {
		p.stop()
	}
	f.runAll()
	if diff := cmp.Diff("11 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
}

// TestJoinedVotersKeepAcknowledgedPlan guards against a plan that is lost with one disk,
// since voters that had joined the group by appends alone emptied their logs on a restart:
// two seeds miss a plan, then all hosts stop and the third seed loses its directory.
func TestJoinedVotersKeepAcknowledgedPlan(t *testing.T) {
	f, c, _ := newBootstrappedFleet(t)
	f.controls[1].stop()
	f.controls[2].stop()
	putPlan(t, c, 2, "choir")
	for _, p := range f.controls {
		p.stop()
	}
	if err := os.RemoveAll(f.controls[0].dir); err != nil {
		t.Fatal(err)
	}
	f.runAll()
	if diff := cmp.Diff("2 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
}

// TestGroupOfJoinedVotersRestarts guards against a group that does not start again since
// all of its voters joined by appends: two hosts lose their directories one after the
// other, then all hosts stop and the third loses its directory.
func TestGroupOfJoinedVotersRestarts(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.allowBootstrap.Store(false)
	f.waitForVoters(peers, 3, f.controls...)
	wipe := func(p *process) {
		p.stop()
		if err := os.RemoveAll(p.dir); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range []*process{f.controls[2], f.controls[0]} {
		wipe(p)
		p.run()
		f.waitForVoters(peers, 3, f.controls...)
	}
	putPlan(t, c, 2, "choir")
	for _, p := range f.controls {
		p.stop()
	}
	wipe(f.controls[1])
	f.runAll()
	if diff := cmp.Diff("2 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
}

// TestEmptyHostsDoNotBootstrap starts control hosts with empty data directories
// and without AllowBootstrap, as after the loss of all directories. They must
// not bootstrap a new group.
func TestEmptyHostsDoNotBootstrap(t *testing.T) {
	f := newFleet(t, 3)
	f.allowBootstrap.Store(false)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	if _, err := c.Read(ctx); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("reading from hosts that have lost their data: got error %v, want unavailable", err)
	}
}

// TestControlHostReplacedAtAnotherAddress permanently stops two of five control
// hosts, one after the other, and replaces each by an empty one with a new
// address.
func TestControlHostReplacedAtAnotherAddress(t *testing.T) {
	f, c, peers := newBootstrappedFleet(t)
	for i := range 2 {
		f.controls[i].stop()
		f.addControl().run()
		version := types.Version(2 + i)
		putPlan(t, c, version, "choir")
		f.waitForVoters(peers, 5, f.controls[i+1:]...)
	}
	f.controls[2].stop()
	f.controls[3].stop()
	if diff := cmp.Diff("3 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back with one old host and two new ones (-want +got):\n%s", diff)
	}
}

// storeHosts returns the hosts whose stores have shards. It returns nil while
// there is no shard map or any shard is moving.
func storeHosts(v fleet.View) map[types.HostID]bool {
	if v.Map == nil || len(v.Map.Shards) == 0 {
		return nil
	}
	hosts := map[types.HostID]bool{}
	for _, p := range v.Map.Shards {
		if len(p.Next) > 0 {
			return nil
		}
		for _, id := range p.Current {
			hosts[v.Map.Members[id].Host] = true
		}
	}
	return hosts
}

func hostSet(names ...types.HostID) map[types.HostID]bool {
	set := map[types.HostID]bool{}
	for _, n := range names {
		set[n] = true
	}
	return set
}

// TestShardsMoveWhenStoresChange replaces a lost store, deletes the data
// directory of another and retires a third. A turn written before must be
// readable after each step.
func TestShardsMoveWhenStoresChange(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	a := f.addStore("store-a")
	b := f.addStore("store-b")
	f.addStore("store-c")
	c, peers := f.client("entry-1")
	waitFor(t, "the first shard map", func() bool { return cmp.Equal(hostSet("store-a", "store-b", "store-c"), storeHosts(c.View())) })
	turnClient := &turns.Client{Peers: peers, Map: func() *turns.Map { return c.View().Map }}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	budget := turns.Budget{Account: "choir", Program: "p", Attempt: "one", Limit: 100, MaxTokens: 10}
	turn := &turns.Turn{Account: "choir", ID: "one", Shard: turns.ShardOf("choir", "p"), Input: []byte("in")}
	if err := turnClient.Settle(ctx, budget, 5, turn); err != nil {
		t.Fatal(err)
	}
	check := func(step string) {
		uncached := &turns.Client{Peers: peers, Map: turnClient.Map}
		if _, err := uncached.Chain(ctx, "choir", "one"); err != nil {
			t.Errorf("reading the turn after %s: %v", step, err)
		}
	}

	a.stop()
	f.addStore("store-d")
	waitFor(t, "the replacement of the lost store", func() bool {
		return cmp.Equal(hostSet("store-b", "store-c", "store-d"), storeHosts(c.View()))
	})
	check("a store was replaced")

	b.stop()
	if err := os.RemoveAll(b.dir); err != nil {
		t.Fatal(err)
	}
	before := c.View().Versions.Map
	b.run()
	waitFor(t, "the recovery of the wiped store", func() bool {
		return c.View().Versions.Map > before+turns.ShardCount && cmp.Equal(hostSet("store-b", "store-c", "store-d"), storeHosts(c.View()))
	})
	check("a store was wiped")

	if _, err := c.Retire(ctx, "store-c"); !types.IsCode(err, types.CodeConflict) {
		t.Errorf("retiring one of three stores: got error %v, want conflict", err)
	}
	f.addStore("store-e")
	waitFor(t, "the start of retiring a store", func() bool {
		_, err := c.Retire(ctx, "store-c")
		return err == nil
	})
	waitFor(t, "the retired store to have no shards", func() bool {
		state, err := c.RetireStatus(ctx, "store-c")
		return err == nil && state.Complete
	})
	check("a store was retired")
	if _, err := c.Retire(ctx, "store-x"); !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("retiring an unknown store: got error %v, want notFound", err)
	}
}

// TestAllotmentsRenewedAfterLeaderChange stops each control host in turn, and so
// the leader at some point. The host must still be able to renew its allotment
// and admit requests.
func TestAllotmentsRenewedAfterLeaderChange(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, _ := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	clock := types.NewClock()
	share := &limit.Share{}
	renew := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		sentAt := clock()
		reply, err := c.Limits(ctx, fleet.LimitsRequest{Host: "entry-1", Demands: map[types.AccountID]limit.Demand{"choir": share.Demand("entry-1/x", 1, sentAt)}})
		if err == nil {
			share.Apply(reply.Allotments["choir"], sentAt, clock())
		}
		return err == nil
	}
	waitFor(t, "a first request within the limit", func() bool { return renew() && share.Take(clock()) })
	f.allowBootstrap.Store(false)
	for _, p := range f.controls {
		p.stop()
		waitFor(t, "a request within the limit after a stop", func() bool { return renew() && share.Take(clock()) })
		p.run()
	}
}
