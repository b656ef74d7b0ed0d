package entry

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// try is one attempt at a call of a program.
type try struct {
	*call
	id      types.AttemptID
	number  int           // the first attempt of this entry host has number 1
	planned config.Target // the target that the ledger recorded as a holder
	target  config.Target // the target that was asked
}

// holds reports whether targets keep memory for the call's program.
func (t try) holds() bool { return t.service.Kind == config.KindModel }

// hold returns the target to be recorded as a holder before it is asked.
func (t try) hold() types.TargetID {
	if !t.holds() {
		return ""
	}
	return t.planned.ID
}

// settle has the ledger note what came of an attempt.
func (e *Entry) settle(ctx context.Context, t try, a answer) (step, error) {
	st := step{target: t.target.ID, ran: a.ran}
	if a.err == nil {
		return e.store(t.answered(a), st), nil
	}
	e.Log.Write(event.TargetFailed, event.Fields{"target": t.target.ID, "ran": a.ran, "error": a.err.Error()})
	repeatable := t.idempotent && !a.forwarded && ctx.Err() == nil
	if repeatable || a.ran == types.NotRun {
		return e.tryAgain(ctx, t, a, st)
	}
	return e.store(e.failed(ctx, t, a), st), nil
}

// tryAgain takes the attempt back and tells whether another may be made.
func (e *Entry) tryAgain(ctx context.Context, t try, a answer, st step) (step, error) {
	if err := e.abandon(t.call, t.id, a.ran == types.NotRun, a.crashed); err != nil {
		e.abandonLater(t.call, t.id)
		return st, types.AsFault(err).WithRan(a.ran).After(time.Second)
	}
	if t.number < maxAttempts && ctx.Err() == nil && e.retries.Spend() {
		st.again = true
		return st, nil
	}
	return st, types.NewFault(types.CodeTargetFailed, "the target failed: the call can be sent again").WithRan(a.ran).After(time.Second)
}

// closing returns the part of a Close that every outcome shares.
func (t try) closing() ledger.Close {
	c := ledger.Close{
		Account: t.caller.account, Program: t.program, Number: t.call.number, Attempt: t.id,
		Target: t.target.ID, Holding: t.holds(),
	}
	if t.holds() && t.planned.ID != t.target.ID {
		c.Unused = t.planned.ID
	}
	return c
}

// answered closes a call with the target's answer.
func (t try) answered(a answer) ledger.Close {
	c := t.closing()
	c.Outcome, c.Status, c.ContentType, c.Response = ledger.OutcomeAnswered, a.status, a.contentType, a.body
	c.Tokens = a.tokens
	return c
}

// failed closes a call that cannot be sent again.
func (e *Entry) failed(ctx context.Context, t try, a answer) ledger.Close {
	c := t.closing()
	c.Tokens, c.Crashed = t.reserve, a.crashed
	switch {
	case !t.idempotent:
		metricUnknown.Inc()
		e.Log.Write(event.CallUnknown, event.Fields{"account": c.Account, "program": c.Program, "call": c.Number, "target": c.Target})
		c.Outcome, c.Fault = ledger.OutcomeUnknown, errUnknown
	case ctx.Err() != nil:
		c.Outcome, c.Fault = ledger.OutcomeFailed, errDeadline
	default:
		c.Outcome, c.Fault = ledger.OutcomeFailed, errTargetFailed
	}
	return c
}

// Faults of calls that reached a target and brought no whole answer.
var (
	errUnknown = types.NewFault(types.CodeOutcomeUnknown,
		"the target failed while it ran the call; the call may have run and is not sent again").WithRan(types.Unknown)
	errDeadline     = types.NewFault(types.CodeDeadline, "the call took longer than it may").WithRan(types.Unknown)
	errTargetFailed = types.NewFault(types.CodeTargetFailed, "the target failed while it ran the call").WithRan(types.Unknown)
)

// store closes the call in the ledger.
func (e *Entry) store(c ledger.Close, st step) step {
	stored, err := e.close(c)
	if err != nil {
		st.fault = types.AsFault(err)
		return st
	}
	st.call = stored
	return st
}
