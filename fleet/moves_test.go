package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// movingFleet is a fleet with two stores more than each shard has copies. The shards of its first
// store move, since that was lost, and the stores that they move to do not copy them yet.
type movingFleet struct {
	*testFleet
	client *fleet.Client
	events *eventCounter
}

func newMovingFleet(t *testing.T, losses int) *movingFleet {
	t.Helper()
	f := newFleet(t, 3)
	f.losses = losses
	f.holdCopies.Store(true)
	m := &movingFleet{testFleet: f, events: &eventCounter{}}
	f.log = event.New(m.events)
	f.runAll()
	for i := range 2*losses + 3 {
		f.addStore(types.HostID(fmt.Sprint("store-", i)))
	}
	m.client, _ = f.client("entry-1")
	waitFor(t, "the shard map", func() bool { return len(storeHosts(m.client.View())) > 0 })
	f.stores[0].stop()
	waitFor(t, "moves from the lost store", func() bool { return m.countShards(false) == 0 })
	return m
}

// countShards returns how many shards of the first store are moving, or are not.
func (m *movingFleet) countShards(moving bool) int {
	v, n := m.client.View(), 0
	for _, p := range v.Map.Shards {
		onFirst := slices.ContainsFunc(p.Current, func(id turns.StoreID) bool { return v.Map.Members[id].Host == "store-0" })
		if onFirst && len(p.Next) > 0 == moving {
			n++
		}
	}
	return n
}

// TestMovesFromLostStoreContinue guards against moves that are canceled or redirected, and begin
// again, though the store that they move from is still lost and those that they move to are not:
// copies of 4 s then took 65 s.
func TestMovesFromLostStoreContinue(t *testing.T) {
	for name, disturb := range map[string]func(m *movingFleet){
		"a new leader has not heard of the store": func(m *movingFleet) {
			for _, c := range m.controls {
				c.stop()
			}
			m.runAll()
			time.Sleep(2 * time.Second)
		},
		"more stores are silent than may be lost": func(m *movingFleet) {
			m.stores[1].pause()
			m.stores[2].pause()
			time.Sleep(4 * time.Second)
			m.stores[1].resume()
			m.stores[2].resume()
			time.Sleep(500 * time.Millisecond)
		},
		"another process has its address": func(m *movingFleet) {
			other := &process{t: m.t, address: m.stores[0].address, start: func(context.Context, *errgroup.Group, *wire.Pool, *wire.Server) {}}
			other.run()
			time.Sleep(time.Second)
			other.stop()
		},
		"a store is added": func(m *movingFleet) {
			m.addStore("store-5")
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMovingFleet(t, 1)
			time.Sleep(500 * time.Millisecond)
			before, moving := m.events.count(event.ShardMoved), m.countShards(true)
			disturb(m)
			if n := m.events.count(event.ShardMoved) - before; n > 0 {
				t.Errorf("%d further changes while %d shards move, want none", n, moving)
			}
			m.holdCopies.Store(false)
			waitFor(t, "the ends of all moves", func() bool {
				hosts := storeHosts(m.client.View())
				return len(hosts) > 0 && !hosts["store-0"]
			})
		})
	}
}

// TestMovesEndWhenStoreReturns guards against shards that are copied although the store that
// they move from is back with its data.
func TestMovesEndWhenStoreReturns(t *testing.T) {
	m := newMovingFleet(t, 1)
	moving := m.countShards(true)
	m.stores[0].run()
	waitFor(t, "the shards of the store that is back", func() bool { return m.countShards(false) == moving })
}

// TestMoveFromStoreThatIsLostMeanwhile guards against moves that wait for a store that was lost
// after they began.
func TestMoveFromStoreThatIsLostMeanwhile(t *testing.T) {
	m := newMovingFleet(t, 2)
	m.stores[1].stop()
	m.holdCopies.Store(false)
	waitFor(t, "all shards on the stores that are left", func() bool {
		hosts := storeHosts(m.client.View())
		return len(hosts) == 5 && !hosts["store-0"] && !hosts["store-1"]
	})
}
