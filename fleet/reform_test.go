package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// eventCounter counts the events that are written to a log.
type eventCounter struct {
	mu     sync.Mutex
	counts map[event.Number]int
}

func (c *eventCounter) Write(line []byte) (int, error) {
	var e struct {
		Event event.Number `json:"event"`
	}
	if err := json.Unmarshal(line, &e); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[event.Number]int{}
	}
	c.counts[e.Event]++
	return len(line), nil
}

func (c *eventCounter) count(kind event.Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[kind.Number]
}

// storeFleet is a fleet of three stores with turns that were acknowledged.
type storeFleet struct {
	*testFleet
	client *fleet.Client
	peers  *wire.Pool
	events *eventCounter
	// sorted are the stores, by ID. The first two of them have the turns of
	// newStoreFleet.
	sorted []*process
	ids    []turns.TurnID
}

func newStoreFleet(t *testing.T) *storeFleet {
	t.Helper()
	f := &storeFleet{testFleet: newFleet(t, 3), events: &eventCounter{}}
	f.log = event.New(f.events)
	f.runAll()
	for i := range 3 {
		f.addStore(types.HostID(fmt.Sprint("store-", i)))
	}
	f.client, f.peers = f.testFleet.client("entry-1")
	f.waitForMoves()
	f.sorted = slices.Clone(f.stores)
	slices.SortFunc(f.sorted, func(a, b *process) int { return strings.Compare(f.identity(a), f.identity(b)) })
	m := *f.client.View().Map
	m.Shards = slices.Clone(m.Shards)
	for i := range m.Shards {
		m.Shards[i].Current = []turns.StoreID{turns.StoreID(f.identity(f.sorted[0])), turns.StoreID(f.identity(f.sorted[1]))}
	}
	for i := range 20 {
		f.writeTo(&m, turns.TurnID(fmt.Sprint("before-", i)), "")
	}
	return f
}

// identity returns the ID of a store.
func (f *storeFleet) identity(p *process) string {
	f.t.Helper()
	id, err := os.ReadFile(filepath.Join(p.dir, "identity"))
	if err != nil {
		f.t.Fatal(err)
	}
	return string(id)
}

// waitForMoves waits until all shards are on the three stores and none is moving.
func (f *storeFleet) waitForMoves() {
	f.t.Helper()
	waitFor(f.t, "all shards on three stores", func() bool {
		return cmp.Equal(hostSet("store-0", "store-1", "store-2"), storeHosts(f.client.View()))
	})
}

func (f *storeFleet) turnClient() *turns.Client {
	return &turns.Client{Peers: f.peers, Map: func() *turns.Map { return f.client.View().Map }}
}

// write writes a turn of a program of its own, or of the program of previous.
func (f *storeFleet) write(id, previous turns.TurnID) {
	f.t.Helper()
	f.writeTo(nil, id, previous)
}

// writeTo is write with a shard map other than that of the fleet, unless m is nil.
func (f *storeFleet) writeTo(m *turns.Map, id, previous turns.TurnID) {
	f.t.Helper()
	client := f.turnClient()
	if m != nil {
		client.Map = func() *turns.Map { return m }
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	program := types.ProgramID(id)
	if previous != "" {
		program = types.ProgramID(previous)
	}
	budget := turns.Budget{Account: "choir", Program: program, Attempt: types.AttemptID(id), Limit: 100, MaxTokens: 10}
	turn := &turns.Turn{Account: "choir", ID: id, Previous: previous, Shard: turns.ShardOf("choir", program), Input: []byte("in")}
	if err := client.Settle(ctx, budget, 5, turn); err != nil {
		f.t.Fatalf("write turn %s: %v", id, err)
	}
	f.ids = append(f.ids, id)
}

// chain returns the length of the chain of a turn.
func (f *storeFleet) chain(id turns.TurnID) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	chain, err := f.turnClient().Chain(ctx, "choir", id)
	return len(chain), err
}

// wipe restarts a store with an empty disk and waits until it has registered.
func (f *storeFleet) wipe(p *process) {
	f.t.Helper()
	p.stop()
	if err := os.RemoveAll(p.dir); err != nil {
		f.t.Fatal(err)
	}
	p.run()
	id := turns.StoreID(f.identity(p))
	waitFor(f.t, "the registration of a store", func() bool {
		m := f.client.View().Map
		return m != nil && m.Members[id].Address == p.address
	})
}

// reformedShards returns the number of shards that were formed anew.
func (f *storeFleet) reformedShards() int {
	n := 0
	for _, p := range f.client.View().Map.Shards {
		if p.ReformedAt != 0 {
			n++
		}
	}
	return n
}

// requireServed requires that new programs are served, and that a turn that no store has is
// neither found nor reported as not found.
func (f *storeFleet) requireServed(step string) {
	f.t.Helper()
	first := turns.TurnID("first after " + step)
	f.write(first, "")
	f.write("second after "+turns.TurnID(step), first)
	if _, err := f.chain("unknown"); !turns.MayBeLost(err) || !types.IsCode(err, types.CodeUnavailable) {
		f.t.Errorf("turn that no store has, after %s: got error %v, want that it may be lost", step, err)
	}
}

// TestShardsWithoutMajorityAreReformed guards against shards that serve no program any more
// since a majority of their stores has lost its disks, the second one while the copies for
// the first were not complete.
func TestShardsWithoutMajorityAreReformed(t *testing.T) {
	for name, wiped := range map[string][]int{
		"the last store, then the second":                         {2, 1},
		"the second store, then the last":                         {1, 2},
		"the last store twice, so that a next store is lost, too": {2, 2, 1},
		"the second store, then the last, then the second again":  {1, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStoreFleet(t)
			f.holdCopies.Store(true)
			for _, i := range wiped {
				f.wipe(f.sorted[i])
			}
			waitFor(t, "all shards to be formed anew", func() bool { return f.reformedShards() == turns.ShardCount })
			f.requireServed("the reformation")
			f.holdCopies.Store(false)
			f.waitForMoves()
			for _, id := range f.ids {
				if _, err := f.chain(id); err != nil {
					t.Errorf("turn %s, which a store had that has kept its disk: %v", id, err)
				}
			}
			f.write("continued", "before-0")
			if n, err := f.chain("continued"); n != 2 {
				t.Errorf("continuing a turn from before: a chain of %d turns, %v; want 2", n, err)
			}
			f.requireServed("the copies")
			// The shard must have its majority again: no store alone may be needed.
			for _, p := range f.sorted {
				p.stop()
				for _, id := range f.ids {
					if _, err := f.chain(id); err != nil {
						t.Errorf("turn %s without one store: %v", id, err)
					}
				}
				p.run()
			}
			if n := f.events.count(event.ShardReformed); n < turns.ShardCount {
				t.Errorf("event %d was logged %d times, want at least once for each of the %d shards", event.ShardReformed.Number, n, turns.ShardCount)
			}
		})
	}
}

// TestLostTurnsAreNotReportedMissing guards against a response that says a turn does not
// exist, though it was acknowledged and was lost with the disks of its stores.
func TestLostTurnsAreNotReportedMissing(t *testing.T) {
	f := newStoreFleet(t)
	f.holdCopies.Store(true)
	f.wipe(f.sorted[0])
	f.wipe(f.sorted[1])
	waitFor(t, "all shards to be formed anew", func() bool { return f.reformedShards() == turns.ShardCount })
	f.holdCopies.Store(false)
	f.waitForMoves()
	for _, id := range f.ids {
		if _, err := f.chain(id); err != nil && !turns.MayBeLost(err) {
			t.Errorf("turn %s: got error %v, want none or that it may be lost", id, err)
		}
	}
	f.requireServed("the loss of two disks")
}

// TestAllStoresLost guards against a fleet that serves no program any more since all of its
// stores have lost their disks.
func TestAllStoresLost(t *testing.T) {
	f := newStoreFleet(t)
	f.holdCopies.Store(true)
	for _, p := range f.sorted {
		f.wipe(p)
	}
	waitFor(t, "all shards to be formed anew", func() bool { return f.reformedShards() == turns.ShardCount })
	f.holdCopies.Store(false)
	f.waitForMoves()
	f.requireServed("the loss of all disks")
}

// TestUnreachableStoresAreNotReformed guards against turns that are given up although the
// stores that have them are only down: one store has lost its disk, and one, then two of the
// others are stopped for longer than a store that does not respond keeps its shards.
func TestUnreachableStoresAreNotReformed(t *testing.T) {
	const downFor = 3500 * time.Millisecond // storeTimeout is 2.5 s
	f := newStoreFleet(t)
	f.holdCopies.Store(true)
	f.wipe(f.sorted[2])
	for _, down := range [][]*process{f.sorted[:1], f.sorted[:2]} {
		for _, p := range down {
			p.stop()
		}
		time.Sleep(downFor)
		if n := f.reformedShards(); n > 0 {
			t.Fatalf("%d shards were formed anew while %d stores were only down", n, len(down))
		}
		for _, p := range down {
			p.run()
		}
	}
	f.holdCopies.Store(false)
	f.waitForMoves()
	if n := f.reformedShards(); n > 0 {
		t.Errorf("%d shards were formed anew although two stores have kept their disks", n)
	}
	for _, id := range f.ids {
		if _, err := f.chain(id); err != nil {
			t.Errorf("turn %s: %v", id, err)
		}
	}
	if _, err := f.chain("unknown"); !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("turn that was never written: got error %v, want notFound", err)
	}
}

// TestDestroyedStores guards against stores that are taken for destroyed although their disk
// may come back.
func TestDestroyedStores(t *testing.T) {
	m := &fleet.Machine{}
	register := func(id turns.StoreID, host types.HostID, address string) {
		m.Apply(1, fleet.Command{RegisterStore: &fleet.RegisterStore{Member: turns.Member{ID: id, Host: host, Address: address}}})
	}
	register("same host and address", "h1", "10.1.0.1:7780")
	register("successor 1", "h1", "10.1.0.1:7780")
	register("same host on another machine", "h2", "10.1.0.2:7780")
	register("successor 2", "h2", "10.1.0.3:7780")
	register("other host at the same address", "h4", "10.1.0.1:7780")
	register("no successor", "h3", "10.1.0.4:7780")
	got := map[turns.StoreID]bool{"unknown": m.Destroyed("unknown")}
	current, _ := m.Map()
	for id := range current.Members {
		got[id] = m.Destroyed(id)
	}
	want := map[turns.StoreID]bool{
		"same host and address": true, "successor 1": false, "same host on another machine": false, "successor 2": false,
		"other host at the same address": false, "no successor": false, "unknown": false,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("destroyed stores (-want +got):\n%s", diff)
	}
}

// TestReformOfOtherEpochHasNoEffect guards against a shard that is formed anew by a leader that
// does not know its newest placement, and against writes that are refused because the lost
// turns of their shard expire.
func TestReformOfOtherEpochHasNoEffect(t *testing.T) {
	const at = types.LogTime(7)
	m := &fleet.Machine{}
	shards := make([][]turns.StoreID, turns.ShardCount)
	for i := range shards {
		shards[i] = []turns.StoreID{"a", "b", "c"}
	}
	m.Apply(1, fleet.Command{InitMap: &fleet.InitMap{Shards: shards}})
	var got []turns.Placement
	for _, reform := range []fleet.Reform{
		{Epoch: 2, Current: []turns.StoreID{"c"}},
		{Epoch: 1},
		{Epoch: 1, Current: []turns.StoreID{"c"}, Next: []turns.StoreID{"c", "d", "e"}},
		{Epoch: 1, Expired: true},
		{Epoch: 2, Expired: true},
	} {
		m.Apply(at, fleet.Command{Reform: &reform})
		current, _ := m.Map()
		got = append(got, current.Placement(0))
	}
	before := turns.Placement{Epoch: 1, Current: shards[0]}
	reformed := turns.Placement{Epoch: 2, Current: []turns.StoreID{"c"}, Next: []turns.StoreID{"c", "d", "e"}, ReformedAt: at}
	expired := reformed
	expired.ReformedAt = 0
	if diff := cmp.Diff([]turns.Placement{before, before, reformed, reformed, expired}, got); diff != "" {
		t.Errorf("placement after each command (-want +got):\n%s", diff)
	}
}
