package fleet

import (
	"slices"

	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// Document is a plan in its original and its decoded form.
type Document struct {
	// Body is the plan exactly as the operator sent it; reads return it.
	Body []byte    `json:"body"`
	Plan plan.Plan `json:"plan"`
}

// Revision numbers the versions of the shard map. It also increases when a
// store begins to retire.
type Revision uint64

// Command is an entry of the replicated log that changes the group's state.
// Exactly one field is set.
type Command struct {
	Put            *PutPlan        `json:"put,omitempty"`
	RegisterStore  *RegisterStore  `json:"enrol,omitempty"`
	InitMap        *InitMap        `json:"found,omitempty"`
	Move           *Move           `json:"move,omitempty"`
	Retire         *Retire         `json:"retire,omitempty"`
	RegisterHolder *RegisterHolder `json:"holder,omitempty"`
	Quarantine     *Quarantine     `json:"quarantine,omitempty"`
	// Evacuate belongs to [CommandSetZones].
	Evacuate *Evacuate `json:"evacuate,omitempty"`
	// Reform belongs to [CommandSetReform].
	Reform *Reform `json:"reform,omitempty"`
}

// PutPlan replaces the plan if the new plan has a higher version.
type PutPlan struct {
	Document Document `json:"document"`
	// Order is the audit record of the request. [Machine.Apply] fills in the
	// versions, the outcome and the hash chain.
	Order audit.Record `json:"order"`
}

// RegisterStore adds a store to the shard map. It replaces any earlier store on
// the same host, whose data directory has been lost.
type RegisterStore struct {
	Member turns.Member `json:"member"`
}

// InitMap creates the shard map if there is none yet.
type InitMap struct {
	// Shards lists the stores of each shard and has length [turns.ShardCount].
	Shards [][]turns.StoreID `json:"shards"`
}

// Move starts, redirects, completes or cancels the move of one shard to other
// stores. It has no effect unless the shard is at Epoch.
type Move struct {
	Shard turns.Shard `json:"shard"`
	Epoch turns.Epoch `json:"epoch"`
	// Next lists the stores to move the shard to. If it is empty, the current
	// move ends.
	Next []turns.StoreID `json:"next,omitempty"`
	// Done selects, if Next is empty, whether the current move is completed or
	// canceled.
	Done bool `json:"done,omitempty"`
}

// Retire marks the store on a host as retiring: its shards move to other
// stores, and it is assigned no new ones.
type Retire struct {
	Host types.HostID `json:"host"`
}

// RegisterHolder records that an entry host may hold allotments of account
// limits. After an election the new leader expects a report of each such host.
type RegisterHolder struct {
	Host types.HostID `json:"host"`
}

// Result is the result of applying a command.
type Result struct {
	Changed     bool          `json:"changed"` // whether the state has changed, never set for RegisterHolder and Quarantine
	PlanVersion types.Version `json:"version"` // of the plan in force after the command
}

// state is the replicated state, and the content of a snapshot.
type state struct {
	Document *Document              `json:"document,omitempty"`
	Map      turns.Map              `json:"map"`
	Revision Revision               `json:"revision"`
	Replaced map[turns.StoreID]bool `json:"gone,omitempty"`
	Retiring map[types.HostID]bool  `json:"retiring,omitempty"`
	Holders  map[types.HostID]bool  `json:"holders,omitempty"`
	Trail    []audit.Record         `json:"trail,omitempty"`
	// Quarantined holds when each request in quarantine was added.
	Quarantined map[types.Fingerprint]types.LogTime `json:"quarantined,omitempty"`
	// Zones holds the zones that are or have been evacuated.
	Zones        map[types.ZoneID]zoneRecord `json:"zones,omitempty"`
	ZoneRevision ZoneRevision                `json:"zoneRevision,omitempty"`
}

// maxTrailRecords limits the audit records kept in the replicated state. Older
// ones are in the log events of the control hosts.
const maxTrailRecords = 4096

// Machine is the state machine of the configuration group. The zero value is
// an empty state machine, ready to use. It is not safe for concurrent use.
type Machine struct {
	// OnChange, if set, is called after each command that changed the state and
	// after each restored snapshot.
	OnChange func()

	state state
}

// Apply applies one committed command.
func (m *Machine) Apply(at types.LogTime, c Command) Result {
	changed := false
	switch {
	case c.Put != nil:
		changed = m.putPlan(*c.Put)
	case c.RegisterStore != nil:
		changed = m.registerStore(c.RegisterStore.Member)
	case c.InitMap != nil:
		changed = m.initMap(c.InitMap.Shards)
	case c.Move != nil:
		changed = m.moveShard(*c.Move)
	case c.Retire != nil:
		changed = m.retireStore(c.Retire.Host)
	case c.RegisterHolder != nil:
		m.registerHolder(c.RegisterHolder.Host)
	case c.Quarantine != nil:
		m.changeQuarantine(at, *c.Quarantine)
	case c.Evacuate != nil:
		changed = m.evacuateZone(at, *c.Evacuate)
	case c.Reform != nil:
		changed = m.reformShard(at, *c.Reform)
	}
	if changed && m.OnChange != nil {
		m.OnChange()
	}
	return Result{Changed: changed, PlanVersion: m.PlanVersion()}
}

func (m *Machine) putPlan(p PutPlan) bool {
	next := p.Document.Plan.Version
	if next <= m.PlanVersion() {
		return false
	}
	p.Order.From, p.Order.To, p.Order.Outcome = m.PlanVersion(), next, "accepted"
	m.appendRecord(p.Order)
	m.state.Document = &p.Document
	return true
}

// appendRecord appends a record to the audit trail.
func (m *Machine) appendRecord(r audit.Record) {
	var last audit.Record
	if n := len(m.state.Trail); n > 0 {
		last = m.state.Trail[n-1]
	}
	m.state.Trail = append(m.state.Trail, audit.Append(last, r))
	if n := len(m.state.Trail) - maxTrailRecords; n > 0 {
		m.state.Trail = slices.Clone(m.state.Trail[n:])
	}
}

// updateMap applies change to a copy of the shard map, since readers may still
// use the current one, and increases the revision.
func (m *Machine) updateMap(change func(*turns.Map)) bool {
	next := turns.Map{Members: map[turns.StoreID]turns.Member{}, Shards: slices.Clone(m.state.Map.Shards)}
	for id, member := range m.state.Map.Members {
		next.Members[id] = member
	}
	change(&next)
	m.state.Map = next
	m.state.Revision++
	return true
}

func (m *Machine) registerStore(member turns.Member) bool {
	if m.state.Map.Members[member.ID] == member || m.state.Replaced[member.ID] {
		return false
	}
	if m.state.Replaced == nil {
		m.state.Replaced = map[turns.StoreID]bool{}
	}
	for id, other := range m.state.Map.Members {
		if id != member.ID && other.Host == member.Host {
			m.state.Replaced[id] = true
		}
	}
	return m.updateMap(func(next *turns.Map) { next.Members[member.ID] = member })
}

func (m *Machine) initMap(shards [][]turns.StoreID) bool {
	if len(m.state.Map.Shards) > 0 || len(shards) != turns.ShardCount {
		return false
	}
	return m.updateMap(func(next *turns.Map) {
		for _, stores := range shards {
			next.Shards = append(next.Shards, turns.Placement{Epoch: 1, Current: stores})
		}
	})
}

func (m *Machine) moveShard(c Move) bool {
	p := m.state.Map.Placement(c.Shard)
	if len(p.Current) == 0 || p.Epoch != c.Epoch {
		return false
	}
	p.Epoch++
	switch {
	case len(c.Next) > 0:
		p.Next = c.Next
	case c.Done:
		p.Current, p.Next = p.Next, nil
	default:
		p.Next = nil
	}
	if len(p.Current) == 0 {
		return false // There is no move to complete.
	}
	return m.updateMap(func(next *turns.Map) { next.Shards[c.Shard] = p })
}

func (m *Machine) retireStore(h types.HostID) bool {
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

// registerHolder records a host that may hold allotments. It does not report a
// change, since hosts do not receive the set of holders.
func (m *Machine) registerHolder(h types.HostID) {
	if m.state.Holders == nil {
		m.state.Holders = map[types.HostID]bool{}
	}
	m.state.Holders[h] = true
}

// Holders returns the hosts that may hold allotments of account limits. The
// caller must not modify the map.
func (m *Machine) Holders() map[types.HostID]bool { return m.state.Holders }

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte { return types.Encode(m.state) }

// Restore replaces the state by one that [Machine.Snapshot] returned.
func (m *Machine) Restore(snapshot []byte) error {
	s, err := types.DecodeStored[state](snapshot)
	if err != nil {
		return err
	}
	m.state = s
	if m.OnChange != nil {
		m.OnChange()
	}
	return nil
}

// CheckMemory returns an error if a snapshot takes too much memory for its size.
func (m *Machine) CheckMemory(snapshot []byte) error { return types.CheckMemory[state](snapshot) }

// PlanVersion returns the version of the plan in force, or 0 if there is none.
func (m *Machine) PlanVersion() types.Version {
	if m.state.Document == nil {
		return 0
	}
	return m.state.Document.Plan.Version
}

// Document returns the plan in force, or nil. The caller must not modify it.
func (m *Machine) Document() *Document { return m.state.Document }

// Map returns the shard map and its revision. The caller must not modify the
// map.
func (m *Machine) Map() (turns.Map, Revision) { return m.state.Map, m.state.Revision }

// AuditRecords returns the most recent records of the audit trail, oldest first.
func (m *Machine) AuditRecords() []audit.Record { return slices.Clone(m.state.Trail) }

// Candidates returns the stores that shards may be assigned to: those that are
// neither replaced nor retiring. The live function reports whether a store is
// reachable.
func (m *Machine) Candidates(live func(turns.StoreID) bool) []turns.Candidate {
	var list []turns.Candidate
	for id, member := range m.state.Map.Members {
		if !m.state.Replaced[id] && !m.state.Retiring[member.Host] {
			list = append(list, turns.Candidate{Member: member, Live: live(id)})
		}
	}
	return list
}

// StoreOn returns the current store on a host, if there is one.
func (m *Machine) StoreOn(h types.HostID) (turns.Member, bool) {
	for id, member := range m.state.Map.Members {
		if member.Host == h && !m.state.Replaced[id] {
			return member, true
		}
	}
	return turns.Member{}, false
}

// Retiring reports whether the store on a host is retiring.
func (m *Machine) Retiring(h types.HostID) bool { return m.state.Retiring[h] }
