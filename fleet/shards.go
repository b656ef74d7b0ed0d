package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// shardsInterval is how often the leader looks whether shards must move.
	shardsInterval = 100 * time.Millisecond
	// storeTimeout is how long a store may be silent before its shards move to
	// another one. It is longer than two waits for news.
	storeTimeout = 2500 * time.Millisecond
	// mapQuietPeriod is how long no new store may have come before the first
	// map is made.
	mapQuietPeriod = 700 * time.Millisecond
	// mapInitTimeout is how long fewer stores than wanted are waited for.
	mapInitTimeout = 5 * time.Second
	// minStores is the fewest stores that bear a loss.
	minStores = 3
)

// maintainShards moves shards as stores come and go, while this host leads.
func (c *Control) maintainShards(ctx context.Context) error {
	for types.Sleep(ctx, shardsInterval) {
		var commands []Command
		_ = c.asLeader(func(now types.Mono) { commands = c.nextCommands(now) }) // Not leading: nothing to do.
		for _, command := range commands {
			if _, err := c.propose(ctx, command); err != nil {
				break // Planned again by whoever leads then.
			}
			if m := command.Move; m != nil {
				c.Log.Write(event.ShardMoved, event.Fields{"shard": m.Shard, "epoch": m.Epoch + 1, "to": m.Next, "done": m.Done})
			}
		}
	}
	return nil
}

// nextCommands returns the commands that bring the map nearer to what it should be.
// Callers lead.
func (c *Control) nextCommands(now types.Mono) []Command {
	m, _ := c.machine.Map()
	candidates := c.machine.Candidates(func(id turns.StoreID) bool { return c.live(id, now) })
	if len(m.Shards) == 0 {
		return c.initMapCommands(candidates, now)
	}
	var commands []Command
	for i, p := range m.Shards {
		if move := c.nextMove(turns.Shard(i), p, candidates); move != nil {
			commands = append(commands, Command{Move: move})
		}
	}
	return commands
}

// live reports whether a store answers. A leader gives all of them time to
// find it.
func (c *Control) live(id turns.StoreID, now types.Mono) bool {
	return now.Sub(max(c.lastSeen[id], c.leaderSince)) < storeTimeout
}

func (c *Control) initMapCommands(candidates []turns.Candidate, now types.Mono) []Command {
	wanted := 2*c.Losses + 1
	quiet := now.Sub(c.lastRegistration)
	if len(candidates) == 0 || quiet < mapQuietPeriod || len(candidates) < wanted && quiet < mapInitTimeout {
		return nil
	}
	initMap := InitMap{}
	for i := range turns.Shards {
		initMap.Shards = append(initMap.Shards, turns.Choose(turns.Shard(i), nil, candidates, turns.Copies(c.Losses, len(candidates))))
	}
	return []Command{{InitMap: &initMap}}
}

// nextMove returns the next step of one shard, or nil.
func (c *Control) nextMove(shard turns.Shard, p turns.Placement, candidates []turns.Candidate) *Move {
	copies := max(len(p.Now), turns.Copies(c.Losses, len(candidates)))
	desired := turns.Choose(shard, p.Now, candidates, copies)
	move := &Move{Shard: shard, Epoch: p.Epoch}
	switch {
	case len(desired) < copies:
		return nil // Fewer copies would not bear the losses.
	case len(p.Next) == 0 && slices.Equal(desired, p.Now):
		return nil
	case len(p.Next) == 0:
		move.Next = desired
	case slices.Equal(p.Next, desired) && c.allCopied(shard, p):
		move.Done = true
	case slices.Equal(p.Next, desired):
		return nil
	case slices.Equal(p.Now, desired):
		// Nothing is moved after all; the move under way is called off.
	default:
		move.Next = desired
	}
	return move
}

// allCopied reports whether all stores that a shard moves to hold everything.
func (c *Control) allCopied(shard turns.Shard, p turns.Placement) bool {
	for _, id := range p.Next {
		if !slices.Contains(p.Now, id) && c.copied[id][shard] != p.Epoch {
			return false
		}
	}
	return true
}

// retire begins to empty a store. It is refused if too few would be left.
func (c *Control) retire(ctx context.Context, req Retire) (RetireState, error) {
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
			fault = types.NewFault(types.CodeConflict, "%d stores would be left, and %d are needed", remaining, 2*c.Losses+1)
		}
	})
	if err != nil {
		return RetireState{}, err
	}
	if fault != nil {
		return RetireState{}, fault
	}
	if _, err := c.propose(ctx, Command{Retire: &req}); err != nil {
		return RetireState{}, err
	}
	return c.retired(ctx, req)
}

// retired tells whether a store that is to be emptied carries nothing more.
func (c *Control) retired(_ context.Context, req Retire) (RetireState, error) {
	var state RetireState
	retiring := false
	err := c.asLeader(func(types.Mono) {
		m, _ := c.machine.Map()
		member, ok := c.machine.StoreOn(req.Host)
		retiring = ok && c.machine.Retiring(req.Host)
		state.Complete = retiring && !m.Carries(member.ID)
	})
	if err == nil && !retiring {
		err = types.NewFault(types.CodeNotFound, "no store on host %q is to be emptied", req.Host)
	}
	return state, err
}
