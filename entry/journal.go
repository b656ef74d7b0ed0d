package entry

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// beginCall has the ledger begin the call for an attempt.
func (e *Entry) beginCall(ctx context.Context, c *call, attempt types.AttemptID, holder types.TargetID) (ledger.Result, error) {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return ledger.Result{}, err
	}
	b := ledger.Begin{
		Account: c.caller.account, Limit: cfg.Limit(c.caller.account),
		Program: c.program, Number: c.number, Attempt: attempt, Session: e.session,
		Service: c.service.ID, Fingerprint: c.fingerprint(), Request: c.body,
		Idempotent: c.idempotent, Reserve: c.reserve, Hold: holder,
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	start := time.Now()
	result, err := e.Client.Ledger(ctx, c.caller.account, ledger.Command{Begin: &b})
	metricBeginSeconds.UpdateDuration(start)
	if types.IsCode(err, types.CodeQuarantined) {
		e.Log.Write(event.CallQuarantined, event.Fields{"account": b.Account, "program": b.Program, "call": b.Number, "fingerprint": b.Fingerprint})
	}
	if err != nil && types.AsFault(err).Ran == types.Unknown && !types.IsCode(err, types.CodeInProgress) {
		// The attempt may have been noted. No target was asked, nor will be.
		e.abandonInBackground(c, attempt)
		return result, types.AsFault(err).WithRan(types.NotRun)
	}
	return result, err
}

// abandonInBackground takes an attempt back in the background that was not used.
func (e *Entry) abandonInBackground(c *call, attempt types.AttemptID) {
	b := e.newAbandon(c, attempt, true, false)
	e.backgroundWrites.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundWriteTimeout)
		defer cancel()
		_, _ = e.Client.Ledger(ctx, b.Account, ledger.Command{Abandon: &b}) // A fault says that it was not noted.
		return nil
	})
}

func (e *Entry) newAbandon(c *call, attempt types.AttemptID, notRun, crashed bool) ledger.Abandon {
	return ledger.Abandon{
		Account: c.caller.account, Program: c.program, Number: c.number, Attempt: attempt,
		NotRun: notRun, Crashed: crashed,
	}
}

// abandon takes an attempt back before another is made or the caller is told
// that the call did not run.
func (e *Entry) abandon(c *call, attempt types.AttemptID, notRun, crashed bool) error {
	b := e.newAbandon(c, attempt, notRun, crashed)
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	_, err := e.Client.Ledger(ctx, b.Account, ledger.Command{Abandon: &b})
	return err
}

// closeCall stores the outcome of a call. If that takes too long, the caller gets
// an answer at once and storing goes on in the background.
func (e *Entry) closeCall(c ledger.Close) (*ledger.Call, error) {
	type stored struct {
		call *ledger.Call
		err  error
	}
	done := make(chan stored, 1)
	start := time.Now()
	e.backgroundWrites.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundWriteTimeout)
		defer cancel()
		result, err := e.Client.Ledger(ctx, c.Account, ledger.Command{Close: &c})
		metricCloseSeconds.UpdateDuration(start)
		if err != nil {
			e.Log.Write(event.CloseFailed, event.Fields{"program": c.Program, "call": c.Number, "error": err.Error()})
		}
		done <- stored{call: result.Call, err: err}
		return nil
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

// errNotStored tells a caller that the answer could not be stored in time. A
// resend is answered from the journal or begins the call again if it may.
var errNotStored = types.NewFault(types.CodeUnavailable, "the call ran, and its outcome could not be stored in time").
	WithRan(types.DidRun).After(ledgerTimeout)
