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
