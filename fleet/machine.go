package fleet

import (
	"slices"

	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// Document is a plan as an operator sent it.
type Document struct {
	// Body is what the operator sent, for reading it back.
	Body []byte    `json:"body"`
	Plan plan.Plan `json:"plan"`
}

// Revision counts the changes of the map of shards.
type Revision uint64

// Command is a change of the group's state; exactly one of the pointers is
// set.
type Command struct {
	Put    *PutPlan  `json:"put,omitempty"`
	Enrol  *Enrol    `json:"enrol,omitempty"`
	Found  *FoundMap `json:"found,omitempty"`
	Move   *Move     `json:"move,omitempty"`
	Retire *Retire   `json:"retire,omitempty"`
	Holder *Holder   `json:"holder,omitempty"`
}

// PutPlan brings a plan into force if its version is higher than any before.
type PutPlan struct {
	Document Document `json:"document"`
	// Order holds what the audit trail tells of it.
	Order audit.Record `json:"order"`
}

// Enrol makes a store known. An earlier store on the same host has lost its
// folder and counts no more.
type Enrol struct {
	Member turns.Member `json:"member"`
}

// FoundMap gives the first stores to all shards.
type FoundMap struct {
	Shards [][]turns.StoreID `json:"shards"`
}

// Move begins or ends a move of one shard. It changes nothing unless the shard
// is at Epoch.
type Move struct {
	Shard turns.Shard `json:"shard"`
	Epoch turns.Epoch `json:"epoch"`
	// Next is the list of a move that begins. It is empty if the move under way
	// ends: in success if Done is set.
	Next []turns.StoreID `json:"next,omitempty"`
	Done bool            `json:"done,omitempty"`
}

// Retire says that a store is to be emptied.
type Retire struct {
	Host types.HostID `json:"host"`
}

// Holder makes an entry host known that will hold parts of accounts' limits. A
// new leader knows from it who may hold some.
type Holder struct {
	Host types.HostID `json:"host"`
}

// Result is what became of a command.
type Result struct {
	// Changed is set if the state is another than before.
	Changed bool          `json:"changed"`
	Version types.Version `json:"version"`
}

// state is everything that a snapshot holds.
type state struct {
	Document *Document              `json:"document,omitempty"`
	Map      turns.Map              `json:"map"`
	Revision Revision               `json:"revision"`
	Gone     map[turns.StoreID]bool `json:"gone,omitempty"`
	Retiring map[types.HostID]bool  `json:"retiring,omitempty"`
	Holders  map[types.HostID]bool  `json:"holders,omitempty"`
	Trail    []audit.Record         `json:"trail,omitempty"`
}

// maxTrail is how many records of the audit trail stay in the group's state.
// Older ones are in the log events of the control hosts.
const maxTrail = 4096

// Machine is the state machine of the configuration group. Its zero value is
// empty and ready. It is not safe for concurrent use.
type Machine struct {
	// Changed, if set, is called after each change of the state.
	Changed func()

	state state
}

// Apply applies one command.
func (m *Machine) Apply(_ types.LogTime, c Command) Result {
	changed := false
	switch {
	case c.Put != nil:
		changed = m.put(*c.Put)
	case c.Enrol != nil:
		changed = m.enrol(c.Enrol.Member)
	case c.Found != nil:
		changed = m.found(c.Found.Shards)
	case c.Move != nil:
		changed = m.move(*c.Move)
	case c.Retire != nil:
		changed = m.retire(c.Retire.Host)
	case c.Holder != nil:
		m.holder(c.Holder.Host)
	}
	if changed && m.Changed != nil {
		m.Changed()
	}
	return Result{Changed: changed, Version: m.Version()}
}

func (m *Machine) put(p PutPlan) bool {
	next := p.Document.Plan.Version
	if next <= m.Version() {
		return false
	}
	var last audit.Record
	if n := len(m.state.Trail); n > 0 {
		last = m.state.Trail[n-1]
	}
	p.Order.From, p.Order.To, p.Order.Outcome = m.Version(), next, "accepted"
	m.state.Trail = append(m.state.Trail, audit.Append(last, p.Order))
	if n := len(m.state.Trail) - maxTrail; n > 0 {
		m.state.Trail = slices.Clone(m.state.Trail[n:])
	}
	m.state.Document = &p.Document
	return true
}

// remap changes a copy of the map: readers keep the one that they have.
func (m *Machine) remap(change func(*turns.Map)) bool {
	next := turns.Map{Members: map[turns.StoreID]turns.Member{}, Shards: slices.Clone(m.state.Map.Shards)}
	for id, member := range m.state.Map.Members {
		next.Members[id] = member
	}
	change(&next)
	m.state.Map = next
	m.state.Revision++
	return true
}

func (m *Machine) enrol(member turns.Member) bool {
	if m.state.Map.Members[member.ID] == member || m.state.Gone[member.ID] {
		return false
	}
	if m.state.Gone == nil {
		m.state.Gone = map[turns.StoreID]bool{}
	}
	for id, other := range m.state.Map.Members {
		if id != member.ID && other.Host == member.Host {
			m.state.Gone[id] = true
		}
	}
	return m.remap(func(next *turns.Map) { next.Members[member.ID] = member })
}

func (m *Machine) found(shards [][]turns.StoreID) bool {
	if len(m.state.Map.Shards) > 0 || len(shards) != turns.Shards {
		return false
	}
	return m.remap(func(next *turns.Map) {
		for _, stores := range shards {
			next.Shards = append(next.Shards, turns.Placement{Epoch: 1, Now: stores})
		}
	})
}

func (m *Machine) move(c Move) bool {
	p := m.state.Map.Placement(c.Shard)
	if len(p.Now) == 0 || p.Epoch != c.Epoch {
		return false
	}
	p.Epoch++
	switch {
	case len(c.Next) > 0:
		p.Next = c.Next
	case c.Done:
		p.Now, p.Next = p.Next, nil
	default:
		p.Next = nil
	}
	if len(p.Now) == 0 {
		return false // A move that ends must have begun.
	}
	return m.remap(func(next *turns.Map) { next.Shards[c.Shard] = p })
}

func (m *Machine) retire(h types.HostID) bool {
	if m.state.Retiring[h] {
		return false
	}
	if m.state.Retiring == nil {
		m.state.Retiring = map[types.HostID]bool{}
	}
	m.state.Retiring[h] = true
	m.state.Revision++
	return true
}

// holder changes nothing that hosts follow, so that it is no news to them.
func (m *Machine) holder(h types.HostID) {
	if m.state.Holders == nil {
		m.state.Holders = map[types.HostID]bool{}
	}
	m.state.Holders[h] = true
}

// Holders returns the hosts that may hold parts of accounts' limits. It must
// not be changed.
func (m *Machine) Holders() map[types.HostID]bool { return m.state.Holders }

// Snapshot returns the whole state.
func (m *Machine) Snapshot() []byte { return types.Encode(m.state) }

// Restore replaces the state.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := types.Decode[state](snapshot)
	if err != nil {
		return err
	}
	m.state = s
	if m.Changed != nil {
		m.Changed()
	}
	return nil
}

// Version returns the version of the plan in force; 0 if there is none.
func (m *Machine) Version() types.Version {
	if m.state.Document == nil {
		return 0
	}
	return m.state.Document.Plan.Version
}

// Document returns the plan in force, or nil. It must not be changed.
func (m *Machine) Document() *Document { return m.state.Document }

// Map returns the map of shards and its revision. It must not be changed.
func (m *Machine) Map() (turns.Map, Revision) { return m.state.Map, m.state.Revision }

// Trail returns the newest records of the audit trail, the oldest first.
func (m *Machine) Trail() []audit.Record { return slices.Clone(m.state.Trail) }

// Candidates returns the stores that may carry shards; live tells which
// answer.
func (m *Machine) Candidates(live func(turns.StoreID) bool) []turns.Candidate {
	var list []turns.Candidate
	for id, member := range m.state.Map.Members {
		if !m.state.Gone[id] && !m.state.Retiring[member.Host] {
			list = append(list, turns.Candidate{Member: member, Live: live(id)})
		}
	}
	return list
}

// StoreOn returns the store on a host that counts, if there is one.
func (m *Machine) StoreOn(h types.HostID) (turns.Member, bool) {
	for id, member := range m.state.Map.Members {
		if member.Host == h && !m.state.Gone[id] {
			return member, true
		}
	}
	return turns.Member{}, false
}

// Retiring reports whether a store is to be emptied.
func (m *Machine) Retiring(h types.HostID) bool { return m.state.Retiring[h] }
