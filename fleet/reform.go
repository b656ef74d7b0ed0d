package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// Reform forms a shard anew from the stores that are left after a majority of its current
// ones has lost its disks: no write could ever be acknowledged by a majority again. It has no
// effect unless the shard is at Epoch.
type Reform struct {
	Shard turns.Shard `json:"shard"`
	Epoch turns.Epoch `json:"epoch"`
	// Current lists the stores that are left, or those that the shard begins with if none
	// is. Next lists the stores that the shard then moves to. It is empty if these are
	// the same.
	Current []turns.StoreID `json:"current,omitempty"`
	Next    []turns.StoreID `json:"next,omitempty"`
	// Expired is set, instead of the lists, once the turns that may have been lost would
	// have expired. See [turns.Placement.ReformedAt].
	Expired bool `json:"expired,omitempty"`
}

var reformedTotal = metrics.NewCounter("banyanspur_fleet_shards_reformed_total")

// reformShard applies a [Reform].
func (m *Machine) reformShard(at types.LogTime, c Reform) bool {
	p := m.state.Map.Placement(c.Shard)
	switch {
	case len(p.Current) == 0 || p.Epoch != c.Epoch:
		return false
	case c.Expired:
		p.ReformedAt = 0
	case len(c.Current) == 0:
		return false
	default:
		p = turns.Placement{Epoch: p.Epoch + 1, Current: c.Current, Next: c.Next, ReformedAt: max(at, 1)}
	}
	return m.updateMap(func(next *turns.Map) { next.Shards[c.Shard] = p })
}

// Destroyed reports whether a store is known to have lost its data: another one has
// registered at the same address of the same host, whose data directory contains the ID of
// the store. A store that is only down or cannot be reached is not destroyed.
func (m *Machine) Destroyed(id turns.StoreID) bool {
	member, known := m.state.Map.Members[id]
	successor, ok := m.StoreOn(member.Host)
	return known && ok && m.state.Replaced[id] && successor.Address == member.Address
}

// nextReform returns the command that forms a shard anew, or nil if a majority of its
// current stores may still come back. It must be called within asLeader.
func (c *Control) nextReform(shard turns.Shard, p turns.Placement, candidates []turns.Candidate) *Reform {
	left := slices.DeleteFunc(slices.Clone(p.Current), c.machine.Destroyed)
	if len(left) > len(p.Current)/2 {
		return nil
	}
	if len(left) == 0 { // Stores that have not copied the shard completely have a part of it.
		left = slices.DeleteFunc(slices.Clone(p.Next), c.machine.Destroyed)
	}
	copies := turns.ReplicaCount(c.Losses, len(candidates))
	desired := turns.ChooseStores(shard, left, candidates, copies, c.ZoneLosses > 0)
	switch {
	case copies == 0:
		return nil
	case len(left) == 0 || slices.Equal(left, desired):
		return &Reform{Shard: shard, Epoch: p.Epoch, Current: desired}
	}
	return &Reform{Shard: shard, Epoch: p.Epoch, Current: left, Next: desired}
}

// expireReform returns the command that ends the time in which no turn counts as missing
// since a shard was formed anew, or nil if it is not over. It must be called within
// asLeader.
func (c *Control) expireReform(shard turns.Shard, p turns.Placement) *Reform {
	table := c.planInForce()
	if p.ReformedAt == 0 || table == nil || c.logTime.Sub(p.ReformedAt) <= turns.Retention(table.Plan.TurnRetention()) {
		return nil
	}
	return &Reform{Shard: shard, Epoch: p.Epoch, Expired: true}
}

// mayReform reports whether the control hosts can apply the reforms among commands. A refusal by
// [Control.refuseCommandSet] is logged when its text changes.
func (c *Control) mayReform(ctx context.Context, commands []Command, lastRefusal *string) bool {
	i := slices.IndexFunc(commands, func(command Command) bool { return command.Reform != nil })
	if i < 0 {
		return false
	}
	refusal := c.refuseCommandSet(ctx, CommandSetReform)
	if refusal != "" && refusal != *lastRefusal {
		c.Log.Write(event.ShardReformed, event.Fields{"shard": commands[i].Reform.Shard, "refusal": refusal})
	}
	*lastRefusal = refusal
	return refusal == ""
}

// proposeReform proposes a [Reform], and logs it if it was applied.
func (c *Control) proposeReform(ctx context.Context, r *Reform, p turns.Placement) {
	fields := event.Fields{"shard": r.Shard, "epoch": r.Epoch + 1, "current": p.Current, "next": p.Next, "left": r.Current, "to": r.Next}
	result, err := c.propose(ctx, Command{Reform: r})
	switch {
	case err != nil || !result.Changed:
		return
	case r.Expired:
		c.Log.Write(event.ReformExpired, event.Fields{"shard": r.Shard, "afterMs": c.sinceReform(p).Milliseconds()})
	default:
		reformedTotal.Inc()
		c.Log.Write(event.ShardReformed, fields)
	}
}

func (c *Control) sinceReform(p turns.Placement) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logTime.Sub(p.ReformedAt)
}
