package ledger

import (
	"github.com/banyanspur/banyanspur/types"
)

// Machine is the state machine of one shard group. The zero value is an empty
// machine ready to use. It is not safe for concurrent use.
type Machine struct {
	state state
}

// Apply applies one committed command at the given log time.
func (m *Machine) Apply(at types.LogTime, c Command) Result {
	switch {
	case c.Open != nil:
		return m.open(at, *c.Open)
	case c.Begin != nil:
		return m.begin(at, *c.Begin)
	case c.Close != nil:
		return m.close(at, *c.Close)
	case c.Abandon != nil:
		return m.abandon(at, *c.Abandon)
	case c.End != nil:
		return m.end(at, *c.End)
	case c.Admit != nil:
		return m.admit(at, *c.Admit)
	case c.Expire != nil:
		return m.expire(at, *c.Expire)
	case c.Release != nil:
		return m.release(*c.Release)
	}
	return refuse(types.NewFault(types.CodeBadRequest, "the command is empty"))
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte { return types.Encode(m.state) }

// Restore replaces the state with one that [Machine.Snapshot] returned. If the
// snapshot cannot be decoded, the state is unchanged.
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

func refuse(f *types.Fault) Result { return Result{Fault: f} }

// ensureAccount returns the state of an account and creates it if there is none.
func (m *Machine) ensureAccount(id types.AccountID) *account {
	if m.state.Accounts == nil {
		m.state.Accounts = map[types.AccountID]*account{}
	}
	a := m.state.Accounts[id]
	if a == nil {
		a = &account{}
		m.state.Accounts[id] = a
	}
	if a.Programs == nil {
		a.Programs = map[types.ProgramID]*program{}
	}
	if a.Crashes == nil {
		a.Crashes = map[types.Fingerprint]*crashRecord{}
	}
	return a
}

// findProgram returns a program of the given account, or a fault if the account
// has none with this ID. Accounts cannot access each other's programs.
func (m *Machine) findProgram(a types.AccountID, id types.ProgramID) (*program, *types.Fault) {
	if acc := m.state.Accounts[a]; acc != nil {
		if p := acc.Programs[id]; p != nil {
			return p, nil
		}
	}
	return nil, types.NewFault(types.CodeNotFound, "no program %q in this client account", id)
}

// ProgramSummary returns the summary of a program.
func (m *Machine) ProgramSummary(a types.AccountID, id types.ProgramID) (*Summary, error) {
	p, fault := m.findProgram(a, id)
	if fault != nil {
		return nil, fault
	}
	return p.summary(), nil
}

// History returns the closed calls of a program in call order.
func (m *Machine) History(a types.AccountID, id types.ProgramID) ([]Call, error) {
	p, fault := m.findProgram(a, id)
	if fault != nil {
		return nil, fault
	}
	return append([]Call(nil), p.Calls...), nil
}
