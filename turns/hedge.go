package turns

import (
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// replyTime estimates the time within which nine tenths of the replies of stores arrive.
// Where all stores are slow, asking further ones after a fixed time would add work for them
// when they can bear it least. The zero value is ready for use; it is safe for concurrent
// use.
type replyTime struct {
	mu       sync.Mutex
	estimate time.Duration // 0 as long as there is no reply
}

const (
	// maxHedgeDelay bounds how long one slow store may delay a request, where the others
	// are slow too.
	maxHedgeDelay = 250 * time.Millisecond
	// estimateRise and estimateFall are the factors of the estimate after a reply that took
	// longer, or not. Nine falls undo a rise, so a tenth of the replies takes longer.
	estimateRise = 1.2
	estimateFall = 0.98
)

// add records the time that a reply took.
func (r *replyTime) add(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.estimate == 0:
		r.estimate = min(d, maxHedgeDelay)
	case d > r.estimate:
		r.estimate = min(time.Duration(float64(r.estimate)*estimateRise), maxHedgeDelay)
	default:
		r.estimate = max(time.Duration(float64(r.estimate)*estimateFall), time.Millisecond)
	}
}

// hedgeDelay returns how long to wait for stores before others are asked, at least minimum.
func (r *replyTime) hedgeDelay(minimum time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.estimate, minimum)
}

// recordReply records the time that a reply to a request took.
func (c *Client) recordReply(kind wire.Kind, d time.Duration) {
	switch kind {
	case KindClose:
		c.closeReplies.add(d)
	case KindChain:
		c.chainReplies.add(d)
	}
}
