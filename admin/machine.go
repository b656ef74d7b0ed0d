package admin

import (
	"fmt"
	"time"

	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// Order is an operator's order to change the configuration.
type Order struct {
	// ID makes a resend recognisable. An ID is never used for another order.
	ID       types.OrderID    `json:"id"`
	Operator types.OperatorID `json:"operator"`
	// Base is the version that the operator saw. The order is refused if
	// another version is in force.
	Base   types.Version `json:"base"`
	Change config.Change `json:"change"`
	// Summary tells people what the order is for. It holds no key.
	Summary string `json:"summary"`
	// At is the wall clock of the leader that took the order, for the trail.
	At time.Time `json:"at"`
}

// Decision is the recorded answer to an order.
type Decision struct {
	Order    types.OrderID `json:"order"`
	Accepted bool          `json:"accepted"`
	// Version is the version that the order made, or the version in force
	// when it was refused.
	Version types.Version `json:"version"`
	// Reason tells why the order was refused.
	Reason string `json:"reason,omitempty"`
	// Fault is set if the order id belongs to another order; nothing was
	// recorded then.
	Fault *types.Fault `json:"fault,omitempty"`
}

// state is everything that a snapshot holds.
type state struct {
	Fleet  config.Fleet               `json:"fleet"`
	Orders map[types.OrderID]*decided `json:"orders"`
	Recent []versioned                `json:"recent"` // the newest changes, oldest first, versions without gaps
	Trail  []audit.Record             `json:"trail"`
	Seen   []types.OrderID            `json:"seen"` // the keys of Orders, oldest first
}

type decided struct {
	Decision    Decision          `json:"decision"`
	Fingerprint types.Fingerprint `json:"fingerprint"`
}

// versioned is a change and the version that it made.
type versioned struct {
	Version types.Version `json:"version"`
	Change  config.Change `json:"change"`
}

const (
	// maxRecent is how many changes an entry host may miss and still catch up
	// by changes alone.
	maxRecent = 4096
	// maxOrders is how many decisions are kept for resends.
	maxOrders = 16384
)

// Machine is the state machine of group 0. Its zero value is empty and ready.
// It is not safe for concurrent use.
type Machine struct {
	state state
}

// Apply decides one order. Of orders with equal Base, exactly the first in the
// log is accepted.
func (m *Machine) Apply(_ types.LogTime, o Order) Decision {
	fingerprint := fingerprintOf(o)
	if d := m.state.Orders[o.ID]; d != nil {
		if d.Fingerprint != fingerprint {
			return Decision{Order: o.ID, Fault: types.NewFault(types.CodeConflict, "order id %q was used for another order", o.ID)}
		}
		return d.Decision
	}
	from := m.state.Fleet.Version
	d := m.decide(o)
	m.remember(o.ID, &decided{Decision: d, Fingerprint: fingerprint})
	m.record(o, d, from)
	return d
}

// fingerprintOf leaves out the wall clock, which differs between resends.
func fingerprintOf(o Order) types.Fingerprint {
	o.At = time.Time{}
	return types.FingerprintOf(types.Encode(o))
}

func (m *Machine) decide(o Order) Decision {
	current := m.state.Fleet.Version
	d := Decision{Order: o.ID, Version: current}
	if o.Base != current {
		d.Reason = fmt.Sprintf("the order is based on version %d, and version %d is in force", o.Base, current)
		return d
	}
	next := m.state.Fleet.Clone()
	next.Apply(o.Change)
	if err := next.Check(); err != nil {
		d.Reason = err.Error()
		return d
	}
	m.state.Fleet = next
	m.state.Recent = append(m.state.Recent, versioned{Version: next.Version, Change: o.Change})
	if n := len(m.state.Recent) - maxRecent; n > 0 {
		m.state.Recent = append([]versioned(nil), m.state.Recent[n:]...)
	}
	d.Accepted = true
	d.Version = next.Version
	return d
}

func (m *Machine) remember(id types.OrderID, d *decided) {
	if m.state.Orders == nil {
		m.state.Orders = map[types.OrderID]*decided{}
	}
	m.state.Orders[id] = d
	m.state.Seen = append(m.state.Seen, id)
	if len(m.state.Seen) > maxOrders {
		delete(m.state.Orders, m.state.Seen[0])
		m.state.Seen = m.state.Seen[1:]
	}
}

func (m *Machine) record(o Order, d Decision, from types.Version) {
	outcome := "accepted"
	if !d.Accepted {
		outcome = d.Reason
	}
	var last audit.Record
	if n := len(m.state.Trail); n > 0 {
		last = m.state.Trail[n-1]
	}
	m.state.Trail = append(m.state.Trail, audit.Append(last, audit.Record{
		At: o.At, Operator: o.Operator, Order: o.ID, Summary: o.Summary, From: from, To: d.Version, Outcome: outcome,
	}))
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() []byte { return types.Encode(m.state) }

// Restore replaces the state.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := types.Decode[state](snapshot)
	if err != nil {
		return err
	}
	m.state = s
	return nil
}

// Version returns the version in force.
func (m *Machine) Version() types.Version { return m.state.Fleet.Version }

// Fleet returns a copy of the configuration in force.
func (m *Machine) Fleet() config.Fleet { return m.state.Fleet.Clone() }

// Target returns one target of the configuration in force.
func (m *Machine) Target(id types.TargetID) (t config.Target, ok bool) {
	t, ok = m.state.Fleet.Targets[id]
	return t, ok
}

// Since returns the changes after version have. If they are no longer kept, or
// have is 0, ok is false and the whole configuration is needed.
func (m *Machine) Since(have types.Version) (changes []config.Change, ok bool) {
	current := m.state.Fleet.Version
	if have == current {
		return nil, true
	}
	if have == 0 || have > current || len(m.state.Recent) == 0 || have+1 < m.state.Recent[0].Version {
		return nil, false
	}
	for _, v := range m.state.Recent[have+1-m.state.Recent[0].Version:] {
		changes = append(changes, v.Change)
	}
	return changes, true
}

// Trail returns up to most audit records that follow record number after.
func (m *Machine) Trail(after uint64, most int) []audit.Record {
	if after >= uint64(len(m.state.Trail)) {
		return nil
	}
	rest := m.state.Trail[after:]
	return append([]audit.Record(nil), rest[:min(most, len(rest))]...)
}
