package fleet

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// targetsInterval is the pause between two fetches of the platform's list.
	// A draining or removed target is detected within this time plus the delay
	// of the list itself.
	targetsInterval = time.Second
	// listTimeout bounds one fetch of the list.
	listTimeout = 2 * time.Second
	// leaderPollInterval is how often a host that is not the leader checks
	// whether it has become the leader. It is short because the other hosts
	// depend on a new leader's list.
	leaderPollInterval = 20 * time.Millisecond
)

var droppedEntriesTotal = metrics.NewCounter("banyanspur_fleet_dropped_entries_total")

// refreshTargets fetches the list of targets periodically while this host is
// the leader. It runs until ctx ends.
func (c *Control) refreshTargets(ctx context.Context) error {
	if c.ListTargets == nil {
		return nil
	}
	delay := leaderPollInterval
	for types.Sleep(ctx, delay) {
		delay = leaderPollInterval
		if err := c.asLeader(func(types.Mono) {}); err != nil {
			continue // Fetch the list as soon as this host becomes the leader.
		}
		delay = targetsInterval
		start := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := c.ListTargets(listCtx)
		cancel()
		if err != nil {
			c.Log.Write(event.HostListFailed, event.Fields{"error": err.Error()})
			continue
		}
		c.setTargets(list, time.Since(start))
	}
	return nil
}

// setTargets replaces the list of targets on the leader, and notifies waiting
// sync requests if it has changed.
func (c *Control) setTargets(entries []Target, took time.Duration) {
	var list []Target
	var conflicts []Conflict
	var checksum uint64
	changed := false
	err := c.asLeader(func(now types.Mono) {
		c.expireTargetLimits(now)
		previous := c.targets.Checksum
		var dropped int
		list, conflicts, dropped = c.listings.Merge(entries, now)
		droppedEntriesTotal.Add(dropped)
		c.updateCold(list, now)
		c.platformTargets, c.zoneSizes = list, ZoneSizes(list)
		LogDrainsEnded(c.Log, c.draining.Update(DrainStates(list), now))
		c.mergeTargets()
		checksum = c.targets.Checksum
		changed = checksum != previous
	})
	if err != nil {
		return
	}
	for _, o := range conflicts {
		c.Log.Write(event.EntryDropped, event.Fields{
			"target": o.Dropped.ID, "address": o.Dropped.Address, "service": o.Dropped.Service, "ageMs": o.DroppedAge.Milliseconds(),
			"kept": o.Kept.ID, "keptAddress": o.Kept.Address, "keptService": o.Kept.Service, "keptAgeMs": o.KeptAge.Milliseconds(), "draining": o.Dropped.Draining,
		})
	}
	if changed {
		c.Log.Write(event.TargetsChanged, event.Fields{"targets": len(list), "sum": checksum, "tookMs": took.Milliseconds()})
		c.changes.notify()
	}
}
