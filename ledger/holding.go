package ledger

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// hold notes that a target may come to keep memory for the program, before it
// is asked.
func (p *program) hold(t types.TargetID, s types.ServiceID) *holding {
	i := p.findHolding(t)
	if i < 0 {
		p.Holdings = append(p.Holdings, holding{Holder: Holder{Target: t}, Service: s})
		i = len(p.Holdings) - 1
	}
	p.Holdings[i].Stale = false
	return &p.Holdings[i]
}

func (p *program) findHolding(t types.TargetID) int {
	return slices.IndexFunc(p.Holdings, func(h holding) bool { return h.Target == t })
}

// holders returns the targets of a service that hold memory for the program.
func (p *program) holders(s types.ServiceID) []Holder {
	var list []Holder
	for _, h := range p.Holdings {
		if h.Service == s && !h.Stale {
			list = append(list, h.Holder)
		}
	}
	return list
}

// settleHolding notes which target keeps memory after a call. What others of
// the service keep is out of date and takes the place of what is in use: it is
// given back.
func (p *program) settleHolding(c Close, call *Call) {
	if c.Unused != "" && c.Unused != c.Target {
		p.dropHolding(c.Unused)
	}
	if !c.Holding {
		return
	}
	h := p.hold(c.Target, call.Service)
	h.Prefix = types.Bytes(len(call.Request) + len(c.Response))
	for i := range p.Holdings {
		o := &p.Holdings[i]
		o.Stale = o.Stale || o.Service == call.Service && o.Target != c.Target
	}
}

func (p *program) dropHolding(t types.TargetID) {
	p.Holdings = slices.DeleteFunc(p.Holdings, func(h holding) bool { return h.Target == t })
}

// Holding is memory that a target is to give back.
type Holding struct {
	Account types.AccountID
	Program types.ProgramID
	Target  types.TargetID
}

// owes reports whether the target of h is to give the memory back.
func (p *program) owes(h holding) bool { return p.Ended || h.Stale }

// Owed returns holdings to be given back, by target and in no order, up to most
// of each target: one that does not answer must not hide the others.
func (m *Machine) Owed(at types.LogTime, most int) map[types.TargetID][]Holding {
	owed := map[types.TargetID][]Holding{}
	for aid, a := range m.state.Accounts {
		for _, p := range a.Programs {
			if at < p.QuietAt {
				continue
			}
			for _, h := range p.Holdings {
				if p.owes(h) && len(owed[h.Target]) < most {
					owed[h.Target] = append(owed[h.Target], Holding{Account: aid, Program: p.ID, Target: h.Target})
				}
			}
		}
	}
	return owed
}

// release notes that a target has let go. If the program has come back to the
// target meanwhile, the holding stays.
func (m *Machine) release(r Release) Result {
	p, fault := m.program(r.Account, r.Program)
	if fault != nil {
		return refuse(fault)
	}
	if i := p.findHolding(r.Target); i >= 0 && p.owes(p.Holdings[i]) {
		p.dropHolding(r.Target)
	}
	return Result{Program: p.summary()}
}
