package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// maxAttempts bounds how often an idempotent call is sent.
const maxAttempts = 3

// run runs a call and answers the caller.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, k *call) error {
	defer func(start time.Time) { metricCallSeconds.UpdateDuration(start) }(time.Now())
	ctx := r.Context()
	if k.program != "" || !k.idempotent {
		// What may have an effect or has a journal is brought to its end even
		// if the caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	e.retries.Earn()
	if k.program == "" {
		return e.runAlone(ctx, w, k)
	}
	return e.runInProgram(ctx, w, k)
}

// runInProgram runs a call of a program: every attempt is begun in the ledger,
// and the outcome is stored before the caller gets the end of it.
func (e *Entry) runInProgram(ctx context.Context, w http.ResponseWriter, k *call) error {
	if err := e.chooseNumber(ctx, k); err != nil {
		return err
	}
	s := &sink{w: w}
	done := attempts{ran: types.NotRun}
	for {
		st, err := e.attempt(ctx, k, s, done)
		if err != nil {
			return done.correctRan(err)
		}
		if !st.again {
			return e.finish(w, s, st)
		}
		done.add(st.target, st.ran)
		metricRetries.Inc()
	}
}

// attempts is what the attempts at a call so far came to.
type attempts struct {
	tried []types.TargetID
	ran   types.Ran // NotRun while no target can have run the call
}

func (a *attempts) add(t types.TargetID, ran types.Ran) {
	a.tried = append(a.tried, t)
	if ran != types.NotRun {
		a.ran = types.Unknown
	}
}

// correctRan corrects a fault that says "not run" of an attempt when an earlier one
// may have run.
func (a *attempts) correctRan(err error) error {
	f := types.AsFault(err)
	if f.Ran == types.NotRun {
		return f.WithRan(a.ran)
	}
	return f
}

// chooseNumber takes the next number if the caller left it to us.
func (e *Entry) chooseNumber(ctx context.Context, k *call) error {
	if k.number != 0 {
		return nil
	}
	reply, err := e.program(ctx, k.caller, k.program, false)
	if err != nil {
		return err
	}
	k.number = types.CallNumber(reply.Program.Closed + 1)
	return nil
}

// step is what came of one attempt.
type step struct {
	target types.TargetID
	ran    types.Ran
	again  bool         // the call may be sent to another target
	call   *ledger.Call // the stored outcome
	replay bool         // the outcome was stored before
	fault  *types.Fault // the outcome could not be stored; the caller may have a part of the answer
}

// attempt makes one attempt at a call.
func (e *Entry) attempt(ctx context.Context, k *call, s *sink, done attempts) (step, error) {
	planned, err := e.pick(k, nil, done.tried)
	if err != nil {
		return step{}, err
	}
	t := try{call: k, id: types.AttemptID(types.RandomID()), planned: planned, target: planned, number: len(done.tried) + 1}
	begun, err := e.begin(ctx, k, t.id, t.hold())
	if err != nil {
		return step{}, err
	}
	if begun.Call != nil {
		return step{call: begun.Call, replay: true}, nil
	}
	if t.number == 1 && t.holds() {
		t.target = e.prefer(k, planned, begun.Begun)
	}
	if err := e.mayStillSend(k); err != nil {
		e.abandonLater(k, t.id)
		return step{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, begun.Begun.Left)
	defer cancel()
	return e.settle(ctx, t, e.send(ctx, k, t.target, s))
}

// prefer chooses again between the planned target and those that hold the
// program's prefix. All of them are recorded as holders already.
func (e *Entry) prefer(k *call, planned config.Target, b *ledger.Begun) config.Target {
	if len(b.Holders) < 2 {
		return planned
	}
	a := affinity{}
	for _, h := range b.Holders {
		a[h.Target] = h.Prefix
	}
	t, err := e.pickHolder(k, a)
	if err != nil {
		return planned
	}
	return t
}

// mayStillSend checks at the last moment before a target is asked that the
// configuration, the caller's key and the session with the ledger still hold;
// the process may have been frozen since the call was begun.
func (e *Entry) mayStillSend(k *call) error {
	if err := e.recheck(k.caller); err != nil {
		return err
	}
	if k.program != "" && !e.sessions.valid(e.Client.GroupOf(k.caller.account), e.Clock()) {
		return types.NewFault(types.CodeUnavailable, "this entry host has lost its session with the ledger").After(time.Second)
	}
	return nil
}

// finish gives the caller the stored outcome, or the end of a stream.
func (e *Entry) finish(w http.ResponseWriter, s *sink, st step) error {
	fault := st.fault
	if fault == nil {
		fault = st.call.Fault
	}
	switch {
	case s.started && fault != nil:
		s.fail(fault)
	case s.started:
		s.done()
	case fault != nil:
		return fault
	default:
		writeRecorded(w, *st.call, st.replay)
	}
	return nil
}

// writeRecorded answers from the journal.
func writeRecorded(w http.ResponseWriter, c ledger.Call, replay bool) {
	if c.ContentType != "" {
		w.Header().Set("Content-Type", c.ContentType)
	}
	if replay {
		w.Header().Set(headerRecorded, "true")
	}
	w.WriteHeader(c.Status)
	_, _ = w.Write(c.Response) // A caller that is gone can ask again.
	if isStream(c) {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}
