package fleet_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// TestExchangeCachedParts checks that a host receives the cached parts reported
// since its position, that a host without a position or with one of another
// leader receives all of them, and that a part reported twice is listed only
// once.
func TestExchangeCachedParts(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	exchange := func(host types.HostID, cached fleet.CachedParts, cursor fleet.Cursor) (fleet.CachedParts, fleet.Cursor) {
		reply := exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: host, CachedParts: cached, Since: cursor})
		return reply.CachedParts, reply.Cursor
	}
	_, first := exchange("entry-1", fleet.CachedParts{"t1": {7}}, fleet.Cursor{})
	exchange("entry-1", fleet.CachedParts{"t1": {7}}, first)
	exchange("entry-2", fleet.CachedParts{"t2": {7, 9}}, fleet.Cursor{})
	since, _ := exchange("entry-1", nil, first)
	if diff := cmp.Diff(fleet.CachedParts{"t2": {7, 9}}, since); diff != "" {
		t.Errorf("parts since the first exchange (-want +got):\n%s", diff)
	}
	all, cursor := exchange("entry-3", nil, fleet.Cursor{})
	if diff := cmp.Diff(fleet.CachedParts{"t1": {7}, "t2": {7, 9}}, all); diff != "" {
		t.Errorf("parts received by a new host (-want +got):\n%s", diff)
	}
	none, _ := exchange("entry-3", nil, cursor)
	if diff := cmp.Diff(fleet.CachedParts(nil), none); diff != "" {
		t.Errorf("parts received with the current position (-want +got):\n%s", diff)
	}
	other, _ := exchange("entry-3", nil, fleet.Cursor{TableID: "an earlier leader", Next: 99})
	if diff := cmp.Diff(fleet.CachedParts{"t1": {7}, "t2": {7, 9}}, other); diff != "" {
		t.Errorf("parts received with the position of another leader (-want +got):\n%s", diff)
	}
}
