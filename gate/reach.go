package gate

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// reachCheckInterval is the mean pause between two checks whether a target accepts
	// connections again.
	reachCheckInterval = 500 * time.Millisecond
	// relayedChecks is the share of the checks, as one in so many, for which other hosts
	// are asked, too, if this host cannot connect.
	relayedChecks = 6
)

var unreachableTotal = metrics.NewCounter("banyanspur_gate_unreachable_targets_total")

// recordUnreachable records that this host could not connect to a target, and has the
// target checked until it accepts a connection or is no longer listed. Until then, it gets
// requests only if its service has no other target.
func (g *Gate) recordUnreachable(t fleet.Target) {
	if !g.targets.recordUnreachable(t.ID) {
		return
	}
	unreachableTotal.Inc()
	g.Log.Write(event.TargetUnreachable, event.Fields{"target": t.ID, "address": t.Address, "zone": t.Zone})
	g.background.Go(func() { g.checkUntilReachable(g.backgroundCtx, t) })
}

// checkUntilReachable connects to a target from time to time until that succeeds, the
// target is no longer listed, a request has reached it, or ctx ends.
func (g *Gate) checkUntilReachable(ctx context.Context, t fleet.Target) {
	since := time.Now()
	for n := 1; types.Sleep(ctx, reachCheckInterval/2+rand.N(reachCheckInterval)); n++ {
		listed := slices.ContainsFunc(g.Fleet.View().Targets, func(o fleet.Target) bool { return o.ID == t.ID })
		if listed && g.targets.foundUnreachable(t.ID) && g.checkReachable(ctx, t.Address, n%relayedChecks == 0) != nil {
			continue
		}
		g.targets.recordReachable(t.ID)
		g.targetStarted(t.ID)
		g.Log.Write(event.TargetReachable, event.Fields{"target": t.ID, "listed": listed, "afterMs": time.Since(since).Milliseconds()})
		return
	}
}

// checkReachable connects to the target at address and keeps the connection for later
// requests. relayed is set if the connection may go through another host.
func (g *Gate) checkReachable(ctx context.Context, address string, relayed bool) error {
	if relayed {
		return g.pool.Probe(ctx, address)
	}
	c, err := g.DialTarget(ctx, address)
	if err != nil {
		return err
	}
	g.pool.Keep(address, c)
	return nil
}

// recordUnreachable records that this host could not connect to a target, and reports
// whether it was reachable before.
func (t *targetTracker) recordUnreachable(id types.TargetID) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.getOrCreate(id)
	return t.reach.RecordUnreachable(id)
}

// foundUnreachable reports whether this host could not connect to a target.
func (t *targetTracker) foundUnreachable(id types.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reach.FoundUnreachable(id)
}

// recordReachable records that a target accepts connections.
func (t *targetTracker) recordReachable(id types.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reach.RecordReachable(id)
	if s := t.states[id]; s != nil {
		s.consecutiveFailures = 0
	}
}
