package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// runAlone runs a call outside any program. It is charged to the account's
// limit and has no journal; one that may not be repeated is sent once.
func (e *Entry) runAlone(ctx context.Context, w http.ResponseWriter, k *call) error {
	if err := e.admit(ctx, k); err != nil {
		return err
	}
	s := &sink{w: w}
	done := attempts{ran: types.NotRun}
	for {
		target, err := e.pick(k, nil, done.tried)
		if err != nil {
			return done.correctRan(err)
		}
		if err := e.mayStillSend(k); err != nil {
			return done.correctRan(err)
		}
		a := e.send(ctx, k, target, s)
		if a.err == nil {
			return finishAlone(w, s, a)
		}
		if a.crashed {
			e.noteCrash(k)
		}
		done.add(target.ID, a.ran)
		repeatable := a.ran == types.NotRun || k.idempotent && !a.forwarded
		if !repeatable || len(done.tried) >= maxAttempts || ctx.Err() != nil || !e.retries.Spend() {
			return failAlone(ctx, s, k, done)
		}
		metricRetries.Inc()
	}
}

// admit charges the call to the account's limit. Routes that are open to all
// belong to no account.
func (e *Entry) admit(ctx context.Context, k *call) error {
	if k.caller.account == "" {
		return nil
	}
	fleet, err := e.view.get(e.Clock())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, journalTimeout)
	defer cancel()
	admit := ledger.Admit{
		Account: k.caller.account, Limit: fleet.Limit(k.caller.account),
		Attempt: types.AttemptID(types.RandomID()), Fingerprint: k.fingerprint(),
	}
	_, err = e.Client.Ledger(ctx, k.caller.account, ledger.Command{Admit: &admit})
	if err != nil {
		return types.AsFault(err).WithRan(types.NotRun)
	}
	return nil
}

// noteCrash counts a target that died while it ran the call.
func (e *Entry) noteCrash(k *call) {
	if k.caller.account == "" {
		return
	}
	note := ledger.Admit{Account: k.caller.account, Fingerprint: k.fingerprint(), Crashed: true}
	ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
	defer cancel()
	_, _ = e.Client.Ledger(ctx, note.Account, ledger.Command{Admit: &note}) // Best effort; the next crash counts again.
}

func finishAlone(w http.ResponseWriter, s *sink, a answer) error {
	if s.started {
		s.done()
		return nil
	}
	writeRecorded(w, ledger.Call{Status: a.status, ContentType: a.contentType, Response: a.body}, false)
	return nil
}

func failAlone(ctx context.Context, s *sink, k *call, done attempts) error {
	f := errTargetFailed.WithRan(done.ran).After(time.Second)
	switch {
	case !k.idempotent && done.ran != types.NotRun:
		f = errUnknown
	case ctx.Err() != nil:
		f = errDeadline.WithRan(done.ran)
	}
	if s.started {
		s.fail(f)
		return nil
	}
	return f
}

// isStream reports whether a stored answer was a stream of events, whose last
// one is not stored.
func isStream(c ledger.Call) bool {
	return strings.HasPrefix(c.ContentType, "text/event-stream")
}
