package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
)

// maxAttempts limits how many times a call is sent to a target.
const maxAttempts = 3

// runCall runs a call within CallTimeout. It either writes the response or
// returns the error to respond with.
func (e *Entry) runCall(w http.ResponseWriter, r *http.Request, c *call) error {
	defer func(start time.Time) { metricCallSeconds.UpdateDuration(start) }(time.Now())
	ctx := r.Context()
	if c.program != "" || !c.idempotent {
		// Calls of programs and non-idempotent calls are completed even if the
		// caller disconnects.
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

// runInProgram runs a call of a program. Every attempt is begun in the ledger
// before it is sent to a target, and the outcome is stored before the caller
// receives the response, or the final event of a stream.
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

// priorAttempts summarizes the completed attempts at a call.
type priorAttempts struct {
	tried []types.TargetID
	ran   types.ExecutionState // NotRun as long as no target can have run the call, else MayHaveRun
}

func (p *priorAttempts) add(t types.TargetID, ran types.ExecutionState) {
	p.tried = append(p.tried, t)
	if ran != types.NotRun {
		p.ran = types.MayHaveRun
	}
}

// correctRan returns err as a fault about the call rather than its last attempt:
// a fault that says "not run" is corrected if an earlier attempt may have run.
func (p *priorAttempts) correctRan(err error) error {
	f := types.AsFault(err)
	if f.Ran == types.NotRun {
		return f.WithRan(p.ran)
	}
	return f
}

// assignNumber sets the call number to the next one of the program if the caller
// gave none.
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

// attemptResult is the result of one attempt at a call of a program.
type attemptResult struct {
	target   types.TargetID
	ran      types.ExecutionState
	retry    bool         // another attempt may be made
	call     *ledger.Call // the recorded call, if its outcome is stored
	replayed bool         // the outcome had been stored before this request
	fault    *types.Fault // set if storing the outcome failed; the caller may have received part of a stream
}

// runAttempt begins one attempt in the ledger, sends the call to a target and
// records the outcome. If the call was closed before, it returns the recorded
// call instead.
func (e *Entry) runAttempt(ctx context.Context, c *call, stream *eventStream, prior priorAttempts) (attemptResult, error) {
	planned, err := e.pickUntried(c, nil, prior.tried)
	if err != nil {
		return attemptResult{}, err
	}
	a := callAttempt{call: c, attemptID: types.AttemptID(types.RandomID()), planned: planned, target: planned, ordinal: len(prior.tried) + 1}
	result, err := e.beginCall(ctx, c, a.attemptID, a.cacheTarget())
	if err != nil {
		return attemptResult{}, err
	}
	if result.Call != nil {
		return attemptResult{call: result.Call, replayed: true}, nil
	}
	if a.ordinal == 1 && a.cachesPrefix() {
		a.target = e.preferCacheHolder(c, planned, result.BeginReply)
	}
	if err := e.checkSendAllowed(c); err != nil {
		e.abandonInBackground(c, a.attemptID)
		return attemptResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, result.BeginReply.RemainingTime)
	defer cancel()
	return e.recordOutcome(ctx, a, e.send(ctx, c, a.target, stream))
}

// preferCacheHolder applies the policy again, to the planned target and the
// targets that have cached the program's prefix. The ledger has already recorded
// all of them as holders.
func (e *Entry) preferCacheHolder(c *call, planned config.Target, reply *ledger.BeginReply) config.Target {
	if len(reply.CacheHolders) < 2 {
		return planned
	}
	cached := cachedPrefixes{}
	for _, h := range reply.CacheHolders {
		cached[h.Target] = h.Prefix
	}
	t, err := e.pickCacheHolder(c, cached)
	if err != nil {
		return planned
	}
	return t
}

// checkSendAllowed returns an error if the configuration lease, the caller's key
// or the session with the ledger is no longer valid. It must be called
// immediately before a call is sent to a target, since the process may have been
// suspended after the call was begun.
func (e *Entry) checkSendAllowed(c *call) error {
	if err := e.recheckCaller(c.caller); err != nil {
		return err
	}
	if c.program != "" && !e.sessionLeases.valid(e.Client.GroupOf(c.caller.account), e.Clock()) {
		return types.NewFault(types.CodeUnavailable, "this entry host has lost its session with the ledger").WithRetryAfter(time.Second)
	}
	return nil
}

// writeOutcome writes the stored outcome as the response or, if the stream has
// started, as its final event. It returns the error to respond with if there is
// one and nothing has been written.
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

// writeCallResponse writes the response that c contains. replayed marks it as the
// recorded response to an earlier request.
func writeCallResponse(w http.ResponseWriter, c ledger.Call, replayed bool) {
	if c.ContentType != "" {
		w.Header().Set("Content-Type", c.ContentType)
	}
	if replayed {
		w.Header().Set(headerRecorded, "true")
	}
	w.WriteHeader(c.Status)
	_, _ = w.Write(c.Response) // On an error the caller has disconnected and can send the call again.
	if isEventStream(c) {
		_, _ = w.Write([]byte("data: [DONE]\n\n"))
	}
}
