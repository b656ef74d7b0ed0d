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

// Releaser gives memory back at targets.
type Releaser interface {
	// Release asks a target to let go of what it holds for a program. It
	// returns nil once the target holds nothing for it.
	Release(ctx context.Context, h ledger.Holding) error
}

const (
	endedInterval  = 300 * time.Millisecond
	endedBatch     = 64
	releaseTimeout = 2 * time.Second
	// releaseTargets is how many targets are asked at once.
	releaseTargets = 16
)

// settleEnded ends programs whose time has run out and gives back what targets
// hold for nothing, on the leader of a group.
func (c *Control) settleEnded(ctx context.Context, g *accountGroup) error {
	for types.Sleep(ctx, endedInterval) {
		var overdue []ledger.End
		var owed map[types.TargetID][]ledger.Holding
		err := g.Read(func(_ quorum.Status, at types.LogTime) {
			overdue = g.machine.Overdue(at, endedBatch)
			owed = g.machine.Owed(at, endedBatch)
		})
		if err != nil {
			continue // Another host leads.
		}
		for _, e := range overdue {
			_, _ = g.Propose(ctx, ledger.Command{End: &e}) // Found again if it fails.
		}
		if c.Releaser != nil {
			c.releaseAll(ctx, g, owed)
		}
	}
	return nil
}

// releaseAll asks several targets at once, each for one holding after the
// other until it fails. What is left is found again in the next round.
func (c *Control) releaseAll(ctx context.Context, g *accountGroup, owed map[types.TargetID][]ledger.Holding) {
	var targets errgroup.Group
	targets.SetLimit(releaseTargets)
	for _, holdings := range owed {
		targets.Go(func() error {
			for _, h := range holdings {
				if !c.releaseOne(ctx, g, h) {
					break
				}
			}
			return nil
		})
	}
	_ = targets.Wait()
}

// releaseOne asks a target to let go and notes that it has.
func (c *Control) releaseOne(ctx context.Context, g *accountGroup, h ledger.Holding) bool {
	fields := event.Fields{"account": h.Account, "program": h.Program, "target": h.Target}
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := c.Releaser.Release(releaseCtx, h); err != nil {
		fields["error"] = err.Error()
		c.Log.Write(event.ReleaseFailed, fields)
		return false
	}
	r := ledger.Release(h)
	if _, err := g.Propose(ctx, ledger.Command{Release: &r}); err != nil {
		return false
	}
	c.Log.Write(event.HoldReleased, fields)
	return true
}

// expireSessions expires the sessions of entry hosts that were not renewed.
func (g *accountGroup) expireSessions(ctx context.Context) error {
	var live map[ledger.Session]int
	var since types.Mono
	err := g.Read(func(s quorum.Status, _ types.LogTime) {
		live = g.machine.Sessions()
		since = s.LeadsSince
	})
	if err != nil {
		return err
	}
	for _, s := range g.sessions.expired(live, since, g.Clock()) {
		g.Log.Write(event.SessionExpired, event.Fields{"host": s.Host, "calls": live[s]})
		if _, err := g.Propose(ctx, ledger.Command{Expire: &ledger.Expire{Session: s}}); err != nil {
			return err
		}
	}
	return nil
}
