package fleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// shardsInterval is how often the leader checks the placement of shards.
	shardsInterval = 100 * time.Millisecond
	// mapQuietPeriod is the minimum time between the last registration of a
	// store and the creation of the shard map.
	mapQuietPeriod = 700 * time.Millisecond
	// mapInitTimeout is the time since the last registration after which the
	// shard map is created even with fewer stores than wanted.
	mapInitTimeout = 5 * time.Second
	// minStores is the smallest number of stores that tolerates the loss of
	// one.
	minStores = 3
)

// maintainShards creates the shard map and moves shards when stores are added,
// lost or retired. It runs until ctx ends and acts only on the leader.
func (c *Control) maintainShards(ctx context.Context) error {
	lastRefusal := ""
	for types.Sleep(ctx, shardsInterval) {
		var commands []Command
		var shardMap turns.Map
		err := c.asLeader(func(now types.Mono) {
			commands = c.nextCommands(now)
			shardMap, _ = c.machine.Map()
		})
		if err != nil {
			continue // This host is not the leader.
		}
		c.proposeShards(ctx, commands, shardMap, &lastRefusal)
	}
	return nil
}

// proposeShards proposes the commands of one round. Commands that are not applied are computed anew in
// the next round, or by the next leader. Moves are proposed at the same time, so that they share syncs: a
// lost disk moves all shards of a store, which must be copied before the next one may be lost.
func (c *Control) proposeShards(ctx context.Context, commands []Command, shardMap turns.Map, lastRefusal *string) {
	mayReform := c.mayReform(ctx, commands, lastRefusal)
	var g errgroup.Group
	for _, command := range commands {
		g.Go(func() error {
			if r := command.Reform; r != nil {
				if mayReform {
					c.proposeReform(ctx, r, shardMap.Placement(r.Shard))
				}
				return nil
			}
			if _, err := c.propose(ctx, command); err != nil {
				return nil //nolint:nilerr // Documented above.
			}
			if m := command.Move; m != nil {
				c.Log.Write(event.ShardMoved, event.Fields{"shard": m.Shard, "epoch": m.Epoch + 1, "to": m.Next, "done": m.Done})
			}
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
}

// nextCommands returns the commands that bring the shard map closer to the
// desired placement. It must be called within asLeader.
func (c *Control) nextCommands(now types.Mono) []Command {
	m, _ := c.machine.Map()
	c.updateLost(m, now)
	candidates := c.machine.Candidates(func(id turns.StoreID) bool { return !c.lost[id] })
	if len(m.Shards) == 0 {
		return c.initMapCommands(candidates, now)
	}
	var commands []Command
	var begins []*Move
	for i, p := range m.Shards {
		shard := turns.Shard(i)
		if reform := c.nextReform(shard, p, candidates); reform != nil {
			commands = append(commands, Command{Reform: reform})
			continue
		}
		if reform := c.expireReform(shard, p); reform != nil {
			commands = append(commands, Command{Reform: reform})
		}
		switch move := c.nextMove(shard, p, candidates, now); {
		case move == nil:
		case len(p.Next) == 0:
			begins = append(begins, move)
		default:
			commands = append(commands, Command{Move: move})
		}
	}
	for _, move := range c.dueMoves(m, begins, now) {
		commands = append(commands, Command{Move: move})
	}
	return commands
}

// initMapCommands returns the command that creates the shard map, or nil if
// more stores may still register.
func (c *Control) initMapCommands(candidates []turns.Candidate, now types.Mono) []Command {
	wanted := 2*c.Losses + 1
	quiet := now.Sub(c.lastRegistration)
	if len(candidates) == 0 || quiet < mapQuietPeriod || len(candidates) < wanted && quiet < mapInitTimeout {
		return nil
	}
	initMap := InitMap{}
	for i := range turns.ShardCount {
		initMap.Shards = append(initMap.Shards, turns.ChooseStores(turns.Shard(i), nil, candidates, turns.ReplicaCount(c.Losses, len(candidates)), c.ZoneLosses > 0))
	}
	return []Command{{InitMap: &initMap}}
}

// retire marks the store on a host as retiring. It fails if too few live stores
// would remain.
func (c *Control) retire(ctx context.Context, req Retire) (RetireStatus, error) {
	var fault *types.Fault
	err := c.asLeader(func(now types.Mono) {
		if _, ok := c.machine.StoreOn(req.Host); !ok {
			fault = types.NewFault(types.CodeNotFound, "there is no store on host %q", req.Host)
			return
		}
		if c.machine.Retiring(req.Host) {
			return
		}
		remaining := 0
		for _, candidate := range c.machine.Candidates(func(id turns.StoreID) bool { return c.live(id, now) }) {
			if candidate.Host != req.Host && candidate.Live {
				remaining++
			}
		}
		if remaining < max(minStores, 2*c.Losses+1) {
			fault = types.NewFault(types.CodeConflict, "%d stores would remain, but %d are required", remaining, 2*c.Losses+1)
		}
	})
	if err != nil {
		return RetireStatus{}, err
	}
	if fault != nil {
		return RetireStatus{}, fault
	}
	if _, err := c.propose(ctx, Command{Retire: &req}); err != nil {
		return RetireStatus{}, err
	}
	return c.retireStatus(ctx, req)
}

// retireStatus reports whether a retiring store has no shards left. It fails if the
// store on the host is not retiring.
func (c *Control) retireStatus(_ context.Context, req Retire) (RetireStatus, error) {
	var state RetireStatus
	retiring := false
	err := c.asLeader(func(types.Mono) {
		m, _ := c.machine.Map()
		member, ok := c.machine.StoreOn(req.Host)
		retiring = ok && c.machine.Retiring(req.Host)
		state.Complete = retiring && !m.IsAssigned(member.ID)
	})
	if err == nil && !retiring {
		err = types.NewFault(types.CodeNotFound, "no store on host %q is being retired", req.Host)
	}
	return state, err
}
