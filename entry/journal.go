package entry

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// begin has the ledger begin the call for an attempt.
func (e *Entry) begin(ctx context.Context, k *call, attempt types.AttemptID, hold types.TargetID) (ledger.Result, error) {
	fleet, err := e.view.get(e.Clock())
	if err != nil {
		return ledger.Result{}, err
	}
	b := ledger.Begin{
		Account: k.caller.account, Limit: fleet.Limit(k.caller.account),
		Program: k.program, Number: k.number, Attempt: attempt, Session: e.session,
		Service: k.service.ID, Fingerprint: k.fingerprint(), Request: k.body,
		Idempotent: k.idempotent, Reserve: k.reserve, Hold: hold,
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	start := time.Now()
	result, err := e.Client.Ledger(ctx, k.caller.account, ledger.Command{Begin: &b})
	metricBeginSeconds.UpdateDuration(start)
	if types.IsCode(err, types.CodeQuarantined) {
		e.Log.Write(event.CallQuarantined, event.Fields{"account": b.Account, "program": b.Program, "call": b.Number, "fingerprint": b.Fingerprint})
	}
	if err != nil && types.AsFault(err).Ran == types.Unknown && !types.IsCode(err, types.CodeInProgress) {
		// The attempt may have been noted. No target was asked, nor will be.
		e.abandonLater(k, attempt)
		return result, types.AsFault(err).WithRan(types.NotRun)
	}
	return result, err
}

// abandonLater takes an attempt back in the background that was not used.
func (e *Entry) abandonLater(k *call, attempt types.AttemptID) {
	b := e.abandonment(k, attempt, true, false)
	e.closers.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		_, _ = e.Client.Ledger(ctx, b.Account, ledger.Command{Abandon: &b}) // A fault says that it was not noted.
		return nil
	})
}

func (e *Entry) abandonment(k *call, attempt types.AttemptID, notRun, crashed bool) ledger.Abandon {
	return ledger.Abandon{
		Account: k.caller.account, Program: k.program, Number: k.number, Attempt: attempt,
		NotRun: notRun, Crashed: crashed,
	}
}

// abandon takes an attempt back before another is made or the caller is told
// that the call did not run.
func (e *Entry) abandon(k *call, attempt types.AttemptID, notRun, crashed bool) error {
	b := e.abandonment(k, attempt, notRun, crashed)
	ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
	defer cancel()
	_, err := e.Client.Ledger(ctx, b.Account, ledger.Command{Abandon: &b})
	return err
}

// close stores the outcome of a call. If that takes too long, the caller gets
// an answer at once and storing goes on in the background.
func (e *Entry) close(c ledger.Close) (*ledger.Call, error) {
	type stored struct {
		call *ledger.Call
		err  error
	}
	done := make(chan stored, 1)
	start := time.Now()
	e.closers.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		result, err := e.Client.Ledger(ctx, c.Account, ledger.Command{Close: &c})
		metricCloseSeconds.UpdateDuration(start)
		if err != nil {
			e.Log.Write(event.CloseFailed, event.Fields{"program": c.Program, "call": c.Number, "error": err.Error()})
		}
		done <- stored{call: result.Call, err: err}
		return nil
	})
	timer := time.NewTimer(journalTimeout)
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
	WithRan(types.DidRun).After(journalTimeout)
