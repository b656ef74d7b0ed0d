package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// TestHostsLearnWhoRelays checks that a host is told which hosts relay connections, those
// of its zone first, without itself and without those that offer it no longer, and only
// when they have changed.
func TestHostsLearnWhoRelays(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	var checksum uint64
	exchange := func(host types.HostID, zone types.ZoneID, offers bool) *fleet.Relays {
		req := fleet.LoadsRequest{Host: host, Zone: zone}
		if offers {
			req.Relay = &fleet.RelayHost{Host: host, Address: string(host) + ":1", Zone: zone}
		}
		if host == "entry-1" {
			req.RelaysChecksum = checksum
		}
		reply := exchangeLoads(ctx, t, c, req).Relays
		if host == "entry-1" && reply != nil {
			checksum = reply.Checksum
		}
		return reply
	}
	check := func(what string, got *fleet.Relays, want ...types.HostID) {
		t.Helper()
		if got == nil {
			t.Fatalf("%s: no hosts were sent", what)
		}
		var hosts []types.HostID
		for _, r := range got.List {
			hosts = append(hosts, r.Host)
		}
		if diff := cmp.Diff(want, hosts); diff != "" {
			t.Errorf("%s (-want +got):\n%s", what, diff)
		}
	}
	if got := exchange("entry-1", "zone-a", true); got != nil {
		t.Errorf("hosts that relay for the only host: %+v", got)
	}
	exchange("entry-2", "zone-b", true)
	exchange("entry-3", "zone-a", true)
	check("two others", exchange("entry-1", "zone-a", true), "entry-3", "entry-2")
	if got := exchange("entry-1", "zone-a", true); got != nil {
		t.Errorf("hosts that have not changed were sent again: %+v", got)
	}
	exchange("entry-3", "zone-a", false)
	check("one that can no longer relay", exchange("entry-1", "zone-a", true), "entry-2")
	waitFor(t, "the expiry of an offer", func() bool {
		time.Sleep(200 * time.Millisecond)
		got := exchange("entry-1", "zone-a", true)
		return got != nil && len(got.List) == 0
	})
}
