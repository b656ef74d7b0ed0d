package turns

import (
	"context"
	"time"
)

// Millis is a duration in milliseconds.
type Millis int64

// within returns for how long a store may take for a request of a client that waits until ctx ends, and for storeTimeout more
// once other stores have replied.
func within(ctx context.Context) Millis {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return Millis(max(0, time.Until(deadline))+storeTimeout) / Millis(time.Millisecond)
}

// limit returns ctx with the time that the client waits.
func (m Millis) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	if m <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, time.Duration(m)*time.Millisecond)
}
