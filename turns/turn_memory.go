package turns

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxLateBytes is the memory in bytes that all turns of a client together may keep for requests to stores that
// are still without a reply once a majority has the turn. It is below a twentieth of what the smallest entry
// hosts, of 88 MB, have for callers' bodies, so that a silent store hardly keeps others out; see
// docs/design/received-memory.md.
const maxLateBytes = 1 << 20

var (
	lateBytes     = metrics.NewGauge("banyanspur_turns_late_bytes", nil)
	givenUpWrites = metrics.NewCounter("banyanspur_turns_late_writes_given_up_total")
)

// turnMemory tells when no request uses a turn and its encoding any longer. A nil one counts nothing.
type turnMemory struct {
	client   *Client
	bytes    int64  // of the turn
	released func() // called once, when users is 0

	// users are the call and its requests to stores that have not ended. Only the call adds any, so that it
	// does not rise again from 0.
	users atomic.Int64
	// late is set once bytes count in client.lateBytes. Only the call sets it, while it is a user.
	late bool
}

// newTurnMemory returns the memory of a turn, with the call as its only user.
func (c *Client) newTurnMemory(t *Turn, released func()) *turnMemory {
	m := &turnMemory{client: c, released: released}
	if t != nil {
		m.bytes = int64(t.memoryBytes())
	}
	m.users.Store(1)
	return m
}

func (m *turnMemory) acquire() {
	if m != nil {
		m.users.Add(1)
	}
}

func (m *turnMemory) release() {
	if m == nil || m.users.Add(-1) > 0 {
		return
	}
	if m.late {
		m.client.addLate(-m.bytes)
	}
	if m.released != nil {
		m.released()
	}
}

// keep reports whether the requests that are still without a reply may keep the turn for storeTimeout. The
// call must be a user.
func (m *turnMemory) keep() bool {
	if m == nil || m.late || m.bytes == 0 || m.users.Load() == 1 {
		return true
	}
	if m.client.addLate(m.bytes) > maxLateBytes {
		m.client.addLate(-m.bytes)
		givenUpWrites.Inc()
		return false
	}
	m.late = true
	return true
}

// addLate adds n to what late requests keep and returns the sum.
func (c *Client) addLate(n int64) int64 {
	lateBytes.Add(float64(n))
	return c.lateBytes.Add(n)
}
