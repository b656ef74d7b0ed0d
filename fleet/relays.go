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

// relaysFor returns the hosts that a host may ask to relay connections. They differ
// between hosts, so that each relays for about as many.
func (t *loadTable) relaysFor(h types.HostID, zone types.ZoneID) Relays {
	var near, far []RelayHost
	for id, r := range t.reports {
		switch {
		case r.relay == nil || id == h:
		case r.relay.Zone == zone:
			near = append(near, *r.relay)
		default:
			far = append(far, *r.relay)
		}
	}
	list := slices.Concat(chooseRelays(near, h, relaysInZone), chooseRelays(far, h, relaysElsewhere))
	if len(list) == 0 {
		return Relays{}
	}
	return Relays{Checksum: max(1, xxhash.Sum64(types.Encode(list))), List: list}
}

// chooseRelays returns the first n hosts in the rendezvous order of a host.
func chooseRelays(list []RelayHost, of types.HostID, n int) []RelayHost {
	weight := func(r RelayHost) uint64 { return xxhash.Sum64String(string(of) + "/" + string(r.Host)) }
	slices.SortFunc(list, func(a, b RelayHost) int {
		return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a.Host, b.Host))
	})
	return list[:min(n, len(list))]
}
