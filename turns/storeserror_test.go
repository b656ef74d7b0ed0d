package turns_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestStoresErrorTellsWhoIsMissing guards against a refusal for want of a majority that does not tell which
// stores the shard has, which of them did not reply, and why: on a fleet that serves all others, nothing else does.
func TestStoresErrorTellsWhoIsMissing(t *testing.T) {
	c := newCluster(t, 3)
	client := c.client()
	if err := client.Reserve(t.Context(), turns.Budget{Account: "choir", Program: "p", Attempt: "a", Limit: 100, MaxTokens: 10}); err != nil {
		t.Fatal(err)
	}
	c.stores[0].shutDown()
	c.pauseDisk(1)
	defer c.stores[1].resumeDisk()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	err := client.Reserve(ctx, turns.Budget{Account: "choir", Program: "p", Attempt: "b", Limit: 100, MaxTokens: 10})
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Fatal(err)
	}
	var got *turns.StoresError
	if !errors.As(err, &got) {
		t.Fatalf("%v does not tell the stores", err)
	}
	hosts := func(n ...int) (list []types.HostID) {
		for _, i := range n {
			list = append(list, c.member(i).Host)
		}
		return list
	}
	want := map[types.HostID]string{hosts(0)[0]: "no connection", hosts(1)[0]: "no reply"}
	if diff := cmp.Diff(want, got.Missing); diff != "" {
		t.Errorf("missing replies (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(hosts(0, 1, 2), got.Current); diff != "" {
		t.Errorf("stores of the shard (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(turns.ShardOf("choir", "p"), got.Shard); diff != "" {
		t.Errorf("shard (-want +got):\n%s", diff)
	}
}
