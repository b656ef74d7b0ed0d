package gate

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// probeDelay is the pause between a failed request and the probe of its target. A
// process that ends closes its connections and its listener at slightly different
// times, and takes longer than this to start again.
const probeDelay = 100 * time.Millisecond

var targetEndsTotal = metrics.NewCounter("banyanspur_gate_target_ends_total")

// crashDetector finds out whether the process of a target has ended after a request
// to it was interrupted. The zero value is ready to use. It is safe for concurrent
// use.
type crashDetector struct {
	mu sync.Mutex
	// interrupted holds, for each target that is being probed, the requests that
	// were interrupted there since the last probe started.
	interrupted map[types.TargetID][]interruptedRequest
}

// interruptedRequest is a request that a target may have run and whose response
// ended without being complete.
type interruptedRequest struct {
	fingerprint     types.Fingerprint
	attempt         types.AttemptID
	sentAt, endedAt types.Mono
}

// fingerprint identifies the request across attempts: it is the same for all
// attempts that have the caller's account, the method, the host, the path and the
// body in common.
func (c *call) fingerprint() types.Fingerprint {
	if c.cachedFingerprint == "" {
		c.cachedFingerprint = types.FingerprintOf([]byte(c.accountID()), []byte(c.r.Method), []byte(c.r.Host), []byte(c.requestURI()), c.body)
	}
	return c.cachedFingerprint
}

// recordInterrupted records that the target's response to this request ended without
// being complete, and has the target probed.
func (c *call) recordInterrupted(t fleet.Target) {
	g := c.gate
	now := g.Clock()
	r := interruptedRequest{
		fingerprint: c.fingerprint(), attempt: types.AttemptID(c.id), sentAt: now.Add(-time.Since(c.lastSentAt)), endedAt: now,
	}
	if g.crashes.add(t.ID, r) {
		g.background.Go(func() error {
			g.probe(g.backgroundCtx, t)
			return nil
		})
	}
}

// add adds an interrupted request and reports whether it is the first one since the
// last probe of the target.
func (d *crashDetector) add(id types.TargetID, r interruptedRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupted == nil {
		d.interrupted = map[types.TargetID][]interruptedRequest{}
	}
	d.interrupted[id] = append(d.interrupted[id], r)
	return len(d.interrupted[id]) == 1
}

// take returns the requests that were interrupted at a target since its last probe.
func (d *crashDetector) take(id types.TargetID) []interruptedRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.interrupted[id]
	delete(d.interrupted, id)
	return list
}

// probe connects to a target after probeDelay. If the target does not accept the
// connection, its process is taken to have ended.
func (g *Gate) probe(ctx context.Context, t fleet.Target) {
	types.Sleep(ctx, probeDelay)
	err := g.pool.Probe(ctx, t.Address)
	requests := g.crashes.take(t.ID)
	fields := event.Fields{"target": t.ID, "zone": t.Zone, "reachable": err == nil, "requests": len(requests)}
	if err != nil {
		fields["error"] = err.Error()
	}
	g.Log.Write(event.TargetProbed, fields)
	if err != nil && ctx.Err() == nil {
		targetEndsTotal.Inc()
	}
}
