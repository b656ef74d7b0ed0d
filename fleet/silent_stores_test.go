package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// newFleetWithMap returns a fleet with the given number of stores and a shard map, of which one
// store may be lost, and counts its events.
func newFleetWithMap(t *testing.T, stores int) (*testFleet, *eventCounter) {
	t.Helper()
	f := newFleet(t, 3)
	events := &eventCounter{}
	f.log = event.New(events)
	f.runAll()
	for i := range stores {
		f.addStore(types.HostID(fmt.Sprint("store-", i)))
	}
	c, _ := f.client("entry-1")
	waitFor(t, "the shard map", func() bool { return c.View().Map != nil && len(c.View().Map.Shards) > 0 })
	return f, events
}

// TestManySilentStoresKeepTheirShards guards against shards that move while more stores are
// unresponsive than may be lost at once, since all of them are late: the copies add to the work
// of stores that cannot bear it, and each change of a placement makes all requests start again.
func TestManySilentStoresKeepTheirShards(t *testing.T) {
	for _, test := range []struct {
		name        string
		stops, runs time.Duration // between those of the two stores
	}{
		{"at once", 0, 0},
		{"the second stops later", 200 * time.Millisecond, 0},
		{"the second returns later", 0, 600 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, events := newFleetWithMap(t, 5)
			before := events.count(event.ShardMoved)
			f.stores[0].stop()
			time.Sleep(test.stops)
			f.stores[1].stop()
			time.Sleep(5 * time.Second)
			f.stores[0].run()
			time.Sleep(test.runs)
			f.stores[1].run()
			time.Sleep(time.Second)
			if n := events.count(event.ShardMoved) - before; n > 0 {
				t.Errorf("%d moves of shards while two of five stores did not respond for 5 s, and one may be lost", n)
			}
			f.stores[0].stop()
			waitFor(t, "moves from the lost store", func() bool { return events.count(event.ShardMoved) > before })
		})
	}
}

// TestLateStoreKeepsItsShards guards against shards that move from a store that is only late: its
// requests to the leader do not arrive in time, but it responds.
func TestLateStoreKeepsItsShards(t *testing.T) {
	f, events := newFleetWithMap(t, 4)
	before := events.count(event.ShardMoved)
	f.stores[0].pause()
	time.Sleep(6 * time.Second)
	f.stores[0].resume()
	time.Sleep(time.Second)
	if n := events.count(event.ShardMoved) - before; n > 0 {
		t.Errorf("%d moves of shards while a store was late by 6 s", n)
	}
	f.stores[0].stop()
	waitFor(t, "moves from the lost store", func() bool { return events.count(event.ShardMoved) > before })
}
