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
	ordinal   int           // counts the attempts of this request, from 1
	planned   config.Target // the target recorded in the ledger as caching the program's prefix
	target    config.Target // the target to which the call is sent
}

// cachesPrefix reports whether targets of the service cache the program's prefix.
func (a callAttempt) cachesPrefix() bool { return a.service.Kind == config.KindModel }

// cacheTarget returns the target to record as caching the program's prefix before
// the call is sent, or "" if targets of the service do not cache it.
func (a callAttempt) cacheTarget() types.TargetID {
	if !a.cachesPrefix() {
		return ""
	}
	return a.planned.ID
}

// recordOutcome records the result of an attempt in the ledger: it closes the
// call, or abandons the attempt if the call may be sent again.
func (e *Entry) recordOutcome(ctx context.Context, a callAttempt, sent sendResult) (attemptResult, error) {
	res := attemptResult{target: a.target.ID, ran: sent.ran}
	if sent.err == nil {
		return e.storeOutcome(a.closeAnswered(sent), res), nil
	}
	e.Log.Write(event.TargetFailed, event.Fields{"target": a.target.ID, "ran": sent.ran, "error": sent.err.Error()})
	retryable := a.idempotent && !sent.forwarded && ctx.Err() == nil
	if retryable || sent.ran == types.NotRun {
		return e.abandonForRetry(ctx, a, sent, res)
	}
	return e.storeOutcome(e.closeFailed(ctx, a, sent), res), nil
}

// abandonForRetry abandons the attempt and sets res.retry if another one may be
// made. Otherwise it returns the fault to respond with.
func (e *Entry) abandonForRetry(ctx context.Context, a callAttempt, sent sendResult, res attemptResult) (attemptResult, error) {
	if err := e.abandon(a.call, a.attemptID, sent.ran == types.NotRun, sent.crashed); err != nil {
		e.abandonInBackground(a.call, a.attemptID)
		return res, types.AsFault(err).WithRan(sent.ran).WithRetryAfter(time.Second)
	}
	if a.ordinal < maxAttempts && ctx.Err() == nil && e.retryBudget.Spend() {
		res.retry = true
		return res, nil
	}
	return res, types.NewFault(types.CodeTargetFailed, "the target failed; the call can be sent again").WithRan(sent.ran).WithRetryAfter(time.Second)
}

// newClose returns a Close with the fields that do not depend on the outcome.
func (a callAttempt) newClose() ledger.Close {
	c := ledger.Close{
		Account: a.caller.account, Program: a.program, Number: a.call.number, Attempt: a.attemptID,
		Target: a.target.ID, Cached: a.cachesPrefix(),
	}
	if a.cachesPrefix() && a.planned.ID != a.target.ID {
		c.UnusedCacheTarget = a.planned.ID
	}
	return c
}

// closeAnswered returns the Close of a call to which the target has responded.
func (a callAttempt) closeAnswered(sent sendResult) ledger.Close {
	c := a.newClose()
	c.Outcome, c.Status, c.ContentType, c.Response = ledger.OutcomeAnswered, sent.status, sent.contentType, sent.body
	c.Tokens = sent.tokens
	return c
}

// closeFailed returns the Close of a failed call that may not be sent again. The
// whole token reservation counts as used.
func (e *Entry) closeFailed(ctx context.Context, a callAttempt, sent sendResult) ledger.Close {
	c := a.newClose()
	c.Tokens, c.Crashed = a.reserve, sent.crashed
	switch {
	case !a.idempotent:
		metricUnknownOutcomes.Inc()
		e.Log.Write(event.CallOutcomeUnknown, event.Fields{"account": c.Account, "program": c.Program, "call": c.Number, "target": c.Target})
		c.Outcome, c.Fault = ledger.OutcomeUnknown, errOutcomeUnknown
	case ctx.Err() != nil:
		c.Outcome, c.Fault = ledger.OutcomeFailed, errDeadlineExceeded
	default:
		c.Outcome, c.Fault = ledger.OutcomeFailed, errTargetFailed
	}
	return c
}

// Faults of calls that reached a target but got no complete response.
var (
	errOutcomeUnknown = types.NewFault(types.CodeOutcomeUnknown,
		"the target failed while it ran the call; the call may have run and will not be sent again").WithRan(types.MayHaveRun)
	errDeadlineExceeded = types.NewFault(types.CodeDeadlineExceeded, "the call exceeded its time limit").WithRan(types.MayHaveRun)
	errTargetFailed     = types.NewFault(types.CodeTargetFailed, "the target failed while it ran the call").WithRan(types.MayHaveRun)
)

// storeOutcome closes the call in the ledger. It sets res.call to the recorded
// call, or res.fault if the call could not be closed in time.
func (e *Entry) storeOutcome(c ledger.Close, res attemptResult) attemptResult {
	stored, err := e.closeCall(c)
	if err != nil {
		res.fault = types.AsFault(err)
		return res
	}
	res.call = stored
	return res
}
