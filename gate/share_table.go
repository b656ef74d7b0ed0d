package gate

import (
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// shareTable holds this host's shares of limits by the ID of what is limited: client
// accounts or targets. It is safe for concurrent use after its fields are set.
type shareTable[K ~string] struct {
	clock types.Clock
	// renewNow triggers a renewal before the next tick; capacity 1.
	renewNow chan struct{}
	// idleTTL is how long a share is kept without requests.
	idleTTL time.Duration

	mu     sync.Mutex
	shares map[K]*pendingShare
}

// pendingShare is a share of one limit and the requests that wait for it.
type pendingShare struct {
	limit.Share
	waiting      int           // requests waiting for a renewal
	low          int           // the part of waiting that has low precedence
	needsRenewal bool          // to be renewed before the next tick
	renewed      chan struct{} // closed after each renewal
}

// tryTake deducts one request from a share. low is set if it has low precedence. If the
// share is exhausted, ok is false and the request counts as waiting until stopWaiting is
// called; ahead is the number of requests of this host that were waiting before it, and
// renewed is closed after the next renewal.
func (t *shareTable[K]) tryTake(id K, low bool) (renewed <-chan struct{}, ahead int, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	s := t.shares[id]
	if s == nil {
		s = &pendingShare{renewed: make(chan struct{})}
		if t.shares == nil {
			t.shares = map[K]*pendingShare{}
		}
		t.shares[id] = s
	}
	s.CountRequest(now)
	if s.take(low, now) {
		if s.NeedsRenewal(now) {
			t.requestRenewalLocked(s)
		}
		return nil, 0, true
	}
	s.addWaiting(low, 1)
	t.requestRenewalLocked(s)
	return s.renewed, s.waiting - 1, false
}

func (s *pendingShare) take(low bool, now types.Mono) bool {
	if low {
		return s.TakeLow(now)
	}
	return s.Take(now)
}

func (s *pendingShare) addWaiting(low bool, n int) {
	s.waiting += n
	if low {
		s.low += n
	}
}

// retryTake is tryTake for a request that already counts as waiting. It returns a nil
// channel if there is no longer a share.
func (t *shareTable[K]) retryTake(id K, low bool) (renewed <-chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[id]
	if s == nil {
		return nil, false // There is no longer a limit, or the host is stopping.
	}
	if s.take(low, t.clock()) {
		return nil, true
	}
	t.requestRenewalLocked(s)
	return s.renewed, false
}

// stopWaiting ends the wait of a request that tryTake counted as waiting.
func (t *shareTable[K]) stopWaiting(id K, low bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		s.addWaiting(low, -1)
	}
}

// requestRenewalLocked triggers a renewal of a share before the next tick. The caller
// must hold mu.
func (t *shareTable[K]) requestRenewalLocked(s *pendingShare) {
	s.needsRenewal = true
	select {
	case t.renewNow <- struct{}{}:
	default: // A renewal is already pending.
	}
}

// requestRenewal triggers a renewal of a share before the next tick.
func (t *shareTable[K]) requestRenewal(id K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		t.requestRenewalLocked(s)
	}
}

// refund returns a request that was deducted but that no target can have run.
func (t *shareTable[K]) refund(id K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		s.ReturnToken()
	}
}

// maxWait is how long a request should wait for a share. low is set if it has low
// precedence.
func (t *shareTable[K]) maxWait(id K, low bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		return s.MaxWait(low)
	}
	return 0
}

// waitTimes returns the estimated time until a request with the given number of
// requests of this host ahead of it is admitted, and the time until this host's bucket
// refills by itself if the issuer does not respond, [limit.Never] if the bucket does
// not refill.
func (t *shareTable[K]) waitTimes(id K, ahead int, rate types.PerSecond) (queueWait, refillWait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[id]
	if s == nil {
		return 0, limit.Never
	}
	return s.QueueWait(min(ahead, s.waiting-1), rate), max(s.WaitWithoutIssuer(t.clock()), minRenewalPoll)
}

// held returns the allotment of a share and the level of its bucket.
func (t *shareTable[K]) held(id K) (a limit.Allotment, tokens float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		return s.Held(t.clock())
	}
	return limit.Allotment{}, 0
}

// demands returns the demands of the shares that include selects. It drops shares that
// are idle, and gives back the allotment of those that have one, or whose limit no
// longer exists according to limited.
func (t *shareTable[K]) demands(holder limit.Holder, now types.Mono, include func(*pendingShare) bool, limited func(K) bool) map[K]limit.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	demands := map[K]limit.Demand{}
	for id, s := range t.shares {
		if !limited(id) {
			t.remove(id)
			continue
		}
		if s.waiting == 0 && s.Idle(now) > t.idleTTL {
			if s.MustReport(now) {
				d := s.Demand(holder, 0, now)
				d.Release = true
				demands[id] = d
			}
			t.remove(id)
			continue
		}
		if include(s) && (s.waiting > 0 || s.needsRenewal || s.MustReport(now)) {
			d := s.Demand(holder, s.waiting-s.low, now)
			d.Low = s.low
			demands[id] = d
			s.needsRenewal = false
		}
	}
	return demands
}

// remove drops a share. The caller must hold mu.
func (t *shareTable[K]) remove(id K) {
	close(t.shares[id].renewed)
	delete(t.shares, id)
}

// clear drops all shares.
func (t *shareTable[K]) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.shares {
		t.remove(id)
	}
}

// apply installs the allotments of a reply to demands that were made at requestedAt,
// and wakes the requests that wait for any of them.
func (t *shareTable[K]) apply(demands map[K]limit.Demand, allotments map[K]limit.Allotment, requestedAt types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for id := range demands {
		s := t.shares[id]
		if s == nil {
			continue
		}
		if a, ok := allotments[id]; ok {
			s.Apply(a, requestedAt, now)
		}
		close(s.renewed)
		s.renewed = make(chan struct{})
	}
}
