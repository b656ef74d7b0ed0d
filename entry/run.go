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

// runCall runs a call and answers the caller.
func (e *Entry) runCall(w http.ResponseWriter, r *http.Request, c *call) error {
	defer func(start time.Time) { metricCallSeconds.UpdateDuration(start) }(time.Now())
	ctx := r.Context()
	if c.program != "" || !c.idempotent {
		// What may have an effect or has a journal is brought to its end even
		// if the caller leaves.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, e.CallTimeout)
	defer cancel()
	e.retryBudget.Earn()
	if c.program == "" {
		return e.runStandalone(ctx, w, c)
	}
	return e.runInProgram(ctx, w, c)
}

// runInProgram runs a call of a program: every attempt is begun in the ledger,
// and the outcome is stored before the caller gets the end of it.
func (e *Entry) runInProgram(ctx context.Context, w http.ResponseWriter, c *call) error {
	if err := e.assignNumber(ctx, c); err != nil {
		return err
	}
	stream := &eventStream{w: w}
	prior := priorAttempts{ran: types.NotRun}
	for {
		res, err := e.runAttempt(ctx, c, stream, prior)
		if err != nil {
			return prior.correctRan(err)
		}
		if !res.retry {
			return e.writeOutcome(w, stream, res)
		}
		prior.add(res.target, res.ran)
		metricRetries.Inc()
	}
}

// priorAttempts is what the attempts at a call so far came to.
type priorAttempts struct {
	tried []types.TargetID
	ran   types.Ran // NotRun while no target can have run the call
}

func (p *priorAttempts) add(t types.TargetID, ran types.Ran) {
	p.tried = append(p.tried, t)
	if ran != types.NotRun {
		p.ran = types.Unknown
	}
}

// correctRan corrects a fault that says "not run" of an attempt when an earlier one
// may have run.
func (p *priorAttempts) correctRan(err error) error {
	f := types.AsFault(err)
	if f.Ran == types.NotRun {
		return f.WithRan(p.ran)
	}
	return f
}

// assignNumber takes the next number if the caller left it to us.
func (e *Entry) assignNumber(ctx context.Context, c *call) error {
	if c.number != 0 {
		return nil
	}
	reply, err := e.fetchProgram(ctx, c.caller, c.program, false)
	if err != nil {
		return err
	}
	c.number = types.CallNumber(reply.Program.Closed + 1)
	return nil
}

// attemptResult is what came of one attempt.
type attemptResult struct {
	target   types.TargetID
	ran      types.Ran
	retry    bool         // the call may be sent to another target
	call     *ledger.Call // the stored outcome
	replayed bool         // the outcome was stored before
	fault    *types.Fault // the outcome could not be stored; the caller may have a part of the answer
}

// runAttempt makes one attempt at a call.
func (e *Entry) runAttempt(ctx context.Context, c *call, stream *eventStream, prior priorAttempts) (attemptResult, error) {
	planned, err := e.pickUntried(c, nil, prior.tried)
	if err != nil {
		return attemptResult{}, err
	}
	t := callAttempt{call: c, attemptID: types.AttemptID(types.RandomID()), planned: planned, target: planned, ordinal: len(prior.tried) + 1}
	begun, err := e.beginCall(ctx, c, t.attemptID, t.plannedHolder())
	if err != nil {
		return attemptResult{}, err
	}
	if begun.Call != nil {
		return attemptResult{call: begun.Call, replayed: true}, nil
	}
	if t.ordinal == 1 && t.keepsCache() {
		t.target = e.preferCacheHolder(c, planned, begun.Begun)
	}
	if err := e.checkSendAllowed(c); err != nil {
		e.abandonInBackground(c, t.attemptID)
		return attemptResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, begun.Begun.Left)
	defer cancel()
	return e.recordOutcome(ctx, t, e.send(ctx, c, t.target, stream))
}

// preferCacheHolder chooses again between the planned target and those that hold the
// program's prefix. All of them are recorded as holders already.
func (e *Entry) preferCacheHolder(c *call, planned config.Target, begun *ledger.Begun) config.Target {
	if len(begun.Holders) < 2 {
		return planned
	}
	cached := cachedPrefixes{}
	for _, h := range begun.Holders {
		cached[h.Target] = h.Prefix
	}
	t, err := e.pickCacheHolder(c, cached)
	if err != nil {
		return planned
	}
	return t
}

// checkSendAllowed checks at the last moment before a target is asked that the
// configuration, the caller's key and the session with the ledger still hold;
// the process may have been frozen since the call was begun.
func (e *Entry) checkSendAllowed(c *call) error {
	if err := e.recheckCaller(c.caller); err != nil {
		return err
	}
	if c.program != "" && !e.sessionLeases.valid(e.Client.GroupOf(c.caller.account), e.Clock()) {
		return types.NewFault(types.CodeUnavailable, "this entry host has lost its session with the ledger").After(time.Second)
	}
	return nil
}

// writeOutcome gives the caller the stored outcome, or the end of a stream.
func (e *Entry) writeOutcome(w http.ResponseWriter, stream *eventStream, res attemptResult) error {
	fault := res.fault
	if fault == nil {
		fault = res.call.Fault
	}
	switch {
	case stream.started && fault != nil:
		stream.writeError(fault)
	case stream.started:
		stream.writeDone()
	case fault != nil:
		return fault
	default:
		writeCallResponse(w, *res.call, res.replayed)
	}
	return nil
}

// writeCallResponse answers from the journal.
func writeCallResponse(w http.ResponseWriter, c ledger.Call, replayed bool) {
	if c.ContentType != "" {
		w.Header().Set("Content-Type", c.ContentType)
	}
	if replayed {
		w.Header().Set(headerRecorded, "true")
	}
	w.WriteHeader(c.Status)
	_, _ = w.Write(c.Response) // A caller that is gone can ask again.
	if isEventStream(c) {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}
