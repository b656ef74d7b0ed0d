package route

import "sync"

// RetryBudget limits retries to a fraction of the calls, so that retries do not
// amplify a failure of many targets. The zero value allows one retry per ten
// calls plus a reserve of ten. It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64 // 0 <= spent <= retryReserve
}

const (
	retryReserve = 10.0
	retryRatio   = 0.1
)

// Earn records a call that is not a retry.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

// Spend reports whether a retry is allowed. If so, it deducts the retry from the
// budget.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}
