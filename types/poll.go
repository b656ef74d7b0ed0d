package types

import (
	"context"
	"time"
)

// Poll calls try until it is done or returns an error, and returns that error. It
// waits for interval between calls. If ctx ends first, Poll returns nil.
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
