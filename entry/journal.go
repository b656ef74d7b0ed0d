package entry

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// beginCall begins an attempt at the call in the ledger. cacheTarget is the target
// to record as caching the program's prefix; it may be empty. If the call was
// closed before, the result contains the recorded call.
func (e *Entry) beginCall(ctx context.Context, c *call, attempt types.AttemptID, cacheTarget types.TargetID) (ledger.Result, error) {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return ledger.Result{}, err
	}
	b := ledger.Begin{
		Account: c.caller.account, Limit: cfg.Limit(c.caller.account),
		Program: c.program, Number: c.number, Attempt: attempt, Session: e.session,
		Service: c.service.ID, Fingerprint: c.fingerprint(), Request: c.body,
		Idempotent: c.idempotent, Reserve: c.reserve, CacheTarget: cacheTarget,
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	start := time.Now()
	result, err := e.Client.SubmitCommand(ctx, c.caller.account, ledger.Command{Begin: &b})
	metricBeginSeconds.UpdateDuration(start)
	if types.IsCode(err, types.CodeQuarantined) {
		e.Log.Write(event.CallQuarantined, event.Fields{"account": b.Account, "program": b.Program, "call": b.Number, "fingerprint": b.Fingerprint})
	}
	if err != nil && types.AsFault(err).Ran == types.MayHaveRun && !types.IsCode(err, types.CodeInProgress) {
		// The ledger may have recorded the attempt, but nothing has been sent to a
		// target and nothing will be.
		e.abandonInBackground(c, attempt)
		return result, types.AsFault(err).WithRan(types.NotRun)
	}
	return result, err
}

// abandonInBackground abandons an attempt as one that did not run. It returns
// immediately and retries the write in the background for up to
// backgroundWriteTimeout.
func (e *Entry) abandonInBackground(c *call, attempt types.AttemptID) {
	b := e.newAbandon(c, attempt, true, false)
	e.writeInBackground(func(ctx context.Context) {
		_, _ = e.Client.SubmitCommand(ctx, b.Account, ledger.Command{Abandon: &b}) // On a fault, the attempt was not recorded or will expire.
	})
}

// writeInBackground calls write with a context that ends after backgroundWriteTimeout. After the
// end of Run, the request waits for the write, for as long as it waits for any.
func (e *Entry) writeInBackground(write func(ctx context.Context)) {
	within := func(timeout time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		write(ctx)
	}
	if !e.backgroundWrites.Go(func() { within(backgroundWriteTimeout) }) {
		within(ledgerTimeout)
	}
}

// newAbandon returns the ledger command that abandons an attempt.
func (e *Entry) newAbandon(c *call, attempt types.AttemptID, notRun, crashed bool) ledger.Abandon {
	return ledger.Abandon{
		Account: c.caller.account, Program: c.program, Number: c.number, Attempt: attempt,
		NotRun: notRun, Crashed: crashed,
	}
}

// abandon abandons an attempt in the ledger. This must succeed before another
// attempt is made and before the caller receives a fault saying that the call
// did not run.
func (e *Entry) abandon(c *call, attempt types.AttemptID, notRun, crashed bool) error {
	b := e.newAbandon(c, attempt, notRun, crashed)
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	_, err := e.Client.SubmitCommand(ctx, b.Account, ledger.Command{Abandon: &b})
	return err
}

// closeCall records the outcome of a call in the ledger and returns the recorded
// call. After ledgerTimeout it returns errNotStored, and the write continues in
// the background for up to backgroundWriteTimeout in total.
func (e *Entry) closeCall(c ledger.Close) (*ledger.Call, error) {
	type stored struct {
		call *ledger.Call
		err  error
	}
	done := make(chan stored, 1)
	start := time.Now()
	e.writeInBackground(func(ctx context.Context) {
		result, err := e.Client.SubmitCommand(ctx, c.Account, ledger.Command{Close: &c})
		metricCloseSeconds.UpdateDuration(start)
		if err != nil {
			e.Log.Write(event.CallCloseFailed, event.Fields{"program": c.Program, "call": c.Number, "error": err.Error()})
		}
		done <- stored{call: result.Call, err: err}
	})
	timer := time.NewTimer(ledgerTimeout)
	defer timer.Stop()
	select {
	case s := <-done:
		return s.call, s.err
	case <-timer.C:
		return nil, errNotStored
	}
}

// errNotStored is returned if the outcome could not be stored in time. If the
// caller sends the call again, the response comes from the journal if the
// outcome has been stored meanwhile; otherwise the call runs again if it is
// idempotent.
var errNotStored = types.NewFault(types.CodeUnavailable, "the call ran, but its outcome could not be stored in time").
	WithRan(types.DidRun).WithRetryAfter(ledgerTimeout)
