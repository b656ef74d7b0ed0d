package entry

import (
	"context"
	"sync"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/types"
)

// sessionLeases holds until when this entry host may ask targets on behalf of
// each shard group.
type sessionLeases struct {
	mu     sync.RWMutex
	expiry map[types.GroupID]types.Mono
}

func (s *sessionLeases) extend(g types.GroupID, until types.Mono) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiry == nil {
		s.expiry = map[types.GroupID]types.Mono{}
	}
	s.expiry[g] = max(s.expiry[g], until)
}

func (s *sessionLeases) valid(g types.GroupID, now types.Mono) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now < s.expiry[g]
}

// renewSessionLoop renews the session with one shard group until ctx ends.
func (e *Entry) renewSessionLoop(ctx context.Context, g types.GroupID) error {
	for ctx.Err() == nil {
		e.renewSession(ctx, g)
		types.Sleep(ctx, ctrl.RenewInterval)
	}
	return nil
}

// renewSession counts the lease from when it was asked for, which is before
// the leader counts from.
func (e *Entry) renewSession(ctx context.Context, g types.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, ctrl.SessionLease)
	defer cancel()
	requestedAt := e.Clock()
	if err := e.Client.Renew(ctx, g, e.session); err == nil {
		e.sessionLeases.extend(g, requestedAt.Add(ctrl.SessionLease))
	}
}
