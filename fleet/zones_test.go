package fleet_test

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// zoneOrder returns a command that evacuates a zone, or takes it back.
func zoneOrder(zone types.ZoneID, withdraw bool, order types.OrderID) fleet.Command {
	return fleet.Command{Evacuate: &fleet.Evacuate{Zone: zone, Withdraw: withdraw, Order: audit.Record{Order: order, Operator: "operator"}}}
}

// TestZoneOrdersAreApplied guards against a repeated order that counts as a new one, an
// older order of two operators that holds, and orders that a snapshot loses.
func TestZoneOrdersAreApplied(t *testing.T) {
	m := &fleet.Machine{}
	var changed []bool
	for i, c := range []fleet.Command{
		zoneOrder("a", true, "early"), zoneOrder("a", false, "first"), zoneOrder("a", false, "repeated"), zoneOrder("b", false, "other"),
		zoneOrder("a", true, "back"), zoneOrder("a", true, "back again"), zoneOrder("c", false, "last"), zoneOrder("c", true, "c back"), zoneOrder("c", false, "c again"),
	} {
		changed = append(changed, m.Apply(types.LogTime(i)*types.LogTime(time.Second), c).Changed)
	}
	if diff := cmp.Diff([]bool{false, true, false, true, true, false, true, true, true}, changed); diff != "" {
		t.Errorf("changes by each order (-want +got):\n%s", diff)
	}
	restored := &fleet.Machine{}
	if err := restored.Restore(m.Snapshot()); err != nil {
		t.Fatal(err)
	}
	want := []fleet.Evacuation{
		{Zone: "a", Order: "back", Operator: "operator", Age: 6 * time.Second},
		{Zone: "b", Evacuated: true, Order: "other", Operator: "operator", Age: 7 * time.Second},
		{Zone: "c", Evacuated: true, Order: "c again", Operator: "operator", Age: 2 * time.Second},
	}
	for name, machine := range map[string]*fleet.Machine{"applied": m, "restored": restored} {
		got, revision := machine.Evacuations(types.LogTime(10 * time.Second))
		if diff := cmp.Diff(want, got); diff != "" || revision != 6 {
			t.Errorf("%s: revision %d, zones (-want +got):\n%s", name, revision, diff)
		}
		if err := audit.Verify(audit.Record{}, machine.AuditRecords()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestStateOfEarlierBuildHasNoZones guards against a snapshot of a build that knows no
// evacuations and that this one cannot read.
func TestStateOfEarlierBuildHasNoZones(t *testing.T) {
	m := &fleet.Machine{}
	earlier := types.Encode(struct {
		Revision fleet.Revision `json:"revision"`
	}{3})
	if err := m.Restore(earlier); err != nil {
		t.Fatal(err)
	}
	if !m.Apply(0, zoneOrder("a", false, "first")).Changed || !m.Evacuated("a") {
		t.Error("the restored state takes no order")
	}
}

// order sends an order to evacuate a zone, or to take it back, until the group takes it or
// finds that it is wrong. Control hosts that have just started do not know yet what the
// others can apply.
func order(t *testing.T, c *fleet.Client, zone types.ZoneID, withdraw bool) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	for {
		err := c.Evacuate(ctx, *zoneOrder(zone, withdraw, "order").Evacuate)
		if !types.IsCode(err, types.CodeUnavailable) || ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// evacuated returns which zones of a view are evacuated, or have been.
func evacuated(v fleet.View) map[types.ZoneID]bool {
	zones := map[types.ZoneID]bool{}
	for zone, s := range v.Zones {
		zones[zone] = s.Evacuated
	}
	return zones
}

func (f *testFleet) waitForZones(c *fleet.Client, want map[types.ZoneID]bool) {
	f.t.Helper()
	waitFor(f.t, "the evacuated zones on a host", func() bool { return cmp.Equal(want, evacuated(c.View())) })
}

// zonedTargets is a list of targets in two zones.
var zonedTargets = []fleet.Target{
	{ID: "t1", Service: "models", Address: "127.0.0.1:1", Zone: "a"},
	{ID: "t2", Service: "models", Address: "127.0.0.1:2", Zone: "b"},
	{ID: "t3", Service: "tools", Address: "127.0.0.1:3", Zone: "a"},
	{ID: "t4", Service: "tools", Address: "127.0.0.1:4", Zone: "b", Draining: true},
}

// TestZoneOrdersReachHostsAndLast guards against orders that hosts do not learn, that a
// new leader, a restart of all control hosts or the loss of a disk forgets, and against an
// order on a zone that does not exist.
func TestZoneOrdersReachHostsAndLast(t *testing.T) {
	f, c, peers := newBootstrappedFleet(t)
	f.targets.Store(&zonedTargets)
	waitFor(t, "the list of targets", func() bool { return len(c.View().Targets) == 4 })
	for _, zone := range []types.ZoneID{"b", "a"} {
		if err := order(t, c, zone, false); err != nil {
			t.Fatal(err)
		}
	}
	if err := order(t, c, "b", true); err != nil {
		t.Fatal(err)
	}
	want := map[types.ZoneID]bool{"a": true, "b": false}
	f.waitForZones(c, want)
	if diff := cmp.Diff([]types.ServiceID{"tools"}, c.View().ServicesWithoutTarget()); diff != "" {
		t.Errorf("services without a target (-want +got):\n%s", diff)
	}
	if err := order(t, c, "c", false); !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("evacuating an unknown zone: %v", err)
	}
	for _, p := range f.controls {
		p.stop()
	}
	if err := os.RemoveAll(f.controls[0].dir); err != nil {
		t.Fatal(err)
	}
	f.targets.Store(nil) // A leader without the list has the orders all the same.
	f.runAll()
	restarted, _ := f.client("entry-2")
	f.waitForZones(restarted, want)
	f.waitForVoters(peers, 5, f.controls...)
	if err := order(t, restarted, "a", true); err != nil {
		t.Errorf("taking a zone back without a list of targets: %v", err)
	}
	f.waitForZones(restarted, map[types.ZoneID]bool{"a": false, "b": false})
	if _, returned := restarted.View().ReturnedAt("a"); !returned {
		t.Error("the view does not show the zone as returned")
	}
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(line)
}

func (b *logBuffer) contains(parts ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for line := range strings.Lines(b.lines.String()) {
		if !slices.ContainsFunc(parts, func(p string) bool { return !strings.Contains(line, p) }) {
			return true
		}
	}
	return false
}

// TestEmptiedServicesAreLogged guards against a service that is refused for lack of targets
// without a line in the log of the leader that names it.
func TestEmptiedServicesAreLogged(t *testing.T) {
	f := newFleet(t, 1)
	logs := &logBuffer{}
	f.log = event.New(logs)
	f.targets.Store(&zonedTargets)
	f.runAll()
	c, _ := f.client("entry-1")
	waitFor(t, "the list of targets", func() bool { return len(c.View().Targets) == 4 })
	if err := order(t, c, "a", false); err != nil {
		t.Fatal(err)
	}
	if !logs.contains(`"event":310`, `"zone":"a"`, `"order":"order"`, `"servicesWithoutTarget":["tools"]`) {
		t.Errorf("the log does not name the service:\n%s", logs.lines.String())
	}
}

// TestLeaderWithoutListRefusesUnknownZone guards against a leader that denies a zone only
// because it does not have the list of targets yet. A zone that a host is in is known.
func TestLeaderWithoutListRefusesUnknownZone(t *testing.T) {
	f := newFleet(t, 1)
	f.targets.Store(nil)
	f.runAll()
	c, _ := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	time.Sleep(1700 * time.Millisecond) // All hosts have had the time to report to the leader.
	if err := c.Evacuate(ctx, *zoneOrder("a", false, "order").Evacuate); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("evacuating a zone that the leader cannot know: %v", err)
	}
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", Zone: "a"})
	if err := c.Evacuate(ctx, *zoneOrder("a", false, "order").Evacuate); err != nil {
		t.Errorf("evacuating the zone of a host: %v", err)
	}
	if err := c.Evacuate(ctx, *zoneOrder("a", false, "order").Evacuate); err != nil {
		t.Errorf("repeating the order: %v", err)
	}
	f.targets.Store(&zonedTargets)
	waitFor(t, "the list of targets", func() bool { return len(c.View().Targets) == 4 })
	if err := c.Evacuate(ctx, *zoneOrder("c", true, "order").Evacuate); !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("taking back an unknown zone: %v", err)
	}
}

// TestEarlierBuildIsNotAnsweredAtOnce guards against a leader that answers each sync
// request of a host that knows no evacuations at once, since it does not return their
// revision. A request that knows them is answered.
func TestEarlierBuildIsNotAnsweredAtOnce(t *testing.T) {
	f := newFleet(t, 1)
	f.targets.Store(&zonedTargets)
	f.runAll()
	c, peers := f.client("entry-1")
	if err := order(t, c, "a", false); err != nil {
		t.Fatal(err)
	}
	f.waitForZones(c, map[types.ZoneID]bool{"a": true})
	waitFor(t, "the targets", func() bool { return len(c.View().Targets) == 4 })
	versions := c.View().Versions
	versions.Zones = 0
	sync := func(knows bool) (fleet.SyncReply, time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		req := fleet.SyncRequest{Host: "old", Versions: versions, Wait: 300 * time.Millisecond, KnowsZones: knows}
		start := time.Now()
		reply, err := wire.Call[fleet.SyncRequest, fleet.SyncReply](ctx, peers.Link(f.controls[0].address), fleet.KindSync, req)
		if err != nil {
			t.Fatal(err)
		}
		return reply, time.Since(start)
	}
	if reply, took := sync(false); took < 300*time.Millisecond || reply.Versions != versions || reply.Zones != nil {
		t.Errorf("reply to an earlier build after %v: %+v", took, reply)
	}
	if reply, _ := sync(true); reply.Zones == nil || !reply.Zones.Zones["a"].Evacuated || reply.Versions.Zones == 0 {
		t.Errorf("reply to this build: %+v", reply)
	}
}

// TestOrderWaitsForEarlierBuilds guards against a command that a voter of an earlier build
// passes over, so that its state differs from that of the others. The order is refused at
// once while a voter, also one that is down, has not declared that it can apply it, or while it leads. It is
// taken with a voter that has, also if that is down when all the others have restarted.
func TestOrderWaitsForEarlierBuilds(t *testing.T) {
	f := newFleet(t, 3)
	f.targets.Store(&zonedTargets)
	earlier := f.controls[2]
	start := earlier.start
	earlier.start = func(ctx context.Context, g *errgroup.Group, peers *wire.Pool, server *wire.Server) {
		start(ctx, g, peers, server)
		wire.Handle(server, fleet.KindHello, func(context.Context, fleet.HelloRequest) (fleet.HelloReply, error) {
			return earlierHello(earlier)
		})
		wire.Handle(server, fleet.KindEvacuate, func(context.Context, fleet.Evacuate) (fleet.EvacuateReply, error) {
			return fleet.EvacuateReply{}, types.NewFault(types.CodeBadRequest, "no handler")
		})
	}
	f.runAll()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	waitFor(t, "the list of targets", func() bool { return len(c.View().Targets) == 4 })
	refused := func(state string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		begin := time.Now()
		err := c.Evacuate(ctx, *zoneOrder("a", false, "order").Evacuate)
		if took := time.Since(begin); !types.IsCode(err, types.CodeUnavailable) || took > 4*time.Second {
			t.Errorf("order while an earlier build %s: %v after %v", state, err, took)
		}
	}
	for range 2 {
		refused("runs")
	}
	earlier.stop()
	refused("is down")
	earlier.start = start
	earlier.run()
	f.allowBootstrap.Store(false)
	f.waitForVoters(peers, 3, f.controls...)
	if err := order(t, c, "a", false); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond) // All control hosts ask the others.
	for _, p := range f.controls {
		p.stop()
	}
	f.controls[0].run()
	f.controls[2].run()
	f.waitForZones(c, map[types.ZoneID]bool{"a": true})
	if err := order(t, c, "a", true); err != nil {
		t.Errorf("order while a voter is down that has declared: %v", err)
	}
}

// earlierHello returns what a build that declares no commands replies.
func earlierHello(p *process) (fleet.HelloReply, error) {
	dir := filepath.Join(p.dir, "config")
	if _, err := os.Stat(filepath.Join(dir, "identity")); err != nil {
		return fleet.HelloReply{}, types.NewFault(types.CodeUnavailable, "not started")
	}
	id, err := quorum.LoadOrCreateID(dir, types.HostID(p.address))
	if err != nil {
		return fleet.HelloReply{}, err
	}
	bootstrapped, members, err := quorum.ReadMembers(dir)
	return fleet.HelloReply{ID: id, MayBootstrap: true, Bootstrapped: bootstrapped, Members: members}, err
}

// TestZonesOfControlHostsAreLost guards against a group that takes no orders when two of
// five control hosts, those of one zone, are lost at once, and against voters that are
// removed meanwhile, so that the loss of the next zone after their return stops the group.
func TestZonesOfControlHostsAreLost(t *testing.T) {
	f, c, peers := newBootstrappedFleet(t)
	f.targets.Store(&zonedTargets)
	waitFor(t, "the list of targets", func() bool { return len(c.View().Targets) == 4 })
	for i, lost := range [][]*process{f.controls[:2], f.controls[2:4], f.controls[4:]} {
		time.Sleep(1500 * time.Millisecond) // All control hosts have asked the others what they can apply.
		for _, p := range lost {
			p.stop()
		}
		if err := order(t, c, "a", i%2 == 1); err != nil {
			t.Errorf("order without zone %d of the control hosts: %v", i, err)
		}
		f.waitForZones(c, map[types.ZoneID]bool{"a": i%2 == 0})
		time.Sleep(2500 * time.Millisecond) // Longer than unresponsive voters are kept beside a replacement.
		for _, p := range lost {
			p.run()
		}
		f.waitForVoters(peers, 5, f.controls...)
	}
}
