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

// shares are this host's parts of the accounts' limits.
type shares struct {
	gate   *Gate
	holder limit.Holder
	kick   chan struct{} // asks for a renewal at once
	asked  types.Mono    // when the issuer was asked last; it belongs to run

	mu sync.Mutex
	of map[types.AccountID]*account
}

// account is what this host holds of one account's limit.
type account struct {
	limit.Share
	waiting int           // requests that wait for a renewal
	short   bool          // more is wanted before the usual renewal
	news    chan struct{} // closed after each renewal
}

const (
	// renewInterval is how often allotments are renewed. It is shorter than the
	// issuer's silence after which a host refills its own buckets.
	renewInterval = limit.StandbyTime * 5 / 8
	// reportInterval is how often a host that holds nothing says so: a new leader
	// has to hear from everyone who may hold something.
	reportInterval = time.Second
	// renewTimeout bounds one renewal: many round trips between zones, and less
	// than an election takes, so that the new leader is found soon.
	renewTimeout = 200 * time.Millisecond
	// kickPause is the least time between two renewals that were asked for; what
	// falls due meanwhile shares one request.
	kickPause = 4 * time.Millisecond
	// shareIdle is how long an unused share is kept.
	shareIdle = 10 * time.Second
)

func (s *shares) init(g *Gate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate = g
	s.holder = limit.Holder(string(g.Host) + "/" + types.RandomID())
	s.kick = make(chan struct{}, 1)
	s.of = map[types.AccountID]*account{}
}

// take spends one request of an account's share. If there is none, the request
// waits from then on behind some others of this host, until leave, and the
// channel tells of the next renewal.
func (s *shares) take(id types.AccountID) (news <-chan struct{}, ahead int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gate.Clock()
	a := s.of[id]
	if a == nil {
		a = &account{news: make(chan struct{})}
		s.of[id] = a
	}
	a.Ask(now)
	if a.Take(now) {
		if a.Low(now) {
			s.wantMore(a)
		}
		return nil, 0, true
	}
	a.waiting++
	s.wantMore(a)
	return a.news, a.waiting - 1, false
}

// retake is take for a request that waits already.
func (s *shares) retake(id types.AccountID) (news <-chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.of[id]
	if a == nil {
		return nil, false // The account has no limit any more, or the host stops.
	}
	if a.Take(s.gate.Clock()) {
		return nil, true
	}
	s.wantMore(a)
	return a.news, false
}

func (s *shares) leave(id types.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.of[id]; a != nil {
		a.waiting--
	}
}

// wantMore asks for a renewal of one account at once. Callers hold mu.
func (s *shares) wantMore(a *account) {
	a.short = true
	select {
	case s.kick <- struct{}{}:
	default: // A renewal is asked for already.
	}
}

// ask asks for a renewal of one account at once.
func (s *shares) ask(id types.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.of[id]; a != nil {
		s.wantMore(a)
	}
}

func (s *shares) giveBack(a *plan.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if share := s.of[a.Name]; share != nil {
		share.GiveBack()
	}
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
			s.renew(ctx, func(*account) bool { return true })
		case <-s.kick:
			s.renew(ctx, func(a *account) bool { return a.short })
		}
		types.Sleep(ctx, kickPause)
	}
}

// renew asks for allotments of the accounts that are wanted, and reports now and
// then if there are none.
func (s *shares) renew(ctx context.Context, wanted func(*account) bool) {
	asked := s.gate.Clock()
	demands, limited := s.demands(asked, wanted)
	if !limited || len(demands) == 0 && asked.Sub(s.asked) < reportInterval {
		return
	}
	s.asked = asked
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	reply, err := s.gate.Fleet.Limits(ctx, fleet.LimitsRequest{Host: s.gate.Host, Demands: demands})
	if err != nil {
		return // What is held goes on until it runs out; the client notes who does not answer.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.gate.Clock()
	for id, allotment := range reply.Allotments {
		a := s.of[id]
		if a == nil {
			continue
		}
		a.Put(allotment, asked, now)
		close(a.news)
		a.news = make(chan struct{})
	}
}

// demands returns what is asked for the accounts that are wanted, and whether
// any account has a limit at all.
func (s *shares) demands(now types.Mono, wanted func(*account) bool) (demands map[types.AccountID]limit.Demand, limited bool) {
	view := s.gate.Fleet.View()
	if view.Plan == nil {
		return nil, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	demands = map[types.AccountID]limit.Demand{}
	for id, a := range s.of {
		known := view.Plan.Account(id)
		if known == nil || known.Rate <= 0 || a.waiting == 0 && a.Idle(now) > shareIdle {
			delete(s.of, id)
			continue
		}
		if wanted(a) && (a.waiting > 0 || a.short || a.Holds(now)) {
			demands[id] = a.Demand(s.holder, a.waiting, now)
			a.short = false
		}
	}
	return demands, view.Plan.Limited
}

// returnAll gives everything back, so that others need not wait until it runs
// out.
func (s *shares) returnAll(ctx context.Context) {
	demands, _ := s.demands(s.gate.Clock(), func(*account) bool { return true })
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
