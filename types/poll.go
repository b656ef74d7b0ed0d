package types

import (
	"context"
	"time"
)

// Poll calls try until it is done or fails, with a pause between two calls. It
// returns nil if ctx ends first.
func Poll(ctx context.Context, pause time.Duration, try func(ctx context.Context) (done bool, err error)) error {
	for {
		done, err := try(ctx)
		if done || err != nil {
			return err
		}
		if !Sleep(ctx, pause) {
			return nil
		}
	}
}
