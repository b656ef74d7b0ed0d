package types_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// TestTimeoutFollowsLatePeer guards against requests that are all given up shortly before the
// peer replies, and against a timeout that stays long once the peer is fast again.
func TestTimeoutFollowsLatePeer(t *testing.T) {
	timeout := types.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 800 * time.Millisecond}
	steps := []struct {
		took time.Duration
		err  error
		want time.Duration
	}{
		{200 * time.Millisecond, types.NewFault(types.CodeDeadlineExceeded, "late"), 400 * time.Millisecond},
		{300 * time.Millisecond, nil, 400 * time.Millisecond},
		{400 * time.Millisecond, context.DeadlineExceeded, 800 * time.Millisecond},
		{800 * time.Millisecond, context.DeadlineExceeded, 800 * time.Millisecond},
		{time.Millisecond, types.NewFault(types.CodeNotLeader, "no leader"), 400 * time.Millisecond},
		{time.Millisecond, nil, 200 * time.Millisecond},
		{time.Millisecond, nil, 200 * time.Millisecond},
	}
	for i, s := range steps {
		timeout.Ended(s.took, s.err)
		if got := timeout.Duration(); got != s.want {
			t.Fatalf("step %d: timeout %v, want %v", i, got, s.want)
		}
	}
}
