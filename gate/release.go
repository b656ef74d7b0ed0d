package gate

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// releaseTime is for how long a host tries to settle the claim of a turn that has ended. Programs whose
	// stores are gone for longer have mostly ended, too.
	releaseTime = time.Minute
	// releaseInterval is the pause between two looks at the claims that wait.
	releaseInterval = 100 * time.Millisecond
	// maxReleases is how many claims may wait for another try, some 300 B each, and releasesAtOnce how
	// many are tried at the same time: stores that return have to serve turns.
	maxReleases    = 4096
	releasesAtOnce = 16
)

// release is a claim that is to be settled for a turn that did not complete.
type release struct {
	budget turns.Budget
	used   types.Tokens
	until  time.Time
}

// releases holds the claims that could not be settled at the end of their turns, since too few stores
// could be reached. Each one takes the maximum of its turn from the budget of its program until it is
// settled, and only this host knows that it may be. The zero value is ready to use. It is safe for concurrent use.
type releases struct {
	mu sync.Mutex
	// waiting is in the order of the last tries, and holds at most maxReleases.
	waiting []release
}

// add adds a claim for another try, and reports whether there was room.
func (l *releases) add(r release) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) >= maxReleases {
		return false
	}
	l.waiting = append(l.waiting, r)
	return true
}

// take returns the claims that wait, those first that were tried the longest ago.
func (l *releases) take() []release {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.waiting
	l.waiting = nil
	return taken
}

// releaseClaim settles the budget claim of a turn that did not complete, with the
// tokens that were forwarded to the caller, or withdraws it if no target got the turn. It runs in the background so that the
// caller does not wait.
func (c *call) releaseClaim() {
	if !c.turn.hasClaim || c.turn.settled {
		return
	}
	if c.turn.confirmation == nil {
		c.gate.background.GoOrRun(func() { _ = c.gate.Turns.Withdraw(c.gate.backgroundCtx, c.turn.budget) }) // It ends by itself.
		return
	}
	c.turn.confirmation.cancel()
	r := release{budget: c.turn.budget, used: c.turn.delivered, until: time.Now().Add(releaseTime)}
	// After the end of Run, the context has ended, too, so that the failure is logged at once.
	c.gate.background.GoOrRun(func() { c.gate.tryRelease(r) })
}

// tryRelease settles a claim, or keeps it for another try.
func (g *Gate) tryRelease(r release) {
	ctx, cancel := context.WithTimeout(g.backgroundCtx, minCommitTimeout)
	defer cancel()
	err := g.Turns.Settle(ctx, r.budget, r.used, nil)
	if err == nil || g.backgroundCtx.Err() == nil && time.Now().Before(r.until) && g.releases.add(r) {
		return
	}
	g.logUnsettled(r, err.Error())
}

func (g *Gate) logUnsettled(r release, reason string) {
	g.Log.Write(event.TurnDurable, event.Fields{"request": r.budget.Attempt, "program": r.budget.Program, "error": reason})
}

// settleReleases tries the claims again that wait, until ctx ends. Those that are left then are tried once more,
// until backgroundCtx ends.
func (g *Gate) settleReleases(ctx context.Context) error {
	var tries errgroup.Group
	tries.SetLimit(releasesAtOnce)
	try := func(r release) func() error {
		return func() error {
			g.tryRelease(r)
			return nil
		}
	}
	for types.Sleep(ctx, releaseInterval) {
		for _, r := range g.releases.take() {
			if !tries.TryGo(try(r)) && !g.releases.add(r) {
				g.logUnsettled(r, "too many claims wait for the stores")
			}
		}
	}
	for _, r := range g.releases.take() {
		tries.Go(try(r))
	}
	return tries.Wait()
}

// logReleases logs the claims that are left when the host ends.
func (g *Gate) logReleases() {
	for _, r := range g.releases.take() {
		g.logUnsettled(r, "the host stops before the stores can be reached")
	}
}
