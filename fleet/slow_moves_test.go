package fleet_test

import (
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestMovesShareSlowSyncs guards against turns that are lost with the next disk, since the shards of a
// store that has lost its disk begin and end their moves one after the other, each after the syncs of the
// one before. The shortest time after which the next disk may be lost is that of a deployment.
func TestMovesShareSlowSyncs(t *testing.T) {
	const syncTime, catchUp = 300 * time.Millisecond, 4900 * time.Millisecond
	var slow atomic.Bool
	f := newFleet(t, 3)
	events := &eventCounter{}
	f.log = event.New(events)
	for range f.controls {
		f.disk = append(f.disk, store.Disk{Sync: func(file *os.File) error {
			if slow.Load() {
				time.Sleep(syncTime)
			}
			return file.Sync()
		}})
	}
	f.runAll()
	for i := range 3 {
		f.addStore(types.HostID(fmt.Sprint("store-", i)))
	}
	c, _ := f.client("entry-1")
	waitFor(t, "the shard map", func() bool { return c.View().Map != nil && len(c.View().Map.Shards) > 0 })
	before := events.count(event.ShardMoved)
	f.stores[0].stop()
	if err := os.RemoveAll(f.stores[0].dir); err != nil {
		t.Fatal(err)
	}
	slow.Store(true)
	start := time.Now()
	f.stores[0].run()
	waitFor(t, "the ends of all moves", func() bool { return events.count(event.ShardMoved) == before+2*turns.ShardCount })
	took := time.Since(start)
	t.Logf("all shards have moved %v after the start of the store, a sync takes %v", took, syncTime)
	if took > catchUp {
		t.Errorf("all shards have moved %v after the start of the store, want at most %v", took, catchUp)
	}
}
