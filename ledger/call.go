package ledger

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// inProgressRetryDelay is the delay after which a caller may retry a call
	// that is in progress or out of order.
	inProgressRetryDelay = 500 * time.Millisecond
	// MaxAttemptDuration is the maximum duration of one attempt at a target.
	MaxAttemptDuration = 5 * time.Minute
	// maxCrashes is the number of target crashes from which on a request is
	// quarantined.
	maxCrashes = 2
	// crashRetention is how long after its latest crash the crashes of a request
	// are remembered.
	crashRetention = time.Hour
	// maxRecentAdmissions bounds the admissions that are stored per account.
	maxRecentAdmissions = 256
)

func (m *Machine) begin(at types.LogTime, b Begin) Result {
	p, fault := m.findProgram(b.Account, b.Program)
	if fault != nil {
		return refuse(fault)
	}
	if p.Current != nil && p.Current.overdue(at) {
		expireCall(at, p)
	}
	if b.Number < p.nextCall() {
		return replay(p, b)
	}
	if fault := checkBegin(at, p, b); fault != nil {
		return refuse(fault)
	}
	if p.Current == nil || p.Current.Attempt == "" {
		if fault := m.startAttempt(at, p, b); fault != nil {
			return refuse(fault)
		}
	}
	return Result{BeginReply: &BeginReply{CacheHolders: p.cacheHolders(b.Service), RemainingTime: p.Deadline.Sub(at)}}
}

// replay returns the recorded outcome of a call that is closed already. It
// refuses a request other than the recorded one.
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

// checkBegin returns the reason why the call may not begin now, or nil if it
// may.
func checkBegin(at types.LogTime, p *program, b Begin) *types.Fault {
	switch {
	case p.Ended:
		return types.NewFault(types.CodeProgramEnded, "program %q has ended", p.ID)
	case b.Number > p.nextCall():
		return types.NewFault(types.CodeOutOfOrder, "the next call of program %q is %d", p.ID, p.nextCall()).WithRetryAfter(inProgressRetryDelay)
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
		WithRan(types.MayHaveRun).WithRetryAfter(inProgressRetryDelay)
}

// startAttempt charges the call, unless an earlier attempt was charged for it,
// and records the attempt.
func (m *Machine) startAttempt(at types.LogTime, p *program, b Begin) *types.Fault {
	a := m.ensureAccount(b.Account)
	if fault := a.checkQuarantine(at, b.Fingerprint); fault != nil {
		return fault
	}
	if p.Current != nil && p.Current.Fingerprint != b.Fingerprint {
		cancelReservation(p) // No attempt at the earlier request is in progress.
	}
	if p.Current == nil {
		if fault := a.charge(at, p, b); fault != nil {
			return fault
		}
	}
	p.Current = &currentCall{
		Fingerprint: b.Fingerprint, Service: b.Service, Request: b.Request, Idempotent: b.Idempotent,
		Reserve: b.Reserve, Attempt: b.Attempt, Session: b.Session, AttemptStart: at,
	}
	if b.CacheTarget != "" {
		p.ensureCacheEntry(b.CacheTarget, b.Service)
	}
	return nil
}

// charge deducts a new call from the program's budget and from the account's
// rate limit. Further attempts at the same call are not charged.
func (a *account) charge(at types.LogTime, p *program, b Begin) *types.Fault {
	if p.Remaining.Calls < 1 || p.Remaining.Tokens < b.Reserve {
		return types.NewFault(types.CodeBudgetExceeded, "program %q has %d calls and %d tokens left, the call may need %d tokens",
			p.ID, p.Remaining.Calls, p.Remaining.Tokens, b.Reserve)
	}
	a.Bucket.SetLimit(at, b.Limit)
	if !a.Bucket.Take(at) {
		return a.rateLimitFault(at)
	}
	p.Remaining.Calls--
	p.Remaining.Tokens -= b.Reserve
	return nil
}

func (a *account) rateLimitFault(at types.LogTime) *types.Fault {
	return types.NewFault(types.CodeRateLimited, "the client account is above its rate of %g requests a second", a.Bucket.Limit.Rate).
		WithRetryAfter(a.Bucket.Wait(at, 1))
}

// cancelReservation drops the current call and returns what it reserved to the
// program's budget.
func cancelReservation(p *program) {
	p.Remaining.Calls++
	p.Remaining.Tokens += p.Current.Reserve
	p.Current = nil
}

func (m *Machine) close(at types.LogTime, c Close) Result {
	p, fault := m.findProgram(c.Account, c.Program)
	if fault != nil {
		return refuse(fault)
	}
	if c.Number < p.nextCall() && c.Number > 0 {
		return repeatedClose(p, c)
	}
	if c.Number != p.nextCall() || p.Current == nil || p.Current.Attempt != c.Attempt {
		return refuse(staleAttemptFault(p, c.Number))
	}
	a := m.ensureAccount(c.Account)
	switch {
	case c.Crashed:
		a.recordCrash(at, p.Current.Fingerprint)
	case c.Outcome == OutcomeAnswered:
		delete(a.Crashes, p.Current.Fingerprint) // The request did not cause the earlier crashes.
	}
	call := recordCall(p, c)
	p.updateCacheEntries(c, &call)
	return Result{Call: &call}
}

func staleAttemptFault(p *program, n types.CallNumber) *types.Fault {
	return types.NewFault(types.CodeConflict, "call %d of program %q was given to another attempt", n, p.ID).WithRan(types.MayHaveRun)
}

// repeatedClose returns the recorded call for a repeated Close. If the recorded
// outcome is unknown, a late response to the same attempt replaces it.
func repeatedClose(p *program, c Close) Result {
	call := &p.Calls[c.Number-1]
	if call.Attempt != c.Attempt {
		return refuse(staleAttemptFault(p, c.Number))
	}
	p.EarliestRelease = 0 // The attempt has ended.
	p.updateCacheEntries(c, call)
	if call.Outcome == OutcomeUnknown && c.Outcome == OutcomeAnswered {
		setOutcome(call, c)
	}
	stored := *call
	return Result{Call: &stored}
}

// recordCall moves the current call into the history and returns the unused
// part of its reserved tokens to the program's budget.
func recordCall(p *program, c Close) Call {
	used := min(max(c.Tokens, 0), p.Current.Reserve)
	p.Remaining.Tokens += p.Current.Reserve - used
	call := Call{
		Number: p.nextCall(), Service: p.Current.Service, Fingerprint: p.Current.Fingerprint,
		Attempt: c.Attempt, Request: p.Current.Request,
	}
	setOutcome(&call, c)
	p.Calls = append(p.Calls, call)
	p.Current = nil
	return call
}

func setOutcome(call *Call, c Close) {
	call.Outcome = c.Outcome
	call.Status = c.Status
	call.ContentType = c.ContentType
	call.Response = c.Response
	call.Fault = c.Fault
	call.Tokens = c.Tokens
}

func (m *Machine) abandon(at types.LogTime, b Abandon) Result {
	p, fault := m.findProgram(b.Account, b.Program)
	if fault != nil {
		return refuse(fault)
	}
	if b.Number != p.nextCall() || p.Current == nil || p.Current.Attempt != b.Attempt {
		return refuse(staleAttemptFault(p, b.Number))
	}
	if !b.NotRun && !p.Current.Idempotent {
		return refuse(types.NewFault(types.CodeConflict, "call %d of program %q may not be repeated", b.Number, p.ID))
	}
	if b.Crashed {
		m.ensureAccount(b.Account).recordCrash(at, p.Current.Fingerprint)
	}
	p.Current.Attempt = ""
	return Result{Program: p.summary()}
}

// expire frees or closes every call that the session's entry host has in
// progress.
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

// overdue reports whether the attempt must have ended by now. This finds
// attempts that a live entry host has given up and could not report.
func (c *currentCall) overdue(at types.LogTime) bool {
	return c.Attempt != "" && at.Sub(c.AttemptStart) > 2*MaxAttemptDuration
}

// expireCall ends the attempt of a call whose outcome was not reported. An
// idempotent call becomes free for another attempt; any other is closed with an
// unknown outcome.
func expireCall(at types.LogTime, p *program) {
	p.EarliestRelease = at.Add(MaxAttemptDuration)
	if p.Current.Idempotent {
		p.Current.Attempt = ""
		return
	}
	fault := types.NewFault(types.CodeOutcomeUnknown, "the host that ran the call was lost; the call may have run and is not sent again").
		WithRan(types.MayHaveRun)
	recordCall(p, Close{Attempt: p.Current.Attempt, Outcome: OutcomeUnknown, Fault: fault})
}

// ActiveSessions returns the number of calls in progress of each session that
// has any.
func (m *Machine) ActiveSessions() map[Session]int {
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
