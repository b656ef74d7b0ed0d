package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// RelayHost is a host that relays connections to targets for hosts that cannot reach
// these.
type RelayHost struct {
	Host    types.HostID `json:"host"`
	Address string       `json:"address"` // peer address
	Zone    types.ZoneID `json:"zone"`
}

// Relays are the hosts that a host may ask to relay connections.
type Relays struct {
	// Checksum is a hash of the list. It is 0 if and only if the list is empty.
	Checksum uint64      `json:"sum"`
	List     []RelayHost `json:"list"`
}

const (
	// relaysInZone and relaysElsewhere are how many hosts of its own availability zone
	// and of others a host may ask to relay connections.
	relaysInZone    = 4
	relaysElsewhere = 4
)

// relayTable holds the hosts that relay connections. The zero value is ready to use. It is
// not safe for concurrent use.
type relayTable struct {
	hosts    map[types.HostID]RelayHost
	revision uint64                        // of the newest change of hosts
	chosen   map[types.HostID]chosenRelays // what each host that asks was told last
}

// chosenRelays are the relays of one host as of a revision.
type chosenRelays struct {
	Relays
	revision uint64
}

// set records that a host relays connections, or that it does not if r is nil.
func (t *relayTable) set(h types.HostID, r *RelayHost) {
	known, ok := t.hosts[h]
	switch {
	case r == nil && ok:
		delete(t.hosts, h)
	case r != nil && known != *r:
		if t.hosts == nil {
			t.hosts = map[types.HostID]RelayHost{}
		}
		t.hosts[h] = *r
	default:
		return
	}
	t.revision++
}

// forget removes a host that no longer reports.
func (t *relayTable) forget(h types.HostID) {
	t.set(h, nil)
	delete(t.chosen, h)
}

// chosenFor returns the hosts that a host may ask to relay connections. They differ
// between hosts, so that each relays for about as many. They are chosen anew only if the
// hosts that relay have changed, since a host asks several times a second.
func (t *relayTable) chosenFor(h types.HostID, zone types.ZoneID) Relays {
	if c, ok := t.chosen[h]; ok && c.revision == t.revision {
		return c.Relays
	}
	var near, far []RelayHost
	for id, r := range t.hosts {
		switch {
		case id == h:
		case r.Zone == zone:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	var chosen Relays
	if list := slices.Concat(chooseRelays(near, h, relaysInZone), chooseRelays(far, h, relaysElsewhere)); len(list) > 0 {
		chosen = Relays{Checksum: max(1, xxhash.Sum64(types.Encode(list))), List: list}
	}
	if t.chosen == nil {
		t.chosen = map[types.HostID]chosenRelays{}
	}
	t.chosen[h] = chosenRelays{chosen, t.revision}
	return chosen
}

// chooseRelays returns the first n hosts in the rendezvous order of a host.
func chooseRelays(list []RelayHost, of types.HostID, n int) []RelayHost {
	weights := make(map[types.HostID]uint64, len(list))
	for _, r := range list {
		weights[r.Host] = xxhash.Sum64String(string(of) + "/" + string(r.Host))
	}
	slices.SortFunc(list, func(a, b RelayHost) int {
		return cmp.Or(cmp.Compare(weights[a.Host], weights[b.Host]), cmp.Compare(a.Host, b.Host))
	})
	return list[:min(n, len(list))]
}
