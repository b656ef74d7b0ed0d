package turns_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// twoLostDisks is a cluster of five stores with slow disks that has lost two of them, so that all three that are left
// must reply to each write until the copies end. Each turn is on three of the five.
type twoLostDisks struct {
	*cluster
	disks   []*slowDisk
	written []turns.TurnID
}

func newTwoLostDisks(t *testing.T, count, bytes int) *twoLostDisks {
	t.Helper()
	c := &twoLostDisks{cluster: &cluster{t: t, peers: newPeers()}}
	for range 7 {
		d := &slowDisk{simulated: true}
		c.disks = append(c.disks, d)
		c.cluster.disks = append(c.cluster.disks, d.disk())
	}
	startCluster(c.cluster, 5)
	var g errgroup.Group
	g.SetLimit(20)
	for i := range count {
		turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("turn", i)), Input: make([]byte, bytes)}
		c.written = append(c.written, turn.ID)
		g.Go(func() error {
			c.writeTurnOn(turn, types.ProgramID(fmt.Sprint("p", i)), i%5, (i+1)%5, (i+2)%5)
			return nil
		})
	}
	_ = g.Wait() // writeTurnOn fails the test itself.
	c.stores[3].shutDown()
	c.stores[4].shutDown()
	return c
}

// slow makes all disks slow: each sync takes latency, and longer by the bytes before it.
func (c *twoLostDisks) slow(latency time.Duration, bytesPerSecond int) {
	for _, d := range c.disks {
		d.mu.Lock()
		d.latency, d.bytesPerSecond = latency, bytesPerSecond
		d.mu.Unlock()
	}
}

// claimOn writes a claim to one store.
func (c *cluster) claimOn(i int, program types.ProgramID) error {
	ctx := withTimeout(c.t, stepTimeout)
	link, shard := c.peers.Link(c.member(i).Address), turns.ShardOf("choir", program)
	link.WaitConnected(ctx)
	_, err := wire.Call[turns.ClaimRequest, turns.ClaimReply](ctx, link, turns.KindClaim, turns.ClaimRequest{
		To: c.stores[i].id, Shard: shard, Epoch: c.shardMap.Load().Placement(shard).Epoch, Account: "choir", Program: program,
		Claim: turns.Claim{Attempt: "live", MaxTokens: 10},
	})
	return err
}

// TestLiveWritesGoBeforeCopies guards against claims and ends of turns that wait behind megabytes of copies: after the
// loss of two of five disks all stores that are left must reply, so that a shard refuses while these copy. A live write
// waits for the batch under way and for its own, each of which takes at most three times a sync.
func TestLiveWritesGoBeforeCopies(t *testing.T) {
	const syncTime, bytesPerSecond, interval = 100 * time.Millisecond, 8_000_000, 20 * time.Millisecond
	const endWithin = 8 * time.Second // 2.2 s of the disks of the added stores, and what waits for syncs
	c := newTwoLostDisks(t, 1200, 36<<10)
	c.catchUp = endWithin / 2 // The copies arrive sooner than the disks write them.
	c.slow(syncTime, bytesPerSecond)
	added := []int{c.addStore(), c.addStore()}
	c.setMap(c.movingMap(0, 1, 2, added[0], added[1]))
	var copied atomic.Bool
	var mu sync.Mutex
	longest, writes := map[int]time.Duration{}, 0
	var g errgroup.Group
	for _, store := range []int{0, 1, 2, added[0], added[1]} {
		g.Go(func() error {
			var claims errgroup.Group
			for i := 0; !copied.Load(); i++ {
				claims.Go(func() error {
					began := time.Now()
					err := c.claimOn(store, types.ProgramID(fmt.Sprint("live", store, "/", i)))
					mu.Lock()
					longest[store], writes = max(longest[store], time.Since(began)), writes+1
					mu.Unlock()
					return err
				})
				time.Sleep(interval)
			}
			return claims.Wait()
		})
	}
	start := time.Now()
	waitFor(t, func() bool {
		return len(c.stores[added[0]].CopiedShards()) == turns.ShardCount && len(c.stores[added[1]].CopiedShards()) == turns.ShardCount
	})
	took := time.Since(start)
	copied.Store(true)
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	t.Logf("copied in %v beside %d claims; the longest took, by store, %v", took, writes, longest)
	if took > endWithin {
		t.Errorf("the copies were complete after %v, want less than %v", took, endWithin)
	}
	const scheduling = 400 * time.Millisecond // of a busy machine
	for store, d := range longest {
		if limit := 2*3*syncTime + scheduling; d > limit {
			t.Errorf("a claim took %v on store %d, want at most %v", d, store, limit)
		}
	}
}
