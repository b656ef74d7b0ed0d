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
	planned   config.Target // the target recorded in the ledger as a holder of the prompt cache
	target    config.Target // the target to which the call is sent
}

// keepsCache reports whether targets of the service keep a prompt cache for the
// program.
func (t callAttempt) keepsCache() bool { return t.service.Kind == config.KindModel }

// plannedHolder returns the target to record as a holder of the prompt cache
// before the call is sent, or "" if the service keeps none.
func (t callAttempt) plannedHolder() types.TargetID {
	if !t.keepsCache() {
		return ""
	}
	return t.planned.ID
}

// recordOutcome records the result of an attempt in the ledger: it closes the
// call, or abandons the attempt if the call may be sent again.
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

// abandonForRetry abandons the attempt and sets res.retry if another one may be
// made. Otherwise it returns the fault to respond with.
func (e *Entry) abandonForRetry(ctx context.Context, t callAttempt, sent sendResult, res attemptResult) (attemptResult, error) {
	if err := e.abandon(t.call, t.attemptID, sent.ran == types.NotRun, sent.crashed); err != nil {
		e.abandonInBackground(t.call, t.attemptID)
		return res, types.AsFault(err).WithRan(sent.ran).WithRetryAfter(time.Second)
	}
	if t.ordinal < maxAttempts && ctx.Err() == nil && e.retryBudget.Spend() {
		res.retry = true
		return res, nil
	}
	return res, types.NewFault(types.CodeTargetFailed, "the target failed; the call can be sent again").WithRan(sent.ran).WithRetryAfter(time.Second)
}

// newClose returns a Close with the fields that do not depend on the outcome.
func (t callAttempt) newClose() ledger.Close {
	c := ledger.Close{
		Account: t.caller.account, Program: t.program, Number: t.call.number, Attempt: t.attemptID,
		Target: t.target.ID, Cached: t.keepsCache(),
	}
	if t.keepsCache() && t.planned.ID != t.target.ID {
		c.UnusedCacheTarget = t.planned.ID
	}
	return c
}

// closeAnswered returns the Close of a call that the target has answered.
func (t callAttempt) closeAnswered(sent sendResult) ledger.Close {
	c := t.newClose()
	c.Outcome, c.Status, c.ContentType, c.Response = ledger.OutcomeAnswered, sent.status, sent.contentType, sent.body
	c.Tokens = sent.tokens
	return c
}

// closeFailed returns the Close of a failed call that may not be sent again. The
// whole token reservation counts as used.
func (e *Entry) closeFailed(ctx context.Context, t callAttempt, sent sendResult) ledger.Close {
	c := t.newClose()
	c.Tokens, c.Crashed = t.reserve, sent.crashed
	switch {
	case !t.idempotent:
		metricUnknownOutcomes.Inc()
		e.Log.Write(event.CallOutcomeUnknown, event.Fields{"account": c.Account, "program": c.Program, "call": c.Number, "target": c.Target})
		c.Outcome, c.Fault = ledger.OutcomeUnknown, errUnknown
	case ctx.Err() != nil:
		c.Outcome, c.Fault = ledger.OutcomeFailed, errDeadline
	default:
		c.Outcome, c.Fault = ledger.OutcomeFailed, errTargetFailed
	}
	return c
}

// Faults of calls that reached a target but got no complete response.
var (
	errUnknown = types.NewFault(types.CodeOutcomeUnknown,
		"the target failed while it ran the call; the call may have run and will not be sent again").WithRan(types.MayHaveRun)
	errDeadline     = types.NewFault(types.CodeDeadlineExceeded, "the call exceeded its time limit").WithRan(types.MayHaveRun)
	errTargetFailed = types.NewFault(types.CodeTargetFailed, "the target failed while it ran the call").WithRan(types.MayHaveRun)
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
