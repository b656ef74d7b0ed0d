package ledger

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// retryInProgress is when to ask again for a call that is being run.
	retryInProgress = 500 * time.Millisecond
	// MaxAttempt is the longest that one attempt may run at a target.
	MaxAttempt = 5 * time.Minute
	// maxCrashes is how many targets one request may kill.
	maxCrashes = 2
	// crashMemory is how long a request that killed targets is remembered.
	crashMemory = time.Hour
	// maxAdmitted bounds the admissions that are remembered per account.
	maxAdmitted = 256
)

func (m *Machine) begin(at types.LogTime, b Begin) Result {
	p, fault := m.program(b.Account, b.Program)
	if fault != nil {
		return refuse(fault)
	}
	if p.Current != nil && p.Current.overdue(at) {
		expireCall(at, p)
	}
	if b.Number < p.next() {
		return replay(p, b)
	}
	if fault := checkBegin(at, p, b); fault != nil {
		return refuse(fault)
	}
	if p.Current == nil || p.Current.Attempt == "" {
		if fault := m.claim(at, p, b); fault != nil {
			return refuse(fault)
		}
	}
	return Result{Begun: &Begun{Holders: p.holders(b.Service), Left: p.Deadline.Sub(at)}}
}

// replay answers a call that was closed before from the journal.
func replay(p *program, b Begin) Result {
	if b.Number == 0 {
		return refuse(types.NewFault(types.CodeBadRequest, "the first call of a program has number 1"))
	}
	call := p.Calls[b.Number-1]
	if call.Fingerprint != b.Fingerprint {
		return refuse(types.NewFault(types.CodeConflict, "call %d of program %q was another request", b.Number, p.ID))
	}
	return Result{Call: &call}
}

// checkBegin tells why the call may not begin now, or returns nil.
func checkBegin(at types.LogTime, p *program, b Begin) *types.Fault {
	switch {
	case p.Ended:
		return types.NewFault(types.CodeProgramEnded, "program %q has ended", p.ID)
	case b.Number > p.next():
		return types.NewFault(types.CodeOutOfOrder, "the next call of program %q is %d", p.ID, p.next()).After(retryInProgress)
	case at >= p.Deadline:
		return types.NewFault(types.CodeBudgetExceeded, "program %q has no time left", p.ID)
	}
	c := p.Current
	if c == nil || c.Attempt == "" || c.Attempt == b.Attempt {
		return nil
	}
	if c.Fingerprint != b.Fingerprint {
		return types.NewFault(types.CodeConflict, "call %d of program %q is another request, under way", b.Number, p.ID)
	}
	return types.NewFault(types.CodeInProgress, "call %d of program %q is under way", b.Number, p.ID).
		WithRan(types.Unknown).After(retryInProgress)
}

// claim reserves what the call may use and notes the attempt.
func (m *Machine) claim(at types.LogTime, p *program, b Begin) *types.Fault {
	a := m.account(b.Account)
	if fault := a.checkQuarantine(at, b.Fingerprint); fault != nil {
		return fault
	}
	if p.Current != nil && p.Current.Fingerprint != b.Fingerprint {
		giveBack(p) // Nothing of the earlier request is under way or has run.
	}
	if p.Current == nil {
		if fault := a.charge(at, p, b); fault != nil {
			return fault
		}
	}
	p.Current = &current{
		Fingerprint: b.Fingerprint, Service: b.Service, Request: b.Request, Idempotent: b.Idempotent,
		Reserve: b.Reserve, Attempt: b.Attempt, Session: b.Session, Begun: at,
	}
	if b.Hold != "" {
		p.hold(b.Hold, b.Service)
	}
	return nil
}

// charge takes a new call out of the program's budget and the account's limit.
// A further attempt at the same call is not charged again.
func (a *account) charge(at types.LogTime, p *program, b Begin) *types.Fault {
	if p.Left.Calls < 1 || p.Left.Tokens < b.Reserve {
		return types.NewFault(types.CodeBudgetExceeded, "program %q has %d calls and %d tokens left, the call may need %d tokens",
			p.ID, p.Left.Calls, p.Left.Tokens, b.Reserve)
	}
	a.Bucket.Adjust(at, b.Limit)
	if !a.Bucket.Take(at) {
		return a.rateLimited(at)
	}
	p.Left.Calls--
	p.Left.Tokens -= b.Reserve
	return nil
}

func (a *account) rateLimited(at types.LogTime) *types.Fault {
	return types.NewFault(types.CodeRateLimited, "the client account is above its rate of %g requests a second", a.Bucket.Limit.Rate).
		After(a.Bucket.Wait(at, 1))
}

// giveBack returns the reservation of a call that will not be attempted.
func giveBack(p *program) {
	p.Left.Calls++
	p.Left.Tokens += p.Current.Reserve
	p.Current = nil
}

func (m *Machine) close(at types.LogTime, c Close) Result {
	p, fault := m.program(c.Account, c.Program)
	if fault != nil {
		return refuse(fault)
	}
	if c.Number < p.next() && c.Number > 0 {
		return closeAgain(p, c)
	}
	if c.Number != p.next() || p.Current == nil || p.Current.Attempt != c.Attempt {
		return refuse(staleAttempt(p, c.Number))
	}
	a := m.account(c.Account)
	switch {
	case c.Crashed:
		a.noteCrash(at, p.Current.Fingerprint)
	case c.Outcome == OutcomeAnswered:
		delete(a.Crashes, p.Current.Fingerprint) // It was not to blame for its targets' death.
	}
	call := record(p, c)
	p.settleHolding(c, &call)
	return Result{Call: &call}
}

func staleAttempt(p *program, n types.CallNumber) *types.Fault {
	return types.NewFault(types.CodeConflict, "call %d of program %q was given to another attempt", n, p.ID).WithRan(types.Unknown)
}

// closeAgain answers a repeated Close, and lets the attempt whose outcome was
// unknown tell it after all.
func closeAgain(p *program, c Close) Result {
	call := &p.Calls[c.Number-1]
	if call.Attempt != c.Attempt {
		return refuse(staleAttempt(p, c.Number))
	}
	p.QuietAt = 0 // The attempt is over.
	p.settleHolding(c, call)
	if call.Outcome == OutcomeUnknown && c.Outcome == OutcomeAnswered {
		fill(call, c)
	}
	stored := *call
	return Result{Call: &stored}
}

// record moves the current call into the history.
func record(p *program, c Close) Call {
	used := min(max(c.Tokens, 0), p.Current.Reserve)
	p.Left.Tokens += p.Current.Reserve - used
	call := Call{
		Number: p.next(), Service: p.Current.Service, Fingerprint: p.Current.Fingerprint,
		Attempt: c.Attempt, Request: p.Current.Request,
	}
	fill(&call, c)
	p.Calls = append(p.Calls, call)
	p.Current = nil
	return call
}

func fill(call *Call, c Close) {
	call.Outcome = c.Outcome
	call.Status = c.Status
	call.ContentType = c.ContentType
	call.Response = c.Response
	call.Fault = c.Fault
	call.Tokens = c.Tokens
}

func (m *Machine) abandon(at types.LogTime, b Abandon) Result {
	p, fault := m.program(b.Account, b.Program)
	if fault != nil {
		return refuse(fault)
	}
	if b.Number != p.next() || p.Current == nil || p.Current.Attempt != b.Attempt {
		return refuse(staleAttempt(p, b.Number))
	}
	if !b.NotRun && !p.Current.Idempotent {
		return refuse(types.NewFault(types.CodeConflict, "call %d of program %q may not be repeated", b.Number, p.ID))
	}
	if b.Crashed {
		m.account(b.Account).noteCrash(at, p.Current.Fingerprint)
	}
	p.Current.Attempt = ""
	return Result{Program: p.summary()}
}

// expire frees or closes every call that a lost entry host had begun.
func (m *Machine) expire(at types.LogTime, e Expire) Result {
	for _, a := range m.state.Accounts {
		for _, p := range a.Programs {
			if p.Current != nil && p.Current.Attempt != "" && p.Current.Session == e.Session {
				expireCall(at, p)
			}
		}
	}
	return Result{}
}

// overdue reports whether the attempt cannot be running any more although its
// entry host is alive: the host has given it up and could not say so.
func (c *current) overdue(at types.LogTime) bool {
	return c.Attempt != "" && at.Sub(c.Begun) > 2*MaxAttempt
}

// expireCall frees or closes a call whose attempt is lost.
func expireCall(at types.LogTime, p *program) {
	p.QuietAt = at.Add(MaxAttempt)
	if p.Current.Idempotent {
		p.Current.Attempt = ""
		return
	}
	fault := types.NewFault(types.CodeOutcomeUnknown, "the host that ran the call was lost; the call may have run and is not sent again").
		WithRan(types.Unknown)
	record(p, Close{Attempt: p.Current.Attempt, Outcome: OutcomeUnknown, Fault: fault})
}

// Sessions returns the sessions that have calls under way.
func (m *Machine) Sessions() map[Session]int {
	n := map[Session]int{}
	for _, a := range m.state.Accounts {
		for _, p := range a.Programs {
			if p.Current != nil && p.Current.Attempt != "" {
				n[p.Current.Session]++
			}
		}
	}
	return n
}
