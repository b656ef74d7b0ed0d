package gate

import (
	"net/http"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// limitWait is how long a request waits for its turn within its account's
	// limit: a program loses less by that than by coming back. One that would
	// have to wait for longer is refused at once.
	limitWait = 400 * time.Millisecond
	// silentWait is how long it waits while no issuer answers: as long as an
	// election and its discovery take. It is within its rate for all that is known.
	silentWait = 1200 * time.Millisecond
	// minAsk and maxAsk bound the pause after which a request that waits has its
	// host ask again.
	minAsk = 10 * time.Millisecond
	maxAsk = 60 * time.Millisecond
	// minRetry is the least time to come back in.
	minRetry = 50 * time.Millisecond
)

// spend takes a request of the account's limit, and waits for its turn if that
// is near.
func (c *call) spend() *refusal {
	if c.account == nil || c.account.Rate <= 0 {
		return nil
	}
	s := &c.gate.shares
	news, ahead, ok := s.take(c.account.Name)
	if ok {
		c.spent = true
		return nil
	}
	defer s.leave(c.account.Name)
	return c.awaitTurn(news, ahead)
}

// awaitTurn waits behind some others of this host until a renewal, or the
// host's own bucket, has something for the request.
func (c *call) awaitTurn(news <-chan struct{}, ahead int) *refusal {
	s := &c.gate.shares
	end := time.Now().Add(min(silentWait, c.left()/2))
	for told := false; ; {
		queue, refilled := s.wait(c.account.Name, ahead, c.account.Rate)
		if told && queue > limitWait {
			return c.limited(queue)
		}
		select {
		case <-news:
			if !told {
				told = true
				end = earlier(end, time.Now().Add(limitWait))
			}
		case <-time.After(min(time.Until(end), refilled, max(minAsk, min(queue/2, maxAsk)))):
			s.ask(c.account.Name)
		case <-c.r.Context().Done():
			return c.limited(queue)
		}
		next, ok := s.retake(c.account.Name)
		if ok {
			c.spent = true
			return nil
		}
		news = next
		over := !time.Now().Before(end)
		if over && !told {
			return &refusal{status: http.StatusServiceUnavailable, after: limitWait, reason: "nobody tells what is left of the account's limit"}
		}
		if over || news == nil {
			return c.limited(queue)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// wait returns how long a request has to wait for its turn behind some others
// of this host, and when the host's own bucket has a token if the issuer stays
// silent, [limit.Never] if it has no bucket.
func (s *shares) wait(id types.AccountID, ahead int, rate types.PerSecond) (queue, refilled time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.of[id]
	if a == nil {
		return 0, limit.Never
	}
	return a.Queue(min(ahead, a.waiting-1), rate), max(a.Alone(s.gate.Clock()), minAsk)
}

// limited refuses a request that is beyond its account's limit; others wait for
// as long as queue says.
func (c *call) limited(queue time.Duration) *refusal {
	s := &c.gate.shares
	s.mu.Lock()
	defer s.mu.Unlock()
	var held limit.Allotment
	tokens := 0.0
	if a := s.of[c.account.Name]; a != nil {
		held, tokens = a.Held(s.gate.Clock())
	}
	return &refusal{
		status: http.StatusTooManyRequests, after: max(minRetry, min(queue, limit.AllotmentTime)), reason: "the account is above its rate",
		fields: event.Fields{"rate": c.account.Rate, "burst": c.account.Burst, "held": held, "tokens": tokens, "queueMs": queue.Milliseconds()},
	}
}
