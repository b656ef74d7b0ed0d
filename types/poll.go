package types

import (
	"context"
	"time"
)

// Poll calls try until it returns true or an error, waiting for interval between
// calls, and returns that error. It returns nil if ctx ends first.
func Poll(ctx context.Context, interval time.Duration, try func(ctx context.Context) (done bool, err error)) error {
	for {
		done, err := try(ctx)
		if done || err != nil {
			return err
		}
		if !Sleep(ctx, interval) {
			return nil
		}
	}
}
