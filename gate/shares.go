package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

// shares are this host's parts of the accounts' limits.
type shares struct {
	gate   *Gate
	holder limit.Holder
	kick   chan struct{} // asks for a renewal at once

	mu   sync.Mutex
	of   map[types.AccountID]*limit.Share
	news chan struct{} // closed after each renewal
}

const (
	// renewInterval is how often allotments are renewed: several times within
	// their life, so that one lost answer does no harm.
	renewInterval = time.Second
	// renewTimeout bounds one renewal.
	renewTimeout = 800 * time.Millisecond
	// shortWait is how long a request waits for a renewal when its account's
	// share is used up, before it is refused.
	shortWait = 60 * time.Millisecond
	// kickPause is the least time between two renewals that were asked for.
	kickPause = 20 * time.Millisecond
	// manyAccounts is the number of accounts above which a host holds shares
	// only of those that it has served of late.
	manyAccounts = 256
	// shareIdle is how long an unused share is then kept.
	shareIdle = 10 * time.Second
)

func (s *shares) init(g *Gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = g
	s.holder = limit.Holder(string(g.Host) + "/" + types.RandomID())
	s.kick = make(chan struct{}, 1)
	s.of = map[types.AccountID]*limit.Share{}
	s.news = make(chan struct{})
}

// spend takes a request of the account's limit.
func (c *call) spend() *refusal {
	if c.account == nil || c.account.Rate <= 0 {
		return nil
	}
	s := &c.gate.shares
	if s.take(c.account.Name, true) {
		c.spent = true
		return nil
	}
	deadline := time.NewTimer(shortWait)
	defer deadline.Stop()
	for {
		news := s.next()
		select {
		case <-news:
			if s.take(c.account.Name, false) {
				c.spent = true
				return nil
			}
		case <-deadline.C:
			return c.limited()
		case <-c.r.Context().Done():
			return c.limited()
		}
	}
}

// limited refuses a request that is beyond its account's limit.
func (c *call) limited() *refusal {
	s := &c.gate.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := limit.Never
	var demand limit.Demand
	if share := s.of[c.account.Name]; share != nil {
		wait = share.Wait(s.gate.Clock())
		demand = share.Demand(s.holder, s.gate.Clock())
	}
	// Waiting longer than an allotment lives says nothing.
	wait = max(minRetry, min(wait, limit.AllotmentTime))
	return &refusal{
		status: http.StatusTooManyRequests, after: wait, reason: "the account is above its rate",
		fields: event.Fields{"rate": c.account.Rate, "burst": c.account.Burst, "demand": demand.Rate, "held": demand.Held, "tokens": demand.Tokens},
	}
}

// minRetry is the least time to come back in.
const minRetry = 50 * time.Millisecond

// take spends one request of an account's share, and asks for a renewal if
// little or nothing is left.
func (s *shares) take(id types.AccountID, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gate.Clock()
	share := s.of[id]
	if share == nil {
		share = &limit.Share{}
		s.of[id] = share
	}
	if first {
		share.Ask(now)
	}
	taken := share.Take(now)
	if taken && !share.Low(now) {
		return true
	}
	select {
	case s.kick <- struct{}{}:
	default: // A renewal is asked for already.
	}
	return taken
}

func (s *shares) giveBack(a *plan.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if share := s.of[a.Name]; share != nil {
		share.GiveBack()
	}
}

// next returns a channel that is closed after the next renewal.
func (s *shares) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.news
}

func (s *shares) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.returnAll(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		case <-s.kick:
		}
		s.renew(ctx)
		types.Sleep(ctx, kickPause)
	}
}

// renew asks for allotments of all accounts of interest.
func (s *shares) renew(ctx context.Context) {
	asked := s.gate.Clock()
	demands := s.demands(asked)
	if len(demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := s.gate.Fleet.Limits(ctx, fleet.LimitsRequest{Host: s.gate.Host, Demands: demands})
	if err != nil {
		return // What is held goes on until it runs out; the client notes who does not answer.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gate.Clock()
	for id, a := range reply.Allotments {
		if share := s.of[id]; share != nil {
			share.Put(a, asked, now)
		}
	}
	close(s.news)
	s.news = make(chan struct{})
}

func (s *shares) demands(now types.Mono) map[types.AccountID]limit.Demand {
	view := s.gate.Fleet.View()
	if view.Plan == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	accounts := view.Plan.Plan.Accounts
	if len(accounts) <= manyAccounts {
		for _, a := range accounts {
			if a.Rate > 0 && s.of[a.Name] == nil {
				s.of[a.Name] = &limit.Share{}
			}
		}
	}
	demands := map[types.AccountID]limit.Demand{}
	for id, share := range s.of {
		a := view.Plan.Account(id)
		if a == nil || a.Rate <= 0 || len(accounts) > manyAccounts && share.Idle(now) > shareIdle {
			delete(s.of, id)
			continue
		}
		demands[id] = share.Demand(s.holder, now)
	}
	return demands
}

// returnAll gives everything back, so that others need not wait until it runs
// out.
func (s *shares) returnAll(ctx context.Context) {
	demands := s.demands(s.gate.Clock())
	if len(demands) == 0 {
		return
	}
	s.mu.Lock()
	clear(s.of)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	// If it is lost, what is held runs out by itself.
	_, _ = s.gate.Fleet.Limits(ctx, fleet.LimitsRequest{Host: s.gate.Host, Demands: demands, Return: true})
}
