package entry

import (
	"context"
	"sync"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/types"
)

// sessionLeases holds, for each shard group, the time until which this entry
// host may send calls of the group's client accounts to targets. It is safe for
// concurrent use.
type sessionLeases struct {
	mu     sync.RWMutex
	expiry map[types.GroupID]types.Mono
}

// extend sets the expiry of group g's session lease to until, if that is later.
func (s *sessionLeases) extend(g types.GroupID, until types.Mono) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiry == nil {
		s.expiry = map[types.GroupID]types.Mono{}
	}
	s.expiry[g] = max(s.expiry[g], until)
}

// valid reports whether the session lease of group g is valid at now.
func (s *sessionLeases) valid(g types.GroupID, now types.Mono) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return now < s.expiry[g]
}

// renewSessionLoop renews the session with one shard group every
// ctrl.RenewInterval until ctx ends.
func (e *Entry) renewSessionLoop(ctx context.Context, g types.GroupID) error {
	for ctx.Err() == nil {
		e.renewSession(ctx, g)
		types.Sleep(ctx, ctrl.RenewInterval)
	}
	return nil
}

// renewSession renews the session with one shard group once. The lease counts
// from the time of the request, which is earlier than the time from which the
// leader counts it.
func (e *Entry) renewSession(ctx context.Context, g types.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, ctrl.SessionLease)
	defer cancel()
	requestedAt := e.Clock()
	if err := e.Client.RenewSession(ctx, g, e.session); err == nil {
		e.sessionLeases.extend(g, requestedAt.Add(ctrl.SessionLease))
	}
}
