package turns_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// lostDisk is a cluster of stores, the last of which loses its disk.
type lostDisk struct {
	*cluster
	written []turns.TurnID
}

// newLostDisk is newLostDiskOf for three stores, of which each turn is on two.
func newLostDisk(t *testing.T, count, bytes int) *lostDisk {
	t.Helper()
	return newLostDiskOf(t, 3, 2, count, bytes)
}

// newLostDiskOf writes turns of the given size to a cluster, spread over all shards, each to as many
// stores as holders, all of which have the same number, and shuts the last store down.
func newLostDiskOf(t *testing.T, stores, holders, count, bytes int) *lostDisk {
	t.Helper()
	c := &lostDisk{cluster: newCluster(t, stores)}
	var g errgroup.Group
	g.SetLimit(20)
	for i := range count {
		id := turns.TurnID(fmt.Sprint("turn", i))
		c.written = append(c.written, id)
		turn := turns.Turn{ID: id, Input: make([]byte, bytes)}
		var on []int
		for n := range holders {
			on = append(on, (i+n)%stores)
		}
		g.Go(func() error {
			c.writeTurnOn(turn, types.ProgramID(fmt.Sprint("p", i)), on...)
			return nil
		})
	}
	_ = g.Wait() // writeTurnOn fails the test itself.
	c.stores[stores-1].shutDown()
	return c
}

// copyAll replaces the last store by an empty one and returns the time until that has copied
// all shards.
func (c *lostDisk) copyAll() time.Duration {
	c.t.Helper()
	start := time.Now()
	added := c.addStore()
	c.moveAll(0, 1, added)
	return time.Since(start)
}

// requireMajorities requires that every turn is on two of the stores 0, 1 and 3. It returns how many
// turns each of these has got by copies.
func (c *lostDisk) requireMajorities() (copied map[int]int) {
	c.t.Helper()
	copied = map[int]int{}
	for n, id := range c.written {
		holders := 0
		for _, i := range []int{0, 1, 3} {
			if !c.storeHas(i, id) {
				continue
			}
			holders++
			if i != n%3 && i != (n+1)%3 { // Those to which it was written.
				copied[i]++
			}
		}
		if holders < 2 {
			c.t.Errorf("turn %s is on %d of three stores, want a majority", id, holders)
		}
	}
	return copied
}

// TestCopiesEndWithinCatchUp guards against shards that lose their majority because the copies
// for the last lost disk are not complete when the next disk is lost: 110 MB in 16 shards at
// 8 MB/s, with 8.3 s between the losses. Here it is 72 MB and 5 s, and two thirds of the turns
// are on one of the remaining stores only.
func TestCopiesEndWithinCatchUp(t *testing.T) {
	const catchUp = 5 * time.Second
	c := newLostDisk(t, 1100, 64<<10)
	c.catchUp = catchUp
	took := c.copyAll()
	t.Logf("copied in %v", took)
	if took > catchUp {
		t.Errorf("the copies were complete after %v, want less than %v", took, catchUp)
	}
	c.requireMajorities()
}

// TestCopiesLeavePartOfTheLink guards against copies that take the whole bandwidth of a
// host's link because they are late, so that live programs are not served. They arrive over the links of
// all three stores, but of each no faster than that carries.
func TestCopiesLeavePartOfTheLink(t *testing.T) {
	const bytesPerSecond = 3 << 20
	c := newLostDisk(t, 120, 64<<10)
	c.catchUp, c.linkBytesPerSecond = 500*time.Millisecond, bytesPerSecond
	took := c.copyAll()
	t.Logf("copied in %v", took)
	for i, turns := range c.requireMajorities() {
		bytes := turns * 64 << 10
		// The first parts, up to one of each of the two sources, are requested at once.
		if least := time.Duration(float64(bytes-512<<10) / bytesPerSecond * float64(time.Second)); took < least {
			t.Errorf("store %d has copied %d bytes within %v, which is more than its link carries", i, bytes, took)
		}
	}
}

// TestCopiesFromLateSources guards against copies that never end, and keep their sources busy,
// because each request for turns is given up shortly before a source that is late replies.
func TestCopiesFromLateSources(t *testing.T) {
	c := newLostDisk(t, 240, 16<<10)
	c.catchUp = 8 * time.Second
	c.setReplyLatency(900*time.Millisecond, 0, 1)
	before := requestsHandled("turns.fetch")
	took := c.copyAll()
	requests := requestsHandled("turns.fetch") - before
	t.Logf("copied in %v with %d requests", took, requests)
	// One for each shard and source, and the parts that are smaller after a late one.
	if limit := uint64(4 * turns.ShardCount); requests > limit {
		t.Errorf("turns were requested %d times, want at most %d", requests, limit)
	}
	c.setReplyLatency(0, 0, 1)
	c.requireMajorities()
}

// setReplyLatency restarts stores that delay all that they send.
func (c *lostDisk) setReplyLatency(latency time.Duration, stores ...int) {
	for _, i := range stores {
		c.stores[i].shutDown()
		c.stores[i].replyLatency = latency
		c.restartStore(i)
	}
}

// TestCopiesEndWithinCatchUpOnSlowDisk guards against turns that are lost with the next disk, since the
// copies of a lost one wait for the sync of each part and each list on a disk whose syncs take long.
func TestCopiesEndWithinCatchUpOnSlowDisk(t *testing.T) {
	const catchUp, syncTime = 8300 * time.Millisecond, 300 * time.Millisecond
	c := newLostDisk(t, 2400, 18<<10)
	slow := &slowDisk{simulated: true}
	slow.slow(syncTime)
	c.disks = []store.Disk{{}, {}, {}, slow.disk()}
	c.catchUp = catchUp
	took := c.copyAll()
	t.Logf("copied in %v, a sync takes %v", took, syncTime)
	if took > catchUp {
		t.Errorf("the copies were complete after %v, want less than %v", took, catchUp)
	}
	c.requireMajorities()
}

// TestCopiesFetchRecentTurnsFirst guards against copies that leave the turns which callers are about to
// continue to the end, so that these are lost if another disk is lost before.
func TestCopiesFetchRecentTurnsFirst(t *testing.T) {
	const count, bytes = 40, 64 << 10
	c := startCluster(&cluster{t: t, peers: newPeers(), virtual: true, linkBytesPerSecond: 1 << 20}, 3)
	write := func(name string) (ids []turns.TurnID) {
		for i := range count {
			turn := turns.Turn{ID: turns.TurnID(fmt.Sprint(name, i)), Input: make([]byte, bytes)}
			c.writeTurnOn(turn, "p", 0, 2)
			ids = append(ids, turn.ID)
		}
		return ids
	}
	older := write("older")
	c.advance(4 * time.Second)
	recent := write("recent")
	c.stores[2].shutDown()
	added := c.addStore()
	c.setMap(c.movingMap(0, 1, added))
	// Store 1 adopts a part of the turns, over its own link.
	recentBefore := map[int]int{}
	waitFor(t, func() bool {
		for _, i := range []int{1, added} {
			if _, ok := recentBefore[i]; !ok && c.storedOn(i, older) > 0 {
				recentBefore[i] = c.storedOn(i, recent)
			}
		}
		return len(recentBefore) == 2
	})
	c.endMove(added)
	sum := 0
	for i, n := range recentBefore {
		all := c.storedOn(i, recent)
		sum += all + c.storedOn(i, older)
		if n < all-partTurns {
			t.Errorf("store %d copied older turns when it had %d of %d recent ones", i, n, all)
		}
	}
	if sum != 2*count {
		t.Errorf("%d of %d turns were copied", sum, 2*count)
	}
}

// partTurns is the most turns of 64 KiB in a part. Parts that are under way at the same time may arrive in
// any order.
const partTurns = 5

// storedOn returns how many of some turns a store has.
func (c *cluster) storedOn(store int, ids []turns.TurnID) (n int) {
	c.t.Helper()
	for _, id := range ids {
		if c.storeHas(store, id) {
			n++
		}
	}
	return n
}
