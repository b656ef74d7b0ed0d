package turns

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// minRetention is the shortest retention, whatever the plan says. Plans
	// without stateful routes have none, but their programs have claims.
	minRetention = time.Minute
	// clockDriftShare is the part of the retention, as a divisor, by which it is
	// extended, since the clocks of callers and stores run at different speeds.
	clockDriftShare = 100
	// settleMargin extends the retention by the time from when a turn is written
	// to when its caller has the end of the stream, and from when a turn that
	// continues it is sent to when it runs and again to when it is written.
	// Client.Settle may take 6 s for the first turn. The second one has its timeout and 3 s.
	settleMargin = 10 * time.Second

	// expiryInterval is how often a store looks for expired turns.
	expiryInterval = 2 * time.Second
	// maxElapsed is the most that the time between two checks adds to the age of
	// turns. A clock that jumps, or a process that was suspended, expires
	// nothing.
	maxElapsed = 5 * time.Second
	// maxExpiring is the number of turns in one check, apart from those that
	// continue them. It bounds the message to some 60 KB.
	maxExpiring = 1000
	// unprovenLogInterval is how often a store logs that it keeps expired turns
	// since too few other stores reply.
	unprovenLogInterval = 30 * time.Second
)

var (
	expiredTotal   = metrics.NewCounter("banyanspur_turns_expired_total")
	continuedTotal = metrics.NewCounter("banyanspur_turns_continued_total")
	unprovenTotal  = metrics.NewCounter("banyanspur_turns_unproven_checks_total")
)

// SetRetention sets for how long a turn is kept after it, or a turn that
// continues its chain, was written: keep, plus timeout, the longest time that a
// turn may run, plus margins. It also applies to the turns that are stored
// already. Before the first call, no turn expires. It is safe for concurrent
// use.
func (s *Store) SetRetention(keep, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = Retention(keep, timeout)
}

// Retention returns for how long turns are kept, see [Store.SetRetention].
func Retention(keep, timeout time.Duration) time.Duration {
	keep = max(keep, minRetention)
	return keep + keep/clockDriftShare + max(timeout, 0) + settleMargin
}

// ExpireTurns removes the turns whose retention has passed, until ctx ends. It
// asks the other stores through peers which of them are continued by turns that
// this store lacks, and removes only those of which a quorum of every shard has
// replied that there are none. So the loss or the delay of messages, other
// stores that are down and a network partition keep turns longer, but remove
// none that the chain of a newer turn contains.
func (s *Store) ExpireTurns(ctx context.Context, peers *wire.Pool) error {
	ticks := s.Ticks
	if ticks == nil {
		ticker := time.NewTicker(expiryInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	last, lastProven := s.Clock(), types.Mono(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		}
		now := s.Clock()
		retained := s.advance(now.Sub(last))
		last = now
		if s.expire(ctx, peers) {
			lastProven = retained
		} else if retained.Sub(lastProven) > unprovenLogInterval && ctx.Err() == nil {
			s.Log.Write(event.ExpiryUnproven, event.Fields{"sinceMs": retained.Sub(lastProven).Milliseconds()})
			lastProven = retained
		}
		unused := make(chan []uint64, 1)
		select {
		case s.compactions <- unused:
			s.removeSegments(<-unused)
		case <-ctx.Done():
			return nil
		}
	}
}

// advance adds the time since the last check to the time by which the ages of
// turns are measured, up to maxElapsed, and returns the sum.
func (s *Store) advance(elapsed time.Duration) types.Mono {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retained = s.retained.Add(min(max(elapsed, 0), maxElapsed))
	return s.retained
}

// expire removes expired turns that no living turn continues. It returns false
// if too few stores replied to be certain of any.
func (s *Store) expire(ctx context.Context, peers *wire.Pool) (proven bool) {
	s.mu.RLock()
	shardMap := s.shardMap
	var expired []turnKey
	if s.retention > 0 {
		expired = s.index.expiredTurns(s.retained.Add(-s.retention))
	}
	s.mu.RUnlock()
	if len(expired) == 0 {
		return true
	}
	kept, proven := s.findContinued(ctx, peers, shardMap, expired)
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, age := range kept {
		if s.index.turns[key] != nil {
			s.index.markUsed(key, s.retained.Add(-age))
		}
	}
	continuedTotal.Add(len(kept))
	if !proven {
		unprovenTotal.Inc()
		return false
	}
	expiredTotal.Add(s.index.removeExpired(expired, kept, s.retained.Add(-s.retention)))
	return true
}

// expiredTurns returns up to about maxExpiring turns that were last used before
// a time, each with all indexed turns that continue its chain, which have
// expired as well.
func (x *index) expiredTurns(before types.Mono) []turnKey {
	var expired []turnKey
	added := map[turnKey]bool{}
	for key, t := range x.turns {
		if len(expired) >= maxExpiring {
			break
		}
		if t.lastUsed >= before {
			continue
		}
		for pending := []turnKey{key}; len(pending) > 0; {
			k := pending[len(pending)-1]
			pending = pending[:len(pending)-1]
			if added[k] {
				continue
			}
			added[k] = true
			expired = append(expired, k)
			pending = append(pending, x.children[k]...)
		}
	}
	return expired
}

// removeExpired removes the turns in expired and returns their number, except
// those in kept, those that were used since, and all turns that one of these
// continues.
func (x *index) removeExpired(expired []turnKey, kept map[turnKey]time.Duration, before types.Mono) int {
	retained := map[turnKey]bool{}
	for _, key := range expired {
		t := x.turns[key]
		if _, ok := kept[key]; !ok && (t == nil || t.lastUsed < before) {
			continue
		}
		for k := key; x.turns[k] != nil && !retained[k]; k = (turnKey{k.account, x.turns[k].previous}) {
			retained[k] = true
		}
	}
	removed := 0
	for _, key := range expired {
		if x.turns[key] != nil && !retained[key] {
			x.removeTurn(key)
			removed++
		}
	}
	return removed
}
