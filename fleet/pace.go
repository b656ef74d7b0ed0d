package fleet

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

var (
	pacedTotal   = metrics.NewCounter("banyanspur_fleet_paced_targets_total")
	avoidedTotal = metrics.NewCounter("banyanspur_fleet_avoided_targets_total")
)

const (
	// adoptTime is how long a new leader takes over what hosts report of the leader before
	// it. Each host reports within 0.3 s after it has found the new leader.
	adoptTime = 2 * time.Second
	// minDownReports is how many hosts must not be able to connect to a target for it to
	// count as started when they can again.
	minDownReports = 2
)

// startPace limits a target that has started. It must be called within asLeader.
func (c *Control) startPace(id types.TargetID, source string, now types.Mono) {
	if !c.TargetPace || !c.observed {
		return
	}
	if _, limited := c.pace.Allowed(id); limited {
		return
	}
	c.pace.Start(id, now)
	c.logPace(id, source)
}

// logPace logs what a target is allowed.
func (c *Control) logPace(id types.TargetID, source string) {
	a, limited := c.pace.Allowed(id)
	switch {
	case a.Probe:
		avoidedTotal.Inc()
	case limited:
		pacedTotal.Inc()
	}
	c.Log.Write(event.TargetPaced, event.Fields{"target": id, "source": source, "limit": a.Rate, "probed": a.Probe, "ended": !limited})
}

// exchangePaces records what a host has observed of targets, and returns those that start or
// recover. It must be called within asLeader.
func (c *Control) exchangePaces(req LoadsRequest, now types.Mono) Paces {
	if !c.TargetPace || len(c.paced) == 0 {
		return nil
	}
	if now.Sub(c.leaderSince) < adoptTime {
		c.observed = c.observed || len(req.Paces) > 0
		for id, a := range req.Paces {
			if _, limited := c.pace.Allowed(id); !limited && c.services[id] != "" {
				c.pace.Adopt(id, a, now)
				c.logPace(id, "host")
			}
		}
	}
	for id, l := range req.Loads {
		c.observed = c.observed || l.Responses+l.Failures+l.Refusals > 0
		c.pace.Observe(id, req.Host, ramp.Report{Responses: l.Responses, Failures: l.Failures, Refusals: l.Refusals, UnitSeconds: l.UnitSeconds}, now)
	}
	if !c.observed {
		return nil // The rest takes time for each target.
	}
	c.startReachable(now)
	for _, id := range c.pace.Step(c.paced, now) {
		c.logPace(id, "loads")
	}
	var paces Paces
	for _, m := range c.paced {
		if a, limited := c.pace.Allowed(m.ID); limited {
			if paces == nil {
				paces = Paces{}
			}
			paces[m.ID] = a
		}
	}
	return paces
}

// startReachable limits the targets that accept connections again.
func (c *Control) startReachable(now types.Mono) {
	for _, m := range c.paced {
		switch n := c.loadReports.totals[m.ID].unreachable; {
		case n >= minDownReports:
			c.down[m.ID] = true
		case n == 0 && c.down[m.ID]:
			delete(c.down, m.ID)
			c.startPace(m.ID, "reachable", now)
		}
	}
}
