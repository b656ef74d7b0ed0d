package fleet

import (
	"time"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// storeTimeout is how long a store may be unresponsive before its shards
	// move to another one. It is longer than two sync requests of
	// [DefaultSyncWait].
	storeTimeout = 2500 * time.Millisecond
	// longStoreTimeout is that time for a store that still responds to pings, and for all
	// stores while more of them are unresponsive than may be lost at once. They are likely to
	// be late, or cut off for a moment: moves would only add copies to the work of stores
	// that cannot bear it, and make every request start again.
	longStoreTimeout = 4 * storeTimeout
	// checkAfter is the silence after which the leader checks its own connection to a store.
	// It leaves time for a ping before storeTimeout. From then on the store counts as late: two
	// stores that stop at the same time have sent their last requests up to [DefaultSyncWait]
	// apart, and the first must not be lost before the second counts.
	checkAfter = storeTimeout / 2
	// returnTime is how long longStoreTimeout applies to all stores after more have been late
	// than may be lost at once. Late stores do not return at the same moment, and the last of
	// them have already been silent for storeTimeout.
	returnTime = storeTimeout
)

// silence returns how long a store has not sent a request. It counts from the election, so
// that stores have time to find a new leader.
func (c *Control) silence(id turns.StoreID, now types.Mono) time.Duration {
	return now.Sub(max(c.lastSeen[id], c.leaderSince))
}

// live reports whether a store has sent a request within storeTimeout, or may still find a new
// leader.
func (c *Control) live(id turns.StoreID, now types.Mono) bool {
	return c.silence(id, now) < storeTimeout
}

// responds reports whether a store has sent a request to this leader within storeTimeout.
func (c *Control) responds(id turns.StoreID, now types.Mono) bool {
	seen, ok := c.lastSeen[id]
	return ok && now.Sub(seen) < storeTimeout
}

// updateLost updates which stores are lost, so that their shards should move. A store that is
// lost remains so until it sends a request: neither a longer timeout nor another process at its
// address shows that it is back.
func (c *Control) updateLost(m turns.Map, now types.Mono) {
	timeout := c.silenceTimeout(m, now)
	for id, member := range m.Members {
		switch silent := c.isLost(id, member, timeout, now); {
		case c.responds(id, now):
			delete(c.lost, id)
		case silent:
			c.lost[id] = true
		}
	}
}

// isLost reports whether a store has been silent for timeout, or, if it still responds to pings
// and so is only late, for longStoreTimeout.
func (c *Control) isLost(id turns.StoreID, member turns.Member, timeout time.Duration, now types.Mono) bool {
	silence := c.silence(id, now)
	if silence < checkAfter {
		return false
	}
	link := c.Peers.Link(member.Address)
	link.Check()
	if link.IsConnected() {
		timeout = longStoreTimeout
	}
	return silence >= timeout
}

// silenceTimeout returns how long a store may be unresponsive before its shards move.
func (c *Control) silenceTimeout(m turns.Map, now types.Mono) time.Duration {
	late, largestZone, zones := 0, 0, map[types.ZoneID]int{}
	for id, member := range m.Members {
		if !m.IsAssigned(id) || c.machine.Destroyed(id) {
			continue
		}
		zones[member.Zone]++
		largestZone = max(largestZone, zones[member.Zone])
		if c.silence(id, now) >= checkAfter {
			late++
		}
	}
	tolerated := max(1, c.Losses)
	if c.ZoneLosses > 0 {
		tolerated = max(tolerated, largestZone)
	}
	if late > tolerated {
		c.manyLateUntil = now.Add(returnTime)
	}
	if now < c.manyLateUntil {
		return longStoreTimeout
	}
	return storeTimeout
}
