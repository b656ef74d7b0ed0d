package turns_test

import (
	"fmt"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// programsOf returns a program of each shard of account "choir".
func programsOf() (programs [turns.ShardCount]types.ProgramID) {
	for i, left := 0, turns.ShardCount; left > 0; i++ {
		program := types.ProgramID(fmt.Sprint("p", i))
		if shard := turns.ShardOf("choir", program); programs[shard] == "" {
			programs[shard] = program
			left--
		}
	}
	return programs
}

// TestShardsWithoutSlackAreCopiedFirst guards against a shard that has lost two of its five disks, so that all stores
// which are left must reply to each write, and whose copies end among the last since those of shards that have lost
// one disk take the same link.
func TestShardsWithoutSlackAreCopiedFirst(t *testing.T) {
	const half, count, bytes = turns.ShardCount / 2, 12, 32 << 10 // turns of each shard
	c := newCluster(t, 6)
	ids := func(stores ...int) (list []turns.StoreID) {
		for _, i := range stores {
			list = append(list, c.stores[i].id)
		}
		return list
	}
	m := c.changedMap(func(*turns.Placement) {})
	for shard := range m.Shards {
		m.Shards[shard].Current = ids(0, 1, 2, 4, 5)
		if shard%2 == 0 {
			m.Shards[shard].Current = ids(0, 1, 2, 3, 4)
		}
	}
	c.setMap(m)
	var g errgroup.Group
	g.SetLimit(20)
	for shard, program := range programsOf() {
		on := []int{0, 4} // One of those that are left has each turn, so that no other one adopts it.
		if shard%2 == 0 {
			on = []int{0, 3, 4}
		}
		for i := range count {
			turn := turns.Turn{ID: turns.TurnID(fmt.Sprint(shard, "/", i)), Input: make([]byte, bytes)}
			g.Go(func() error {
				c.writeTurnOn(turn, program, on...)
				return nil
			})
		}
	}
	_ = g.Wait() // writeTurnOn fails the test itself.
	c.stores[3].shutDown()
	c.stores[4].shutDown()
	waitFor(t, func() bool {
		return !c.peers.Link(c.member(3).Address).IsConnected() && !c.peers.Link(c.member(4).Address).IsConnected()
	})
	c.catchUp, c.linkBytesPerSecond = stepTimeout, 1<<20
	added := c.addStore()
	next := ids(0, 1, 2, 5, added)
	m = c.changedMap(func(p *turns.Placement) { p.Next = next })
	lost := m.Members[c.stores[3].id]
	lost.Address = m.Members[c.stores[added].id].Address // The host is back with an empty disk.
	m.Members[lost.ID] = lost
	c.setMap(m)
	copied := func(rest int) (n int) {
		for shard := range c.stores[added].CopiedShards() {
			if int(shard)%2 == rest {
				n++
			}
		}
		return n
	}
	var others int
	waitFor(t, func() bool {
		others = copied(1)
		return copied(0) == half
	})
	t.Logf("%d of %d shards with slack were copied before the last one without", others, half)
	if others > half/2 {
		t.Errorf("%d of %d shards that have lost one disk of five were copied before those that have lost two, want at most %d", others, half, half/2)
	}
	waitFor(t, func() bool { return copied(1) == half })
}
