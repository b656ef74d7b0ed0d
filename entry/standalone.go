package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// runStandalone runs a call that belongs to no program. The call is charged to
// the client account's rate limit and is not recorded in a journal. A
// non-idempotent call is retried only if its attempt certainly did not run.
func (e *Entry) runStandalone(ctx context.Context, w http.ResponseWriter, c *call) error {
	if err := e.admit(ctx, c); err != nil {
		return err
	}
	stream := &eventStream{w: w}
	prior := priorAttempts{ran: types.NotRun}
	for {
		target, err := e.pickUntried(c, nil, prior.tried)
		if err != nil {
			return prior.correctRan(err)
		}
		if err := e.checkSendAllowed(c); err != nil {
			return prior.correctRan(err)
		}
		sent := e.send(ctx, c, target, stream)
		if sent.err == nil {
			return finishStandalone(w, stream, sent)
		}
		if sent.crashed {
			e.recordCrash(c)
		}
		prior.add(target.ID, sent.ran)
		retryable := sent.ran == types.NotRun || c.idempotent && !sent.forwarded
		if !retryable || len(prior.tried) >= maxAttempts || ctx.Err() != nil || !e.retryBudget.Spend() {
			return failStandalone(ctx, stream, c, prior)
		}
		metricRetries.Inc()
	}
}

// admit charges the call to the rate limit of its client account. Calls to
// anonymous services have no account and are not charged.
func (e *Entry) admit(ctx context.Context, c *call) error {
	if c.caller.account == "" {
		return nil
	}
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	admit := ledger.Admit{
		Account: c.caller.account, Limit: cfg.Limit(c.caller.account),
		Attempt: types.AttemptID(types.RandomID()), Fingerprint: c.fingerprint(),
	}
	_, err = e.Client.SubmitCommand(ctx, c.caller.account, ledger.Command{Admit: &admit})
	if err != nil {
		return types.AsFault(err).WithRan(types.NotRun)
	}
	return nil
}

// recordCrash reports to the ledger that a target crashed while it ran the call.
// The ledger quarantines requests that have crashed too many targets.
func (e *Entry) recordCrash(c *call) {
	if c.caller.account == "" {
		return
	}
	crash := ledger.Admit{Account: c.caller.account, Fingerprint: c.fingerprint(), Crashed: true}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	_, _ = e.Client.SubmitCommand(ctx, crash.Account, ledger.Command{Admit: &crash}) // Best effort: if this report is lost, only later crashes count.
}

// finishStandalone sends the rest of a successful response to the caller.
func finishStandalone(w http.ResponseWriter, stream *eventStream, sent sendResult) error {
	if stream.started {
		stream.writeDone()
		return nil
	}
	writeCallResponse(w, ledger.Call{Status: sent.status, ContentType: sent.contentType, Response: sent.body}, false)
	return nil
}

// failStandalone reports a failed call to the caller: as an error event if the
// stream has started, otherwise as the returned fault.
func failStandalone(ctx context.Context, stream *eventStream, c *call, prior priorAttempts) error {
	f := errTargetFailed.WithRan(prior.ran).WithRetryAfter(time.Second)
	switch {
	case !c.idempotent && prior.ran != types.NotRun:
		f = errOutcomeUnknown
	case ctx.Err() != nil:
		f = errDeadlineExceeded.WithRan(prior.ran)
	}
	if stream.started {
		stream.writeError(f)
		return nil
	}
	return f
}

// isEventStream reports whether a stored response is a stream of server-sent
// events. Its final [DONE] event is not stored.
func isEventStream(c ledger.Call) bool {
	return strings.HasPrefix(c.ContentType, "text/event-stream")
}
