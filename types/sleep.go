package types

import (
	"context"
	"time"
)

// Sleep waits for d and reports false if ctx ended first. A d of zero or less
// only looks at ctx.
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
