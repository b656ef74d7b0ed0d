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
	// ID makes the order idempotent: a retry uses the same ID, and no other
	// order may use it.
	ID       types.OrderID    `json:"id"`
	Operator types.OperatorID `json:"operator"`
	// Base is the version that Change is based on. The order is refused if
	// another version is in force.
	Base   types.Version `json:"base"`
	Change config.Change `json:"change"`
	// Summary describes the order for people. It must not contain a key.
	Summary string `json:"summary"`
	// At is the wall-clock time of the leader when it received the order. It is
	// used only in the audit trail.
	At time.Time `json:"at"`
}

// Decision is the result of an order. It is stored and returned to retries.
type Decision struct {
	Order    types.OrderID `json:"order"`
	Accepted bool          `json:"accepted"`
	// Version is the version that the order created, or the version in force
	// when the order was refused.
	Version types.Version `json:"version"`
	// Reason is the reason why the order was refused, or empty.
	Reason string `json:"reason,omitempty"`
	// Fault is set if the ID was already used for another order. Such an order
	// is neither decided nor recorded in the audit trail.
	Fault *types.Fault `json:"fault,omitempty"`
}

// state is the replicated state, which is also the content of a snapshot.
type state struct {
	Fleet         config.Fleet                      `json:"fleet"`
	Decisions     map[types.OrderID]*storedDecision `json:"orders"`
	RecentChanges []versionedChange                 `json:"recent"` // newest changes, oldest first, without gaps between versions
	AuditTrail    []audit.Record                    `json:"trail"`
	DecisionIDs   []types.OrderID                   `json:"seen"` // keys of Decisions, oldest decision first
}

// storedDecision is a decision with the fingerprint of its order, which
// distinguishes a retry from another order with the same ID.
type storedDecision struct {
	Decision    Decision          `json:"decision"`
	Fingerprint types.Fingerprint `json:"fingerprint"`
}

// versionedChange is an accepted change and the version that it created.
type versionedChange struct {
	Version types.Version `json:"version"`
	Change  config.Change `json:"change"`
}

const (
	// maxRecentChanges is the number of changes stored. An entry host that is
	// further behind needs the whole configuration.
	maxRecentChanges = 4096
	// maxStoredDecisions is the number of decisions stored for retries.
	maxStoredDecisions = 16384
)

// Machine is the state machine of group 0. The zero value is an empty state
// machine that is ready to use. It is not safe for concurrent use.
type Machine struct {
	state state
}

// Apply decides an order and records it in the audit trail. An order is accepted
// if Base is the version in force and the changed configuration is valid, so
// that of several orders with the same Base only the first valid one in the log
// is accepted. A retry of an order gets the stored decision.
func (m *Machine) Apply(_ types.LogTime, o Order) Decision {
	fingerprint := fingerprintOf(o)
	if d := m.state.Decisions[o.ID]; d != nil {
		if d.Fingerprint != fingerprint {
			return Decision{Order: o.ID, Fault: types.NewFault(types.CodeConflict, "order id %q was used for another order", o.ID)}
		}
		return d.Decision
	}
	from := m.state.Fleet.Version
	d := m.decide(o)
	m.storeDecision(o.ID, &storedDecision{Decision: d, Fingerprint: fingerprint})
	m.appendAuditRecord(o, d, from)
	return d
}

// fingerprintOf returns the fingerprint of an order without At, which differs
// between retries.
func fingerprintOf(o Order) types.Fingerprint {
	o.At = time.Time{}
	return types.FingerprintOf(types.Encode(o))
}

// decide accepts or refuses an order. If it accepts the order, it applies the
// change to the configuration.
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
	m.state.RecentChanges = append(m.state.RecentChanges, versionedChange{Version: next.Version, Change: o.Change})
	if n := len(m.state.RecentChanges) - maxRecentChanges; n > 0 {
		m.state.RecentChanges = append([]versionedChange(nil), m.state.RecentChanges[n:]...)
	}
	d.Accepted = true
	d.Version = next.Version
	return d
}

// storeDecision stores a decision for retries and evicts the oldest one if there
// are more than maxStoredDecisions.
func (m *Machine) storeDecision(id types.OrderID, d *storedDecision) {
	if m.state.Decisions == nil {
		m.state.Decisions = map[types.OrderID]*storedDecision{}
	}
	m.state.Decisions[id] = d
	m.state.DecisionIDs = append(m.state.DecisionIDs, id)
	if len(m.state.DecisionIDs) > maxStoredDecisions {
		delete(m.state.Decisions, m.state.DecisionIDs[0])
		m.state.DecisionIDs = m.state.DecisionIDs[1:]
	}
}

// appendAuditRecord appends an order and its decision to the audit trail. from is
// the version in force before the order.
func (m *Machine) appendAuditRecord(o Order, d Decision, from types.Version) {
	outcome := "accepted"
	if !d.Accepted {
		outcome = d.Reason
	}
	var last audit.Record
	if n := len(m.state.AuditTrail); n > 0 {
		last = m.state.AuditTrail[n-1]
	}
	m.state.AuditTrail = append(m.state.AuditTrail, audit.Append(last, audit.Record{
		At: o.At, Operator: o.Operator, Order: o.ID, Summary: o.Summary, From: from, To: d.Version, Outcome: outcome,
	}))
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte { return types.Encode(m.state) }

// Restore replaces the state with that of a snapshot returned by
// [Machine.Snapshot]. If the snapshot is invalid, it returns an error and leaves
// the state unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := types.DecodeStored[state](snapshot)
	if err != nil {
		return err
	}
	m.state = s
	return nil
}

// CheckMemory returns an error if a snapshot takes too much memory for its size.
func (m *Machine) CheckMemory(snapshot []byte) error { return types.CheckMemory[state](snapshot) }

// Version returns the version in force.
func (m *Machine) Version() types.Version { return m.state.Fleet.Version }

// Fleet returns a copy of the configuration in force.
func (m *Machine) Fleet() config.Fleet { return m.state.Fleet.Clone() }

// Target returns a target of the configuration in force and whether it exists.
func (m *Machine) Target(id types.TargetID) (t config.Target, ok bool) {
	t, ok = m.state.Fleet.Targets[id]
	return t, ok
}

// ChangesSince returns the changes accepted after the given version, oldest
// first; there are none if it is the version in force. If they are no longer
// stored, or if version is 0 or later than the version in force, ok is false and
// the whole configuration is needed.
func (m *Machine) ChangesSince(version types.Version) (changes []config.Change, ok bool) {
	current := m.state.Fleet.Version
	if version == current {
		return nil, true
	}
	if version == 0 || version > current || len(m.state.RecentChanges) == 0 || version+1 < m.state.RecentChanges[0].Version {
		return nil, false
	}
	for _, c := range m.state.RecentChanges[version+1-m.state.RecentChanges[0].Version:] {
		changes = append(changes, c.Change)
	}
	return changes, true
}

// AuditRecords returns at most limit audit records, starting with the one that
// follows sequence number after.
func (m *Machine) AuditRecords(after uint64, limit int) []audit.Record {
	if after >= uint64(len(m.state.AuditTrail)) {
		return nil
	}
	rest := m.state.AuditTrail[after:]
	return append([]audit.Record(nil), rest[:min(limit, len(rest))]...)
}
