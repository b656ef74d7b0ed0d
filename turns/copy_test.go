package turns_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// proxy forwards connections to a store. What the store sends passes at a limited rate, and a
// connection ends after a number of bytes.
type proxy struct {
	target         string
	bytesPerSecond int
	cutAfter       int // 0 for never
}

// start returns the address of the proxy, which runs until the end of the test.
func (p proxy) start(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { p.forward(ctx, conn); return nil })
		}
	})
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		_ = g.Wait()
	})
	return listener.Addr().String()
}

func (p proxy) forward(ctx context.Context, conn net.Conn) {
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	closeBoth := func() { _ = conn.Close(); _ = store.Close() }
	defer closeBoth()
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	var g errgroup.Group
	g.Go(func() error {
		_, err := io.Copy(store, conn)
		closeBoth()
		return err
	})
	const chunk = 4 << 10
	for sent := 0; p.cutAfter == 0 || sent < p.cutAfter; sent += chunk {
		if _, err := io.CopyN(conn, store, chunk); err != nil {
			break
		}
		types.Sleep(ctx, time.Duration(chunk)*time.Second/time.Duration(p.bytesPerSecond))
	}
	closeBoth()
	_ = g.Wait() // It ends with the connections.
}

// TestCopyCompletesFromPoorSources guards against stores that lose their disks in turn while
// the copies for the first one never end: because a copy that fails begins again, or because it
// waits for a slow source although another one has the same turns. Copies from slow sources
// only take longer, but must end, too.
func TestCopyCompletesFromPoorSources(t *testing.T) {
	const catchUp = 8 * time.Second // 8.3 s on the smallest deployment
	for name, test := range map[string]struct {
		sources [2]proxy
		limit   time.Duration
	}{
		"connections end":         {[2]proxy{{bytesPerSecond: 10 << 20, cutAfter: 450 << 10}, {bytesPerSecond: 10 << 20, cutAfter: 450 << 10}}, catchUp},
		"one of two is very slow": {[2]proxy{{bytesPerSecond: 10 << 20}, {bytesPerSecond: 100 << 10}}, catchUp},
		"both are slow":           {[2]proxy{{bytesPerSecond: 300 << 10}, {bytesPerSecond: 300 << 10}}, stepTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			const programs, turnBytes = 300, 6000
			var g errgroup.Group
			g.SetLimit(20)
			for i := range programs {
				turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("turn", i)), Input: make([]byte, turnBytes)}
				g.Go(func() error { c.writeTurnOn(turn, "p", 0, 1, 2); return nil })
			}
			_ = g.Wait() // writeTurnOn fails the test itself.
			c.addStore()
			// As if store 2 had lost its disk and store 0 were retired, so that no turn is on
			// a majority of the next stores and store 3 needs all of them.
			next := []turns.StoreID{c.stores[1].id, c.stores[3].id, "added, but not started"}
			m := c.changedMap(func(p *turns.Placement) { p.Next = next })
			for i, p := range test.sources {
				member := m.Members[c.stores[i].id]
				p.target = member.Address
				member.Address = p.start(t)
				m.Members[c.stores[i].id] = member
			}
			c.stores[2].shutDown()
			start := time.Now()
			c.setMap(m)
			c.requireCopied(3, turns.ShardOf("choir", "p"), test.limit)
			t.Logf("copied in %v", time.Since(start))
			for i := range programs {
				if id := turns.TurnID(fmt.Sprint("turn", i)); !c.storeHas(3, id) {
					t.Errorf("the copy lacks turn %s", id)
				}
			}
		})
	}
}

// requireCopied requires that store i copies a shard within a time.
func (c *cluster) requireCopied(i int, shard turns.Shard, limit time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if _, ok := c.stores[i].CopiedShards()[shard]; ok {
			return
		}
	}
	c.t.Errorf("shard %d was not copied within %v", shard, limit)
}

// TestDisksLostInTurn guards against turns and claims that do not survive when all stores lose
// their disks one after the other, each as soon as the copies for the one before are complete.
func TestDisksLostInTurn(t *testing.T) {
	c := newCluster(t, 3)
	const programs = 60
	for i := range programs {
		turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("turn", i)), Input: make([]byte, 4000)}
		c.writeTurnOn(turn, types.ProgramID(fmt.Sprint("p", i)), i%3, (i+1)%3)
	}
	live := []int{0, 1, 2}
	for lost := range 3 {
		c.stores[lost].shutDown()
		live = append(live[1:], c.addStore())
		c.moveAll(live...)
	}
	for i := range programs {
		id := turns.TurnID(fmt.Sprint("turn", i))
		c.requireChain(id, []turns.TurnID{id})
		if n := c.claimCount(live[i%3], types.ProgramID(fmt.Sprint("p", i))); n != 1 {
			t.Errorf("a store has %d claims of program p%d, want 1", n, i)
		}
	}
}

// TestEndedMovesAreNotReported guards against a store that reports its copies to the leader ten
// times a second for as long as it runs, though the moves have ended.
func TestEndedMovesAreNotReported(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "first", "")
	added := c.addStore()
	c.moveAll(0, 1, added)
	if copied := c.stores[added].CopiedShards(); len(copied) > 0 {
		t.Errorf("%d shards are still reported as copied", len(copied))
	}
}

// TestSourcesWithoutMapGetEachListRequestOnce guards against copies that fail and begin again
// because their sources get the map of the move a moment later than the store that copies.
func TestSourcesWithoutMapGetEachListRequestOnce(t *testing.T) {
	c := newCluster(t, 3)
	writeTurn(t, c.client(), "choir", "p", "first", "")
	c.catchUp = 8 * time.Second
	added := c.addStore()
	before := requestsHandled("turns.list")
	m := c.movingMap(0, 1, added)
	c.stores[added].SetMap(m)
	time.Sleep(250 * time.Millisecond)
	c.setMap(m)
	c.endMove(added)
	requests := requestsHandled("turns.list") - before
	t.Logf("%d requests for lists", requests)
	if most := uint64(3*turns.ShardCount + 3*4); requests > most { // Some may be sent late.
		t.Errorf("%d requests for the lists of %d shards on three stores, want at most %d", requests, turns.ShardCount, most)
	}
}
