package entry

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// callAttempt is one attempt at a call of a program.
type callAttempt struct {
	*call
	attemptID types.AttemptID
	ordinal   int           // the first attempt of this entry host has number 1
	planned   config.Target // the target that the ledger recorded as a holder
	target    config.Target // the target that was asked
}

// keepsCache reports whether targets keep memory for the call's program.
func (t callAttempt) keepsCache() bool { return t.service.Kind == config.KindModel }

// plannedHolder returns the target to be recorded as a holder before it is asked.
func (t callAttempt) plannedHolder() types.TargetID {
	if !t.keepsCache() {
		return ""
	}
	return t.planned.ID
}

// recordOutcome has the ledger note what came of an attempt.
func (e *Entry) recordOutcome(ctx context.Context, t callAttempt, sent sendResult) (attemptResult, error) {
	res := attemptResult{target: t.target.ID, ran: sent.ran}
	if sent.err == nil {
		return e.storeOutcome(t.closeAnswered(sent), res), nil
	}
	e.Log.Write(event.TargetFailed, event.Fields{"target": t.target.ID, "ran": sent.ran, "error": sent.err.Error()})
	retryable := t.idempotent && !sent.forwarded && ctx.Err() == nil
	if retryable || sent.ran == types.NotRun {
		return e.abandonForRetry(ctx, t, sent, res)
	}
	return e.storeOutcome(e.closeFailed(ctx, t, sent), res), nil
}

// abandonForRetry takes the attempt back and tells whether another may be made.
func (e *Entry) abandonForRetry(ctx context.Context, t callAttempt, sent sendResult, res attemptResult) (attemptResult, error) {
	if err := e.abandon(t.call, t.attemptID, sent.ran == types.NotRun, sent.crashed); err != nil {
		e.abandonInBackground(t.call, t.attemptID)
		return res, types.AsFault(err).WithRan(sent.ran).After(time.Second)
	}
	if t.ordinal < maxAttempts && ctx.Err() == nil && e.retryBudget.Spend() {
		res.retry = true
		return res, nil
	}
	return res, types.NewFault(types.CodeTargetFailed, "the target failed: the call can be sent again").WithRan(sent.ran).After(time.Second)
}

// newClose returns the part of a Close that every outcome shares.
func (t callAttempt) newClose() ledger.Close {
	c := ledger.Close{
		Account: t.caller.account, Program: t.program, Number: t.call.number, Attempt: t.attemptID,
		Target: t.target.ID, Holding: t.keepsCache(),
	}
	if t.keepsCache() && t.planned.ID != t.target.ID {
		c.Unused = t.planned.ID
	}
	return c
}

// closeAnswered closes a call with the target's answer.
func (t callAttempt) closeAnswered(sent sendResult) ledger.Close {
	c := t.newClose()
	c.Outcome, c.Status, c.ContentType, c.Response = ledger.OutcomeAnswered, sent.status, sent.contentType, sent.body
	c.Tokens = sent.tokens
	return c
}

// closeFailed closes a call that cannot be sent again.
func (e *Entry) closeFailed(ctx context.Context, t callAttempt, sent sendResult) ledger.Close {
	c := t.newClose()
	c.Tokens, c.Crashed = t.reserve, sent.crashed
	switch {
	case !t.idempotent:
		metricUnknownOutcomes.Inc()
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

// storeOutcome closes the call in the ledger.
func (e *Entry) storeOutcome(c ledger.Close, res attemptResult) attemptResult {
	stored, err := e.closeCall(c)
	if err != nil {
		res.fault = types.AsFault(err)
		return res
	}
	res.call = stored
	return res
}
