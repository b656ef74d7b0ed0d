package route

import "sync"

// RetryBudget bounds retries to a share of the calls, so that a failure of many
// targets is not made worse by asking again. The zero value allows one retry
// for every ten calls and ten besides. It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	spent float64 // 0 <= spent <= retryReserve
}

const (
	retryReserve = 10.0
	retryShare   = 0.1
)

// Earn counts a call that was not a retry.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryShare)
}

// Spend reports whether a retry is allowed, and counts it if so.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryReserve {
		return false
	}
	b.spent++
	return true
}
