package gate

import (
	"context"
	"net/http"
	"time"
)

// stoppingRetryAfter is the Retry-After value of a host that stops. Its caller's next
// connection leads to another host, which can take the request at once.
const stoppingRetryAfter = 50 * time.Millisecond

const (
	stoppingReason = "the host is stopping and cannot complete the request in time"
	// unansweredReason is the reason for requests in flight when answersEnd ends.
	unansweredReason = "the host is stopping before the target has responded"
)

// stopSchedule is when a host that stops ends what it does for its callers.
type stopSchedule struct {
	// acceptUntil is when the host stops to accept all requests. Until answersEnd it
	// accepts those with a deadline that is not later than answersEnd.
	acceptUntil time.Time
	// answersEnd is when requests in flight get a response if they have none yet.
	answersEnd time.Time
}

// Drain makes [Gate.Ready] return false, and responses ask callers to close their
// connections. For acceptFor from now, all requests are served, and from then on those whose
// deadline passes within answerWithin from now. All others are refused before they are sent to
// any target. After answerWithin no request is sent, and those in flight end with a response
// that says so if it has not begun. Turns that targets have completed are stored for
// commitWithin, so that their callers get the end. It must be called once.
func (g *Gate) Drain(acceptFor, answerWithin, commitWithin time.Duration) {
	g.init()
	now := time.Now()
	g.stopping.Store(&stopSchedule{acceptUntil: now.Add(acceptFor), answersEnd: now.Add(answerWithin)})
	time.AfterFunc(answerWithin, g.endAnswers)
	time.AfterFunc(commitWithin, g.endCommits)
}

// refuseAll makes the gate refuse all requests from now on before they are sent to any target.
func (g *Gate) refuseAll() {
	now := time.Now()
	g.stopping.Store(&stopSchedule{acceptUntil: now, answersEnd: now})
}

// isCommitting reports whether a turn is being stored, or its end may not have been written yet.
func (g *Gate) isCommitting() bool {
	return g.commits.Load() > 0 || time.Since(time.Unix(0, g.committedAt.Load())) < turnEndTime
}

// withTimeout is [context.WithTimeout], and also ends the context when stopCtx ends because the
// host is stopping.
func withTimeout(ctx, stopCtx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, d)
	unlink := context.AfterFunc(stopCtx, cancel)
	return ctx, func() {
		unlink()
		cancel()
	}
}

// answersEnded reports whether requests in flight have been ended because the host is
// stopping.
func (g *Gate) answersEnded() bool { return g.answersCtx.Err() != nil }

// cannotComplete reports whether the host stops before it can be sure to have a response. The
// request must not be sent to a target then.
func (c *call) cannotComplete() bool {
	s := c.gate.stopping.Load()
	if s == nil {
		return false
	}
	now := time.Now()
	return !now.Before(s.answersEnd) || !now.Before(s.acceptUntil) && c.deadline.After(s.answersEnd)
}

// refuseLate refuses a request that this host cannot complete before it stops. It runs once the
// body was received, which callers may send long after the header.
func (c *call) refuseLate() *errorResponse {
	if !c.cannotComplete() {
		return nil
	}
	return refusedByStop()
}

func refusedByStop() *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: stoppingRetryAfter, reason: stoppingReason}
}

// expired returns the error response for a request whose time is over: by its deadline, since
// its caller has left, or since the host is stopping.
func (c *call) expired() *errorResponse {
	switch {
	case c.remaining() <= 0 || !c.cannotComplete():
		return c.dispatchError("the deadline of the request has passed")
	case !c.mayHaveRun:
		return refusedByStop()
	}
	return c.dispatchError(unansweredReason)
}
