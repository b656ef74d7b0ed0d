package ledger

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

func (m *Machine) admit(at types.LogTime, r Admit) Result {
	a := m.ensureAccount(r.Account)
	if r.Crashed {
		a.recordCrash(at, r.Fingerprint)
		return Result{}
	}
	if slices.Contains(a.RecentAdmissions, r.Attempt) {
		return Result{}
	}
	if fault := a.checkQuarantine(at, r.Fingerprint); fault != nil {
		return refuse(fault)
	}
	a.Bucket.SetLimit(at, r.Limit)
	if !a.Bucket.Take(at) {
		return refuse(a.rateLimitFault(at))
	}
	a.RecentAdmissions = append(a.RecentAdmissions, r.Attempt)
	if len(a.RecentAdmissions) > maxRecentAdmissions {
		a.RecentAdmissions = slices.Delete(a.RecentAdmissions, 0, 1)
	}
	return Result{}
}

// CheckRateLimit returns the rate-limit fault with which command c would be
// refused at the given time, or nil. It changes no state. The leader calls it
// before it proposes a command, so that a flood of refused requests does not pass
// through the log.
func (m *Machine) CheckRateLimit(at types.LogTime, c Command) *types.Fault {
	switch {
	case c.Admit != nil && !c.Admit.Crashed:
		return m.peekRateLimit(at, c.Admit.Account, c.Admit.Limit.Version)
	case c.Begin != nil:
		p, _ := m.findProgram(c.Begin.Account, c.Begin.Program)
		if p == nil || p.Current != nil || c.Begin.Number != p.nextCall() {
			return nil
		}
		return m.peekRateLimit(at, c.Begin.Account, c.Begin.Limit.Version)
	}
	return nil
}

func (m *Machine) peekRateLimit(at types.LogTime, id types.AccountID, v types.Version) *types.Fault {
	a := m.state.Accounts[id]
	if a == nil || a.Bucket.Limit.Version < v || a.Bucket.Wait(at, 1) == 0 {
		return nil
	}
	return a.rateLimitFault(at)
}

// checkQuarantine returns a fault if too many targets crashed while they ran
// the request, or nil.
func (a *account) checkQuarantine(at types.LogTime, f types.Fingerprint) *types.Fault {
	c := a.Crashes[f]
	if c == nil || c.Count < maxCrashes || at.Sub(c.Last) > crashRetention {
		return nil
	}
	return types.NewFault(types.CodeQuarantined, "%d targets failed while they ran this request", c.Count)
}

// recordCrash counts a target crash for a request. It also deletes the records
// of all requests whose latest crash is older than crashRetention.
func (a *account) recordCrash(at types.LogTime, f types.Fingerprint) {
	for g, c := range a.Crashes {
		if at.Sub(c.Last) > crashRetention {
			delete(a.Crashes, g)
		}
	}
	if a.Crashes[f] == nil {
		a.Crashes[f] = &crashRecord{}
	}
	a.Crashes[f].Count++
	a.Crashes[f].Last = at
}
