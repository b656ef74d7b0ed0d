package host

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// Releaser makes targets release the cached prefixes of programs.
type Releaser interface {
	// Release makes a target release the cached prefix of a program. It returns
	// nil once the target does not have the prefix anymore.
	Release(ctx context.Context, p ledger.CachedPrefix) error
}

const (
	cleanupInterval = 300 * time.Millisecond
	// cleanupBatch bounds, for one round, the programs that are ended and the
	// cached prefixes that are released per target.
	cleanupBatch   = 64
	releaseTimeout = 2 * time.Second
	// maxConcurrentReleases is the number of targets that are sent release
	// requests concurrently.
	maxConcurrentReleases = 16
)

// cleanUpEnded periodically ends programs whose time budget is used up, and
// makes targets release cached prefixes that are no longer needed. It does so
// only while this host leads the group.
func (c *Control) cleanUpEnded(ctx context.Context, g *accountGroup) error {
	for types.Sleep(ctx, cleanupInterval) {
		var overdue []ledger.End
		var pending map[types.TargetID][]ledger.CachedPrefix
		err := g.Read(func(_ quorum.Status, at types.LogTime) {
			overdue = g.machine.Overdue(at, cleanupBatch)
			pending = g.machine.PendingReleases(at, cleanupBatch)
		})
		if err != nil {
			continue // This host does not lead the group.
		}
		for _, e := range overdue {
			_, _ = g.Propose(ctx, ledger.Command{End: &e}) // If it fails, the next round retries.
		}
		if c.Releaser != nil {
			c.releaseAll(ctx, g, pending)
		}
	}
	return nil
}

// releaseAll releases cached prefixes on several targets concurrently, and on
// each target one after the other until one fails. The next round retries the
// rest.
func (c *Control) releaseAll(ctx context.Context, g *accountGroup, pending map[types.TargetID][]ledger.CachedPrefix) {
	var workers errgroup.Group
	workers.SetLimit(maxConcurrentReleases)
	for _, prefixes := range pending {
		workers.Go(func() error {
			for _, p := range prefixes {
				if !c.releaseOne(ctx, g, p) {
					break
				}
			}
			return nil
		})
	}
	_ = workers.Wait()
}

// releaseOne makes a target release a cached prefix and records the release in
// the ledger. It reports whether both succeeded.
func (c *Control) releaseOne(ctx context.Context, g *accountGroup, p ledger.CachedPrefix) bool {
	fields := event.Fields{"account": p.Account, "program": p.Program, "target": p.Target}
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := c.Releaser.Release(releaseCtx, p); err != nil {
		fields["error"] = err.Error()
		c.Log.Write(event.ReleaseFailed, fields)
		return false
	}
	r := ledger.Release(p)
	if _, err := g.Propose(ctx, ledger.Command{Release: &r}); err != nil {
		return false
	}
	c.Log.Write(event.CachedPrefixReleased, fields)
	return true
}

// expireSessions expires the sessions of entry hosts that were not renewed in
// time. It fails if this host does not lead the group.
func (g *accountGroup) expireSessions(ctx context.Context) error {
	var callsBySession map[ledger.Session]int
	var leaderSince types.Mono
	err := g.Read(func(s quorum.Status, _ types.LogTime) {
		callsBySession = g.machine.ActiveSessions()
		leaderSince = s.LeadsSince
	})
	if err != nil {
		return err
	}
	for _, s := range g.sessions.expired(callsBySession, leaderSince, g.Clock()) {
		g.Log.Write(event.SessionExpired, event.Fields{"host": s.Host, "calls": callsBySession[s]})
		if _, err := g.Propose(ctx, ledger.Command{Expire: &ledger.Expire{Session: s}}); err != nil {
			return err
		}
	}
	return nil
}
