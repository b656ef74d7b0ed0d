package turns

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// StoresError is the error of a request for which too few stores have replied, or too many have refused it. It
// wraps the [types.Fault] that says so, and tells for logs what became of the request at each store.
type StoresError struct {
	// Shard is the shard of the request; for a chain, that of its program.
	Shard Shard
	// Current and Next are the hosts of the stores in the lists of the shard's [Placement].
	Current, Next []types.HostID
	// Missing tells by host why a store's reply is missing, and Lacking names the hosts
	// whose stores replied that they lack the turn.
	Missing map[types.HostID]string
	Lacking []types.HostID

	fault error
}

// Error returns the text of the fault alone, which callers get.
func (e *StoresError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *StoresError) Unwrap() error { return e.fault }

// newStoresError returns an error for a request that concerns a shard of m.
func newStoresError(fault error, m *Map, shard Shard) *StoresError {
	p := m.Placement(shard)
	return &StoresError{Shard: shard, Current: m.hostsOf(p.Current), Next: m.hostsOf(p.Next), Missing: map[types.HostID]string{}, fault: fault}
}

// hostOf returns the host of a store, or the store's ID if the map does not have it.
func (m *Map) hostOf(id StoreID) types.HostID {
	if member, ok := m.member(id); ok {
		return member.Host
	}
	return types.HostID(id)
}

func (m *Map) hostsOf(ids []StoreID) (hosts []types.HostID) {
	for _, id := range ids {
		hosts = append(hosts, m.hostOf(id))
	}
	slices.Sort(hosts)
	return hosts
}

// whyMissing returns why there is no reply of a store that a request was sent to or not, after its last error, if any.
func (c *Client) whyMissing(m *Map, id StoreID, sent bool, last error) string {
	member, known := m.member(id)
	switch {
	case !known:
		return "not in the shard map"
	case !sent:
		return "not asked"
	case !c.Peers.Link(member.Address).IsConnected():
		return "no connection"
	case last != nil:
		return last.Error()
	}
	return "no reply"
}

// storesError returns the error of a call that has ended with a fault.
func (s *shardCall[Resp]) storesError(fault error) error {
	e := newStoresError(fault, s.shardMap, s.shard)
	for i, id := range s.stores {
		if _, ok := s.replies[id]; !ok {
			e.Missing[s.shardMap.hostOf(id)] = s.client.whyMissing(s.shardMap, id, i < s.sent, s.failed[id])
		}
	}
	return e
}

// storesError returns the error of a search that has ended with a fault.
func (s *chainSearch) storesError(fault error) error {
	e := newStoresError(fault, s.shardMap, s.likely)
	for i, member := range s.members {
		if _, ok := s.lacking[member.ID]; ok {
			e.Lacking = append(e.Lacking, member.Host)
			continue
		}
		e.Missing[member.Host] = s.client.whyMissing(s.shardMap, member.ID, i < s.sent, s.failed[member.ID])
	}
	slices.Sort(e.Lacking)
	return e
}
