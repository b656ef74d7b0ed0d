package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// exchangeLoads sends a load report, with retries until there is a leader.
func exchangeLoads(ctx context.Context, t *testing.T, c *fleet.Client, req fleet.LoadsRequest) (reply fleet.LoadsReply) {
	t.Helper()
	waitFor(t, "an exchange of loads", func() bool {
		var err error
		reply, err = c.Loads(ctx, req)
		return err == nil
	})
	return reply
}

// TestExchangeLoads checks that a host receives the sum of the other hosts'
// latest load reports, without its own, and that reports expire if they are not
// renewed.
func TestExchangeLoads(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	exchange := func(host types.HostID, loads map[types.TargetID]fleet.Load) map[types.TargetID]fleet.Load {
		return exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: host, Loads: loads}).Loads
	}
	exchange("entry-1", map[types.TargetID]fleet.Load{"t1": {InFlight: 9}})
	exchange("entry-1", map[types.TargetID]fleet.Load{"t1": {InFlight: 2, UnitSeconds: 0.02, Tokens: 28_000}, "t2": {InFlight: 1}})
	exchange("entry-3", map[types.TargetID]fleet.Load{"t1": {InFlight: 1, UnitSeconds: 0.04, Unreachable: 1, Tokens: 14_000}, "t3": {Unreachable: 1}})
	exchange("entry-4", map[types.TargetID]fleet.Load{"t3": {Unreachable: 9}})
	want := map[types.TargetID]fleet.Load{"t1": {InFlight: 3, UnitSeconds: 0.03, Unreachable: 1, Tokens: 42_000}, "t2": {InFlight: 1}, "t3": {Unreachable: 2}}
	if diff := cmp.Diff(want, exchange("entry-2", map[types.TargetID]fleet.Load{"t1": {InFlight: 50}})); diff != "" {
		t.Errorf("loads received by the third host (-want +got):\n%s", diff)
	}
	waitFor(t, "the expiry of reports that are not renewed", func() bool {
		time.Sleep(200 * time.Millisecond)
		return len(exchange("entry-2", nil)) == 0
	})
}
