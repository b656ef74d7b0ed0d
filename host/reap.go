package host

import (
	"context"
	"time"

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
	reapInterval = 300 * time.Millisecond
	reapBatch    = 64
	reapTimeout  = 2 * time.Second
)

// reap ends programs whose time has run out and gives back what ended programs
// hold, on the leader of a group.
func (c *Control) reap(ctx context.Context, g *accountGroup) error {
	for types.Sleep(ctx, reapInterval) {
		var overdue []ledger.End
		var owed []ledger.Holding
		err := g.Read(func(_ quorum.Status, at types.LogTime) {
			overdue = g.machine.Overdue(at, reapBatch)
			owed = g.machine.Owed(at, reapBatch)
		})
		if err != nil {
			continue // Another host leads.
		}
		for _, e := range overdue {
			_, _ = g.Propose(ctx, ledger.Command{End: &e}) // Found again if it fails.
		}
		for _, h := range owed {
			c.giveBack(ctx, g, h)
		}
	}
	return nil
}

// giveBack asks a target to let go and notes that it has. What fails is found
// again in the next round.
func (c *Control) giveBack(ctx context.Context, g *accountGroup, h ledger.Holding) {
	if c.Releaser == nil {
		return
	}
	fields := event.Fields{"account": h.Account, "program": h.Program, "target": h.Target}
	releaseCtx, cancel := context.WithTimeout(ctx, reapTimeout)
	defer cancel()
	if err := c.Releaser.Release(releaseCtx, h); err != nil {
		fields["error"] = err.Error()
		c.Log.Write(event.ReleaseFailed, fields)
		return
	}
	r := ledger.Release(h)
	if _, err := g.Propose(ctx, ledger.Command{Release: &r}); err == nil {
		c.Log.Write(event.HoldReleased, fields)
	}
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
