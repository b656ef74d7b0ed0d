package ledger

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

func (m *Machine) admit(at types.LogTime, r Admit) Result {
	a := m.account(r.Account)
	if r.Crashed {
		a.noteCrash(at, r.Fingerprint)
		return Result{}
	}
	if slices.Contains(a.Admitted, r.Attempt) {
		return Result{}
	}
	if fault := a.checkQuarantine(at, r.Fingerprint); fault != nil {
		return refuse(fault)
	}
	a.Bucket.Adjust(at, r.Limit)
	if !a.Bucket.Take(at) {
		return refuse(a.rateLimited(at))
	}
	a.Admitted = append(a.Admitted, r.Attempt)
	if len(a.Admitted) > maxAdmitted {
		a.Admitted = slices.Delete(a.Admitted, 0, 1)
	}
	return Result{}
}

// Refusal returns the rate-limit fault with which command c would be refused
// at the given time, or nil. The leader asks before it proposes, so that a
// flood of refused requests does not pass through the log.
func (m *Machine) Refusal(at types.LogTime, c Command) *types.Fault {
	switch {
	case c.Admit != nil && !c.Admit.Crashed:
		return m.wouldLimit(at, c.Admit.Account, c.Admit.Limit.Version)
	case c.Begin != nil:
		p, _ := m.program(c.Begin.Account, c.Begin.Program)
		if p == nil || p.Current != nil || c.Begin.Number != p.next() {
			return nil
		}
		return m.wouldLimit(at, c.Begin.Account, c.Begin.Limit.Version)
	}
	return nil
}

func (m *Machine) wouldLimit(at types.LogTime, id types.AccountID, v types.Version) *types.Fault {
	a := m.state.Accounts[id]
	if a == nil || a.Bucket.Limit.Version < v || a.Bucket.Wait(at, 1) == 0 {
		return nil
	}
	return a.rateLimited(at)
}

// checkQuarantine refuses a request that has killed too many targets.
func (a *account) checkQuarantine(at types.LogTime, f types.Fingerprint) *types.Fault {
	c := a.Crashes[f]
	if c == nil || c.Count < maxCrashes || at.Sub(c.Last) > crashMemory {
		return nil
	}
	return types.NewFault(types.CodeQuarantined, "%d targets failed while they ran this request", c.Count)
}

// noteCrash counts a target that died during a request, and forgets requests
// that did no harm for long.
func (a *account) noteCrash(at types.LogTime, f types.Fingerprint) {
	for g, c := range a.Crashes {
		if at.Sub(c.Last) > crashMemory {
			delete(a.Crashes, g)
		}
	}
	if a.Crashes[f] == nil {
		a.Crashes[f] = &crashes{}
	}
	a.Crashes[f].Count++
	a.Crashes[f].Last = at
}
