package turns_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestRefusalNamesLackingStores guards against refusals from which nobody can tell which shard had no majority,
// and which of its stores kept it from having one: without a connection, late, or with another shard map.
func TestRefusalNamesLackingStores(t *testing.T) {
	c := newCluster(t, 4)
	w := c.client()
	writeTurn(t, w, "choir", "p", "first", "")
	c.pauseDisk(1)
	newer := c.changedMap(func(*turns.Placement) {})
	for i := range 3 {
		c.stores[i].SetMap(newer)
	}
	c.shardMap.Store(newer) // Store 3 does not get it.
	waitFor(t, func() bool { return c.peers.Link(c.member(1).Address).IsConnected() })
	c.stores[0].shutDown()
	waitFor(t, func() bool { return !c.peers.Link(c.member(0).Address).IsConnected() })
	b := turns.Budget{Account: "choir", Program: "p", Attempt: "a", Limit: 100, MaxTokens: 10}
	err := w.Confirm(withTimeout(t, 900*time.Millisecond), b, time.Hour)
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Fatalf("a claim without a majority: %v", err)
	}
	shard := turns.ShardOf("choir", "p")
	want := event.Fields{
		"shard": shard, "current": newer.Placement(shard).Current, "next": newer.Placement(shard).Next,
		"lacking": []turns.LackingStore{
			{Store: c.stores[0].id, Host: "store-0", Reason: turns.NoConnection},
			{Store: c.stores[1].id, Host: "store-1", Reason: turns.NoReply},
			{Store: c.stores[3].id, Host: "store-3", Reason: turns.Refused, Fault: "the store has not received the current shard map yet"},
		},
	}
	got := turns.QuorumFields(err)
	lacking, _ := got["lacking"].([]turns.LackingStore)
	for i, l := range lacking {
		if l.Fault != "" {
			lacking[i].Reason = turns.Refused // It may just have got the request again.
		} else if l.Reason == turns.NoReply && (l.WaitedMs < 500 || l.WaitedMs > 5000) {
			t.Errorf("store %s has not replied for %d ms, want the time of the claim, 900 ms", l.Host, l.WaitedMs)
		}
		lacking[i].WaitedMs = 0
	}
	byHost := cmpopts.SortSlices(func(a, b turns.LackingStore) bool { return a.Host < b.Host })
	if diff := cmp.Diff(want, got, byHost); diff != "" {
		t.Errorf("fields of the refusal (-want +got):\n%s", diff)
	}
	if fields := turns.QuorumFields(types.NewFault(types.CodeNotFound, "there is no such turn")); fields != nil {
		t.Errorf("another fault has the fields %v", fields)
	}
}
