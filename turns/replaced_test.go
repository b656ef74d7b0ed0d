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

// TestStoresThatCopyGetNoOthersWrites guards against copies that are late since two of five stores have lost their
// disks, and the stores at their addresses get all turns with which the other three are late, and each
// request for the lost ones again and again. They can help with none of them: a majority of the five needs the
// three that are left.
func TestStoresThatCopyGetNoOthersWrites(t *testing.T) {
	c := &cluster{t: t, peers: newPeers()}
	var disks []*slowDisk
	for range 5 {
		d := &slowDisk{simulated: true}
		disks = append(disks, d)
		c.disks = append(c.disks, store.Disk(d.disk()))
	}
	startCluster(c, 5)
	w := c.client()
	writeTurn(t, w, "choir", "p", "first", "") // From now on all stores are connected.
	lost := []turns.StoreID{"lost-3", "lost-4"}
	m := c.changedMap(func(p *turns.Placement) {
		p.Next = p.Current
		p.Current = append(append([]turns.StoreID(nil), p.Current[:3]...), lost...)
	})
	for i, id := range lost {
		member := c.member(3 + i)
		member.ID = id
		m.Members[id] = member
	}
	c.setMap(m)
	for _, d := range disks[:3] {
		d.slow(600 * time.Millisecond)
	}
	const writes, left = 20, 3
	before := requestsHandled("turns.close")
	var g errgroup.Group
	for i := range writes {
		g.Go(func() error {
			return settleTurn(withTimeout(t, stepTimeout), w, "choir", types.ProgramID(fmt.Sprint("p", i)), turns.TurnID(fmt.Sprint("turn", i)), "")
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	// Each of the lost stores is asked once.
	if n, most := requestsHandled("turns.close")-before, uint64(writes*(left+len(lost))); n > most {
		t.Errorf("%d turns were sent %d times, want at most %d", writes, n, most)
	}
}

// TestReplyOfStoreThatEndsCounts guards against a turn that is not written though enough stores are up: a current store has
// replied and then ended, another one is late, and the store that the shard moves to must complete the quorum.
func TestReplyOfStoreThatEndsCounts(t *testing.T) {
	c := newCluster(t, 4)
	c.updatePlacements(func(p *turns.Placement) { p.Current = []turns.StoreID{c.stores[0].id, c.stores[1].id, c.stores[2].id} })
	writeTurn(t, c.client(), "choir", "p", "first", "")
	c.pauseDisk(1)
	c.setMap(c.movingMap(0, 1, 3))
	waitFor(t, func() bool { return c.peers.Link(c.member(1).Address).IsConnected() })
	w := c.client()
	var g errgroup.Group
	g.Go(func() error { return settleTurn(withTimeout(t, 5*time.Second), w, "choir", "p", "second", "first") })
	waitFor(t, func() bool { return c.storeHas(2, "second") })
	c.stores[2].shutDown()
	if err := g.Wait(); err != nil {
		t.Errorf("stores 0 and 3 are up, and 2 has replied: %v", err)
	}
	c.stores[1].resumeDisk()
}
