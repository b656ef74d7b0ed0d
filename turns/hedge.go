package turns

import (
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// replyTimes estimates, for each store, the time within which nine tenths of its replies
// arrive. Where all stores are slow, asking further ones after a fixed time would add work for
// them when they can bear it least. The zero value is ready for use; it is safe for concurrent
// use.
type replyTimes struct {
	mu        sync.Mutex
	estimates map[StoreID]time.Duration
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

// add records the time that a reply of a store took.
func (r *replyTimes) add(id StoreID, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate, ok := r.estimates[id]
	switch {
	case !ok:
		estimate = d
	case d > estimate:
		estimate = time.Duration(float64(estimate) * estimateRise)
	default:
		estimate = time.Duration(float64(estimate) * estimateFall)
	}
	if r.estimates == nil {
		r.estimates = map[StoreID]time.Duration{}
	}
	r.estimates[id] = min(max(estimate, time.Millisecond), maxHedgeDelay)
}

// hedgeDelay returns how long to wait for other stores before those in further are asked: as
// long as the fastest of these takes itself, at least minimum. So one slow store delays no
// request while the others are fast.
func (r *replyTimes) hedgeDelay(minimum time.Duration, further []StoreID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := maxHedgeDelay
	for _, id := range further {
		delay = min(delay, r.estimates[id])
	}
	return max(delay, minimum)
}

// recordReply records the time that a store's reply to a request took.
func (c *Client) recordReply(kind wire.Kind, id StoreID, d time.Duration) {
	switch kind {
	case KindClose:
		c.closeReplies.add(id, d)
	case KindChain:
		c.chainReplies.add(id, d)
	}
}
