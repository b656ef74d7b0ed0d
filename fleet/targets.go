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
	// leadInterval is how often a host looks whether it has begun to lead: the
	// others wait for its list.
	leadInterval = 20 * time.Millisecond
)

// keepTargets reads the list of targets while this host leads.
func (c *Control) keepTargets(ctx context.Context) error {
	if c.List == nil {
		return nil
	}
	pause := leadInterval
	for types.Sleep(ctx, pause) {
		pause = leadInterval
		if err := c.lead(func(types.Mono) {}); err != nil {
			continue // Read at once when this host begins to lead.
		}
		pause = targetsInterval
		asked := time.Now()
		listCtx, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := c.List(listCtx)
		cancel()
		if err != nil {
			c.Log.Write(event.HostListFailed, event.Fields{"error": err.Error()})
			continue
		}
		c.setTargets(list, time.Since(asked))
	}
	return nil
}

func (c *Control) setTargets(list []Target, took time.Duration) {
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	next := Targets{Sum: max(1, xxhash.Sum64(types.Encode(list))), List: list}
	changed := false
	err := c.lead(func(types.Mono) {
		changed = next.Sum != c.targets.Sum
		c.targets = next
	})
	if err == nil && changed {
		c.Log.Write(event.TargetsChanged, event.Fields{"targets": len(list), "sum": next.Sum, "tookMs": took.Milliseconds()})
		c.news.send()
	}
}
