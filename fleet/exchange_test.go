package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// exchangeRequest returns a typical report of one of many hosts.
func exchangeRequest(i, targets int) fleet.LoadsRequest {
	req := fleet.LoadsRequest{
		Host: types.HostID(fmt.Sprintf("entry-%d", i)), Zone: types.ZoneID(fmt.Sprintf("zone-%d", i%5)), Loads: map[types.TargetID]fleet.Load{},
		Relay: &fleet.RelayHost{Host: types.HostID(fmt.Sprintf("entry-%d", i)), Address: fmt.Sprintf("10.0.0.%d:7780", i), Zone: types.ZoneID(fmt.Sprintf("zone-%d", i%5))},
	}
	for n := range 5 {
		req.Loads[types.TargetID(fmt.Sprintf("i-%08d", (i*5+n)%targets))] = fleet.Load{InFlight: n, UnitSeconds: 0.01}
	}
	return req
}

// BenchmarkLoadsExchange measures the leader's work, and the network's, for one exchange
// of loads in fleets of several sizes.
func BenchmarkLoadsExchange(b *testing.B) {
	for _, hosts := range []int{8, 61, 171, 400} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			f := newFleet(b, 1)
			f.runAll()
			c, _ := f.client("entry-1")
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			sums := map[types.HostID]uint64{}
			exchange := func(i int) {
				req := exchangeRequest(i, 71)
				req.RelaysChecksum = sums[req.Host]
				reply, err := c.Loads(ctx, req)
				if err != nil {
					time.Sleep(10 * time.Millisecond) // There is no leader yet.
				}
				if reply.Relays != nil {
					sums[req.Host] = reply.Relays.Checksum
				}
			}
			for range 200 {
				exchange(0)
			}
			for i := range 2 * hosts {
				exchange(i % hosts)
			}
			b.ResetTimer()
			for i := range b.N {
				exchange(i % hosts)
			}
		})
	}
}
