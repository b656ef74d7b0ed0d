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
	limit.Queue
	needsRenewal bool          // to be renewed before the next tick
	renewed      chan struct{} // closed after each renewal
}

// limitedRequest is what decides on the order in which a request is admitted.
type limitedRequest struct {
	precedence limit.Precedence
	turn       limit.TurnKey
}

// join asks for the admission of a request. If it is not admitted at once, it waits until
// leave or refuse is called, and renewed is closed after the next renewal.
func (t *shareTable[K]) join(id K, r limitedRequest) (w *limit.Waiter, renewed <-chan struct{}, admitted bool) {
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
	w = s.Join(r.precedence, r.turn, now)
	if !w.Admitted() || s.NeedsRenewal(now) {
		t.requestRenewalLocked(s)
	}
	return w, s.renewed, w.Admitted()
}

// admitted reports whether a request that waits was admitted meanwhile, or can be. renewed is nil if
// there is no longer a share.
func (t *shareTable[K]) admitted(id K, w *limit.Waiter) (renewed <-chan struct{}, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.Admitted() {
		return nil, true
	}
	s := t.shares[id]
	if s == nil {
		return nil, false // There is no longer a limit, or the host is stopping.
	}
	if s.Admit(t.clock()); w.Admitted() {
		return nil, true
	}
	t.requestRenewalLocked(s)
	return s.renewed, false
}

// leave ends the wait of a request that is sent without a part of the limit, or not sent.
func (t *shareTable[K]) leave(id K, w *limit.Waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		s.Leave(w)
	}
}

// refuse ends the wait of a request whose caller is told to come again. It may come to another host, which is to
// know.
func (t *shareTable[K]) refuse(id K, w *limit.Waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		s.Refuse(w)
		t.requestRenewalLocked(s)
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

// count counts a request that was not made because another reason refused it first.
func (t *shareTable[K]) count(id K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.shares[id]; s != nil {
		s.CountRequest(t.clock())
	}
}

// scarce reports whether the demand for a limit is near it or above.
func (t *shareTable[K]) scarce(id K) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[id]
	return s != nil && s.Scarce(t.clock())
}

// waitTimes returns the estimated time until a request that waits is admitted, for how long it should wait, and the
// time until this host's bucket refills by itself if the issuer does not respond, [limit.Never] if the bucket does
// not refill.
func (t *shareTable[K]) waitTimes(id K, w *limit.Waiter, rate types.PerSecond) (queueWait, maxWait, refillWait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.shares[id]
	if s == nil {
		return 0, 0, limit.Never
	}
	return s.Wait(w, rate), s.MaxWait(w), max(s.WaitWithoutIssuer(t.clock()), minRenewalPoll)
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
		if s.Waiting() == 0 && s.Idle(now) > t.idleTTL {
			if s.MustReport(now) {
				d := s.Demand(holder, now)
				d.Release = true
				demands[id] = d
			}
			t.remove(id)
			continue
		}
		if include(s) && (s.Waiting() > 0 || s.needsRenewal || s.MustReport(now)) {
			demands[id] = s.Demand(holder, now)
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
// admits requests that wait for any of them, and wakes all that do.
func (t *shareTable[K]) apply(demands map[K]limit.Demand, allotments map[K]limit.Allotment, requestedAt types.Mono) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for id, d := range demands {
		s := t.shares[id]
		if s == nil {
			continue
		}
		if a, ok := allotments[id]; ok {
			s.Apply(a, d, requestedAt, now)
		}
		close(s.renewed)
		s.renewed = make(chan struct{})
	}
}
