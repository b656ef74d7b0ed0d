package types

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends. If d
// is zero or negative, it does not wait and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
