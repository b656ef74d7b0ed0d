package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/plan"
)

// attemptTimeoutFactor is the timeout of one attempt as a multiple of the route's
// objective. After that time the objective is missed, but another target can
// still respond before the caller's deadline.
const attemptTimeoutFactor = 1.5

// errAttemptTimeout is the cancellation cause of an attempt that timed out.
var errAttemptTimeout = errors.New("gate: target did not respond within the attempt timeout")

// attemptContext returns the context of one attempt, which ends at the latest
// after the given remaining time or when the host stops. A non-idempotent request is not canceled when
// its caller disconnects, since that would leave its outcome unknown. An
// idempotent one is canceled with errAttemptTimeout if the target does not
// respond in time, another target is left to try, and the retry budget allows a
// retry. The caller of attemptContext must call stopTimer once the response is
// received, and cancel at the end of the attempt.
func (c *call) attemptContext(remaining time.Duration, hasAlternative bool) (ctx context.Context, stopTimer func() bool, cancel context.CancelFunc) {
	ctx = c.r.Context()
	if c.route.Kind == plan.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancelDeadline := withTimeout(ctx, c.gate.answersCtx, remaining)
	attemptTimeout := time.Duration(attemptTimeoutFactor * float64(c.route.Objective))
	if c.route.Kind != plan.Idempotent || !hasAlternative || c.runs+1 >= c.route.Attempts || attemptTimeout <= 0 || remaining <= 2*attemptTimeout {
		return ctx, func() bool { return true }, cancelDeadline
	}
	ctx, abort := context.WithCancelCause(ctx)
	timer := time.AfterFunc(attemptTimeout, func() {
		if c.gate.retryBudget.Spend() {
			abort(errAttemptTimeout)
		}
	})
	return ctx, timer.Stop, func() {
		timer.Stop()
		abort(nil)
		cancelDeadline()
	}
}
