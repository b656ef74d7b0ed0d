package types

import (
	"context"
	"errors"
	"time"
)

// AdaptiveTimeout is the timeout of requests that are sent one after another to a peer that
// may be late. If each request were given up after the same time and repeated, no reply of a
// peer that takes longer would ever count, and the peer would do the work of all of them.
// It is not safe for concurrent use.
type AdaptiveTimeout struct {
	// Min and Max bound the timeout. Min must be positive and at most Max.
	Min, Max time.Duration

	current time.Duration // 0 until the first request has ended
}

// Duration returns the timeout of the next request.
func (t *AdaptiveTimeout) Duration() time.Duration { return max(t.current, t.Min) }

// Ended records that a request has ended with err, nil for a reply, after the given time. The
// timeout doubles if the request has timed out. It is halved after a request that would have
// had enough time with half of it.
func (t *AdaptiveTimeout) Ended(took time.Duration, err error) {
	switch timeout := t.Duration(); {
	case IsCode(err, CodeDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		t.current = min(2*timeout, t.Max)
	case took < timeout/2:
		t.current = max(timeout/2, t.Min)
	}
}
