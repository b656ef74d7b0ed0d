package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// targetsInterval is how often the leader reads the platform's list. A
	// target that leaves is known within this time and the list's own lag.
	targetsInterval = time.Second
	listTimeout     = 2 * time.Second
	// leaderPollInterval is how often a host looks whether it has begun to lead: the
	// others wait for its list.
	leaderPollInterval = 20 * time.Millisecond
)

// refreshTargets reads the list of targets while this host leads.
func (c *Control) refreshTargets(ctx context.Context) error {
	if c.List == nil {
		return nil
	}
	delay := leaderPollInterval
	for types.Sleep(ctx, delay) {
		delay = leaderPollInterval
		if err := c.asLeader(func(types.Mono) {}); err != nil {
			continue // Read at once when this host begins to lead.
		}
		delay = targetsInterval
		start := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := c.List(listCtx)
		cancel()
		if err != nil {
			c.Log.Write(event.HostListFailed, event.Fields{"error": err.Error()})
			continue
		}
		c.setTargets(list, time.Since(start))
	}
	return nil
}

func (c *Control) setTargets(list []Target, took time.Duration) {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	next := Targets{Checksum: max(1, xxhash.Sum64(types.Encode(list))), List: list}
	changed := false
	err := c.asLeader(func(types.Mono) {
		changed = next.Checksum != c.targets.Checksum
		c.targets = next
	})
	if err == nil && changed {
		c.Log.Write(event.TargetsChanged, event.Fields{"targets": len(list), "sum": next.Checksum, "tookMs": took.Milliseconds()})
		c.changes.notify()
	}
}
