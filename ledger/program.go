package ledger

import (
	"github.com/banyanspur/banyanspur/types"
)

func (m *Machine) open(at types.LogTime, o Open) Result {
	a := m.ensureAccount(o.Account)
	if p := a.Programs[o.Program]; p != nil {
		return repeatedOpen(p, o)
	}
	if fault := checkBudget(o.Budget); fault != nil {
		return refuse(fault)
	}
	p := &program{ID: o.Program, Parent: o.Parent, Budget: o.Budget, Remaining: o.Budget, Deadline: at.Add(o.Budget.WallTime)}
	if o.Parent != "" {
		if fault := m.reserveFromParent(at, a, p); fault != nil {
			return refuse(fault)
		}
	}
	a.Programs[p.ID] = p
	return Result{Program: p.summary()}
}

// repeatedOpen returns the state of a program that exists already. It refuses an
// Open with another budget or parent.
func repeatedOpen(p *program, o Open) Result {
	if p.Parent != o.Parent || p.Budget != o.Budget {
		return refuse(types.NewFault(types.CodeConflict, "program %q is open with another budget or parent", p.ID))
	}
	return Result{Program: p.summary()}
}

func checkBudget(b Budget) *types.Fault {
	if b.Calls <= 0 || b.WallTime <= 0 || b.Tokens < 0 || b.Depth < 0 {
		return types.NewFault(types.CodeBadRequest, "a budget needs calls and time above zero, tokens and depth of zero or more")
	}
	return nil
}

// reserveFromParent deducts the budget of a sub-agent p from that of its parent
// and limits p's deadline to the parent's. It returns a fault if the parent
// cannot provide the budget.
func (m *Machine) reserveFromParent(at types.LogTime, a *account, p *program) *types.Fault {
	parent := a.Programs[p.Parent]
	switch {
	case parent == nil:
		return types.NewFault(types.CodeNotFound, "no program %q in this client account", p.Parent)
	case parent.Ended:
		return types.NewFault(types.CodeProgramEnded, "program %q has ended", parent.ID)
	case p.Budget.Depth >= parent.Budget.Depth:
		return types.NewFault(types.CodeBudgetExceeded, "program %q may have %d levels of sub-agents", parent.ID, parent.Budget.Depth)
	case p.Budget.Calls > parent.Remaining.Calls || p.Budget.Tokens > parent.Remaining.Tokens:
		return types.NewFault(types.CodeBudgetExceeded, "program %q has %d calls and %d tokens left", parent.ID, parent.Remaining.Calls, parent.Remaining.Tokens)
	case at >= parent.Deadline:
		return types.NewFault(types.CodeBudgetExceeded, "program %q has no time left", parent.ID)
	}
	parent.Remaining.Calls -= p.Budget.Calls
	parent.Remaining.Tokens -= p.Budget.Tokens
	parent.Children = append(parent.Children, p.ID)
	p.Deadline = min(p.Deadline, parent.Deadline)
	return nil
}

func (m *Machine) end(at types.LogTime, e End) Result {
	p, fault := m.findProgram(e.Account, e.Program)
	if fault != nil {
		return refuse(fault)
	}
	if e.OnlyIfOverdue && at < p.Deadline {
		return refuse(types.NewFault(types.CodeConflict, "program %q has time left", p.ID))
	}
	if !p.Ended {
		m.endTree(at, m.ensureAccount(e.Account), p)
	}
	return Result{Program: p.summary()}
}

// endTree ends a program and its sub-agents. The sub-agents end first, so that
// their unused budget is returned to the program before the program returns its
// own to its parent.
func (m *Machine) endTree(at types.LogTime, a *account, p *program) {
	for _, id := range p.Children {
		if child := a.Programs[id]; !child.Ended {
			m.endTree(at, a, child)
		}
	}
	if p.Current != nil {
		closeInterrupted(at, p)
	}
	p.Ended = true
	if parent := a.Programs[p.Parent]; parent != nil {
		parent.Remaining.Calls += p.Remaining.Calls
		parent.Remaining.Tokens += p.Remaining.Tokens
	}
}

// closeInterrupted closes the current call of a program that ends. The outcome
// is unknown if an attempt was in progress, because the call may have run.
func closeInterrupted(at types.LogTime, p *program) {
	fault := types.NewFault(types.CodeProgramEnded, "the program ended while the call was under way")
	outcome := OutcomeFailed
	if p.Current.Attempt != "" {
		fault = fault.WithRan(types.MayHaveRun)
		outcome = OutcomeUnknown
		p.EarliestRelease = at.Add(MaxAttemptDuration)
	}
	recordCall(p, Close{Attempt: p.Current.Attempt, Outcome: outcome, Fault: fault, Tokens: p.Current.Reserve})
}

// Overdue returns commands that end programs whose deadline has passed, at most
// maxResults of them.
func (m *Machine) Overdue(at types.LogTime, maxResults int) []End {
	var overdue []End
	for aid, a := range m.state.Accounts {
		for _, p := range a.Programs {
			if !p.Ended && at >= p.Deadline && len(overdue) < maxResults {
				overdue = append(overdue, End{Account: aid, Program: p.ID, OnlyIfOverdue: true})
			}
		}
	}
	return overdue
}
