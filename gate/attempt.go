package gate

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/plan"
)

// attemptFactor is how many times its route's objective a request waits for
// one target before it goes to another: an answer that is that late has missed
// its aim, and a second target can still save the caller's.
const attemptFactor = 1.5

// errAttemptTimeout ends a send whose target has not answered in time.
var errAttemptTimeout = errors.New("gate: the target has not answered within the time of an attempt")

// attemptContext bounds one send. A request that may not be repeated goes on
// when its caller leaves: to break it off would leave its outcome unknown. One
// that may be repeated is broken off when its target is silent for too long
// and others are left, as far as the budget of retries goes; settled tells that
// the answer is there.
func (c *call) attemptContext(left time.Duration, others bool) (ctx context.Context, settled func() bool, cancel context.CancelFunc) {
	ctx = c.r.Context()
	if c.route.Kind == plan.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, stop := context.WithTimeout(ctx, left)
	wait := time.Duration(attemptFactor * float64(c.route.Objective))
	if c.route.Kind != plan.Idempotent || !others || c.runs+1 >= c.route.Attempts || wait <= 0 || left <= 2*wait {
		return ctx, func() bool { return true }, stop
	}
	ctx, abort := context.WithCancelCause(ctx)
	timer := time.AfterFunc(wait, func() {
		if c.gate.retries.Spend() {
			abort(errAttemptTimeout)
		}
	})
	return ctx, timer.Stop, func() {
		timer.Stop()
		abort(nil)
		stop()
	}
}
