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

// checkZoneMayBeLost checks that no zone has a majority of the stores of a shard.
func checkZoneMayBeLost(t *testing.T, shard turns.Shard, all []turns.Candidate, chosen []turns.StoreID, when string) {
	t.Helper()
	copies := map[types.ZoneID]int{}
	for _, c := range all {
		if slices.Contains(chosen, c.ID) {
			copies[c.Zone]++
		}
	}
	for zone, n := range copies {
		if n > len(chosen)/2 {
			t.Errorf("shard %d, %s: %s has %d of the %d copies", shard, when, zone, n, len(chosen))
		}
	}
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
			checkZoneMayBeLost(t, shard, all, chosen, "at first")
			if diff := cmp.Diff(chosen, turns.ChooseStores(shard, chosen, all, replicas, true)); diff != "" {
				t.Errorf("shard %d moves without a loss (-want +got):\n%s", shard, diff)
			}
			for i := range all {
				for j := range i {
					lost := func(c turns.Candidate) bool { return c.ID == all[i].ID || c.ID == all[j].ID }
					during := turns.ChooseStores(shard, chosen, without(all, lost), replicas, true)
					checkZoneMayBeLost(t, shard, all, during, fmt.Sprintf("without %s and %s", all[i].ID, all[j].ID))
					checkZoneMayBeLost(t, shard, all, turns.ChooseStores(shard, during, all, replicas, true), "after their return")
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
	for _, losses := range []int{1, 2} {
		replicas := turns.ReplicaCount(losses, len(all))
		for shard := range turns.Shard(turns.ShardCount) {
			for _, zone := range []types.ZoneID{"z0", "z1", "z2"} {
				chosen := turns.ChooseStores(shard, nil, all, replicas, true)
				during := turns.ChooseStores(shard, chosen, without(all, func(c turns.Candidate) bool { return c.Zone == zone }), replicas, true)
				checkZoneMayBeLost(t, shard, all, turns.ChooseStores(shard, during, all, replicas, true), "after the return of "+string(zone))
			}
		}
	}
}
