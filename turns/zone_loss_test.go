package turns_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// nineStores returns three live stores in each of three zones.
func nineStores() []turns.Candidate {
	var all []turns.Candidate
	for i := range 9 {
		all = append(all, turns.Candidate{
			Member: turns.Member{ID: turns.StoreID(fmt.Sprint("s", i)), Zone: types.ZoneID(fmt.Sprint("z", i%3))}, Live: true,
		})
	}
	return all
}

// without returns the candidates, of which those that are lost are not live.
func without(all []turns.Candidate, lost func(turns.Candidate) bool) []turns.Candidate {
	all = slices.Clone(all)
	for i := range all {
		all[i].Live = !lost(all[i])
	}
	return all
}

// zoneMayBeLost reports whether no zone has a majority of the stores of a shard.
func zoneMayBeLost(all []turns.Candidate, chosen []turns.StoreID) bool {
	copies := map[types.ZoneID]int{}
	for _, c := range all {
		if slices.Contains(chosen, c.ID) {
			copies[c.Zone]++
		}
	}
	for _, n := range copies {
		if n > len(chosen)/2 {
			return false
		}
	}
	return len(chosen) > 0
}

// TestZoneMayBeLost guards against shards that lose their majority with one zone of three:
// with nine stores that are all live, and while two stores are lost or retired and after
// they have returned.
func TestZoneMayBeLost(t *testing.T) {
	all := nineStores()
	for _, losses := range []int{1, 2} {
		replicas := turns.ReplicaCount(losses, len(all))
		for shard := range turns.Shard(turns.ShardCount) {
			chosen := turns.ChooseStores(shard, nil, all, replicas, true)
			if !zoneMayBeLost(all, chosen) {
				t.Errorf("shard %d: a zone has a majority of %v", shard, chosen)
			}
			if diff := cmp.Diff(chosen, turns.ChooseStores(shard, chosen, all, replicas, true)); diff != "" {
				t.Errorf("shard %d moves without a loss (-want +got):\n%s", shard, diff)
			}
			for i := range all {
				for j := range i {
					lost := func(c turns.Candidate) bool { return c.ID == all[i].ID || c.ID == all[j].ID }
					during := turns.ChooseStores(shard, chosen, without(all, lost), replicas, true)
					after := turns.ChooseStores(shard, during, all, replicas, true)
					if !zoneMayBeLost(all, during) || !zoneMayBeLost(all, after) {
						t.Errorf("shard %d: a zone has a majority of %v without %s and %s, or of %v after their return", shard, during, all[i].ID, all[j].ID, after)
					}
				}
			}
		}
	}
}

// TestZoneMayBeLostAfterReturnOfAnother guards against shards that lose their majority with
// one zone of three since their copies were moved out of another one while that was lost,
// and stayed where they were when it came back.
func TestZoneMayBeLostAfterReturnOfAnother(t *testing.T) {
	all := nineStores()
	lost, placements := 0, 0
	for _, losses := range []int{1, 2} {
		replicas := turns.ReplicaCount(losses, len(all))
		for shard := range turns.Shard(turns.ShardCount) {
			for _, zone := range []types.ZoneID{"z0", "z1", "z2"} {
				chosen := turns.ChooseStores(shard, nil, all, replicas, true)
				during := turns.ChooseStores(shard, chosen, without(all, func(c turns.Candidate) bool { return c.Zone == zone }), replicas, true)
				placements++
				if !zoneMayBeLost(all, turns.ChooseStores(shard, during, all, replicas, true)) {
					lost++
				}
			}
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d placements have a majority in one zone after the return of another", lost, placements)
	}
}
