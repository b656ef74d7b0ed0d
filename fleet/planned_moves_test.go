package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// newRetiringFleet is a fleet of five stores, three for each shard, the first of which is ordered to retire while stores do
// not copy yet. It returns when the order was given.
func newRetiringFleet(t *testing.T, prepare func(m *movingFleet)) (m *movingFleet, ordered time.Time) {
	t.Helper()
	f := newFleet(t, 3)
	f.losses = 1
	f.holdCopies.Store(true)
	m = &movingFleet{testFleet: f}
	f.runAll()
	for i := range 5 {
		f.addStore(types.HostID(fmt.Sprint("store-", i)))
	}
	m.client, _ = f.client("entry-1")
	waitFor(t, "the shard map", func() bool { return len(storeHosts(m.client.View())) > 0 })
	time.Sleep(3 * time.Second) // All stores have sent requests to the leader.
	prepare(m)
	ordered = time.Now()
	waitFor(t, "the order", func() bool {
		_, err := m.client.Retire(t.Context(), "store-0")
		return err == nil
	})
	return m, ordered
}

// awaitEmpty waits until the first store has no shards, and none move.
func (m *movingFleet) awaitEmpty() {
	m.t.Helper()
	waitFor(m.t, "the retired store to be empty", func() bool {
		hosts := storeHosts(m.client.View())
		return len(hosts) > 0 && !hosts["store-0"]
	})
}

// TestRetirementMovesFewShardsAtATime guards against the moves of a planned retirement, which are in no hurry, that all
// run at once: every store that takes part then writes copies for up to 2 s at a time, and turns are refused in calm.
// The rest begins together in time for the promise.
func TestRetirementMovesFewShardsAtATime(t *testing.T) {
	const few, spread = 4, 2500 * time.Millisecond
	m, ordered := newRetiringFleet(t, func(*movingFleet) {})
	all := m.countShards(true) + m.countShards(false)
	waitFor(t, "the first moves", func() bool { return m.countShards(true) == few })
	for time.Since(ordered) < spread-500*time.Millisecond {
		if n := m.countShards(true); n > few {
			t.Fatalf("%d of %d shards move %v after the order, want at most %d", n, all, time.Since(ordered), few)
		}
		time.Sleep(20 * time.Millisecond)
	}
	waitFor(t, "all moves", func() bool { return m.countShards(false) == 0 })
	t.Logf("all %d shards move %v after the order, %d of them at first", all, time.Since(ordered), few)
	if late := time.Since(ordered); late > spread+2*time.Second {
		t.Errorf("the last moves began %v after the order, want %v", late, spread)
	}
	m.holdCopies.Store(false)
	m.awaitEmpty()
}

// TestRetirementEndsSooner guards against moves that wait for the time of a retirement though those before them have
// ended.
func TestRetirementEndsSooner(t *testing.T) {
	m, ordered := newRetiringFleet(t, func(m *movingFleet) { m.holdCopies.Store(false) })
	m.awaitEmpty()
	took := time.Since(ordered)
	t.Logf("empty after %v", took)
	if promised := 8900 * time.Millisecond; took > promised {
		t.Errorf("the retired store is empty after %v, want at most %v", took, promised)
	}
}

// TestLostStoreMovesBesideRetirement guards against shards of a lost store that wait for those of a retired one.
func TestLostStoreMovesBesideRetirement(t *testing.T) {
	m, _ := newRetiringFleet(t, func(m *movingFleet) { m.stores[1].stop() })
	waitFor(t, "all shards of the lost store to move", func() bool {
		v := m.client.View()
		for _, p := range v.Map.Shards {
			for _, id := range p.Current {
				if v.Map.Members[id].Host == "store-1" && len(p.Next) == 0 {
					return false
				}
			}
		}
		return true
	})
	m.holdCopies.Store(false)
	waitFor(t, "all shards on the stores that are left", func() bool {
		hosts := storeHosts(m.client.View())
		return len(hosts) == 3 && !hosts["store-0"] && !hosts["store-1"]
	})
}
