package gate

import (
	"context"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

// limitShares manages this host's shares of the accounts' rate limits. It is safe
// for concurrent use after init.
type limitShares struct {
	gate        *Gate
	holder      limit.Holder
	renewNow    chan struct{} // triggers a renewal before the next tick; capacity 1
	lastRenewal types.Mono    // when the issuer was last sent a request; used by run only

	mu       sync.Mutex
	accounts map[types.AccountID]*accountShare
}

// accountShare is this host's share of one account's rate limit.
type accountShare struct {
	limit.Share
	waiting      int           // requests waiting for a renewal
	needsRenewal bool          // to be renewed before the next tick
	renewed      chan struct{} // closed after each renewal
}

const (
	// renewInterval is how often allotments are renewed. It is shorter than
	// [limit.IssuerTimeout], after which a host without a reply from the issuer
	// refills its own buckets.
	renewInterval = limit.IssuerTimeout * 5 / 8
	// idleRenewInterval is how often a host without allotments sends an empty
	// request. A new leader needs a report from every host that may hold an
	// allotment.
	idleRenewInterval = time.Second
	// renewTimeout is the timeout of one renewal. It covers many round trips
	// between zones, and is shorter than an election so that the next attempt
	// reaches the new leader soon.
	renewTimeout = 200 * time.Millisecond
	// renewBatchPause is the minimum pause between two renewals. Renewals triggered
	// during the pause are combined into one request.
	renewBatchPause = 4 * time.Millisecond
	// idleShareTTL is how long a share is kept without requests.
	idleShareTTL = 10 * time.Second
)

func (s *limitShares) init(g *Gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = g
	s.holder = limit.Holder(string(g.Host) + "/" + types.RandomID())
	s.renewNow = make(chan struct{}, 1)
	s.accounts = map[types.AccountID]*accountShare{}
}

// tryTake deducts one request from an account's share. If the share is exhausted,
// ok is false and the request counts as waiting until stopWaiting is called; ahead
// is the number of requests of this host that were waiting before it, and renewed
// is closed after the next renewal.
func (s *limitShares) tryTake(id types.AccountID) (renewed <-chan struct{}, ahead int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gate.Clock()
	a := s.accounts[id]
	if a == nil {
		a = &accountShare{renewed: make(chan struct{})}
		s.accounts[id] = a
	}
	a.CountRequest(now)
	if a.Take(now) {
		if a.NeedsRenewal(now) {
			s.requestRenewalLocked(a)
		}
		return nil, 0, true
	}
	a.waiting++
	s.requestRenewalLocked(a)
	return a.renewed, a.waiting - 1, false
}

// retryTake is tryTake for a request that already counts as waiting. It returns a
// nil channel if the account no longer has a share.
func (s *limitShares) retryTake(id types.AccountID) (renewed <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[id]
	if a == nil {
		return nil, false // The account no longer has a limit, or the host is stopping.
	}
	if a.Take(s.gate.Clock()) {
		return nil, true
	}
	s.requestRenewalLocked(a)
	return a.renewed, false
}

// stopWaiting ends the wait of a request that tryTake counted as waiting.
func (s *limitShares) stopWaiting(id types.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[id]; a != nil {
		a.waiting--
	}
}

// requestRenewalLocked triggers a renewal of a share before the next tick. The
// caller must hold mu.
func (s *limitShares) requestRenewalLocked(a *accountShare) {
	a.needsRenewal = true
	select {
	case s.renewNow <- struct{}{}:
	default: // A renewal is already pending.
	}
}

// requestRenewal triggers a renewal of an account's share before the next tick.
func (s *limitShares) requestRenewal(id types.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.accounts[id]; a != nil {
		s.requestRenewalLocked(a)
	}
}

// refund returns a request that was deducted but that no target can have run.
func (s *limitShares) refund(a *plan.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if share := s.accounts[a.Name]; share != nil {
		share.ReturnToken()
	}
}

// run renews shares periodically and on request until ctx is canceled, and then
// returns the allotments.
func (s *limitShares) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.returnAllotments(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			s.renew(ctx, func(*accountShare) bool { return true })
		case <-s.renewNow:
			s.renew(ctx, func(a *accountShare) bool { return a.needsRenewal })
		}
		types.Sleep(ctx, renewBatchPause)
	}
}

// renew requests new allotments for the shares that include selects. If there are
// none, but the plan has rate limits, it sends an empty request every
// idleRenewInterval.
func (s *limitShares) renew(ctx context.Context, include func(*accountShare) bool) {
	requestedAt := s.gate.Clock()
	demands, anyLimit := s.demands(requestedAt, include)
	if !anyLimit || len(demands) == 0 && requestedAt.Sub(s.lastRenewal) < idleRenewInterval {
		return
	}
	s.lastRenewal = requestedAt
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := s.gate.Fleet.Limits(ctx, fleet.LimitsRequest{Host: s.gate.Host, Demands: demands})
	if err != nil {
		return // Current allotments stay valid until they expire; the client records which control host failed.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gate.Clock()
	for id, allotment := range reply.Allotments {
		a := s.accounts[id]
		if a == nil {
			continue
		}
		a.Apply(allotment, requestedAt, now)
		close(a.renewed)
		a.renewed = make(chan struct{})
	}
}

// demands returns the demands of the shares that include selects, and whether any
// account in the plan has a limit. It drops shares that are idle or whose account
// no longer has a limit.
func (s *limitShares) demands(now types.Mono, include func(*accountShare) bool) (demands map[types.AccountID]limit.Demand, anyLimit bool) {
	view := s.gate.Fleet.View()
	if view.Plan == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	demands = map[types.AccountID]limit.Demand{}
	for id, a := range s.accounts {
		planned := view.Plan.Account(id)
		if planned == nil || planned.Rate <= 0 || a.waiting == 0 && a.Idle(now) > idleShareTTL {
			delete(s.accounts, id)
			continue
		}
		if include(a) && (a.waiting > 0 || a.needsRenewal || a.MustReport(now)) {
			demands[id] = a.Demand(s.holder, a.waiting, now)
			a.needsRenewal = false
		}
	}
	return demands, view.Plan.HasRateLimits
}

// returnAllotments returns all allotments to the issuer, so that other hosts need
// not wait until they expire.
func (s *limitShares) returnAllotments(ctx context.Context) {
	demands, _ := s.demands(s.gate.Clock(), func(*accountShare) bool { return true })
	if len(demands) == 0 {
		return
	}
	s.mu.Lock()
	clear(s.accounts)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	// If the request is lost, the allotments expire.
	_, _ = s.gate.Fleet.Limits(ctx, fleet.LimitsRequest{Host: s.gate.Host, Demands: demands, Return: true})
}
