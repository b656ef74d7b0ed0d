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
	// shardsInterval is how often the leader checks the placement of shards.
	shardsInterval = 100 * time.Millisecond
	// storeTimeout is how long a store may be unresponsive before its shards
	// move to another one. It is longer than two sync requests of
	// [DefaultSyncWait].
	storeTimeout = 2500 * time.Millisecond
	// longStoreTimeout is that time for a store that still responds to pings, and for all
	// stores while more of them are unresponsive than may be lost at once. They are likely to
	// be late, or cut off for a moment: moves would only add copies to the work of stores
	// that cannot bear it, and make every request start again.
	longStoreTimeout = 4 * storeTimeout
	// checkAfter is the silence after which the leader checks its own connection to a store.
	// It leaves time for a ping before storeTimeout.
	checkAfter = storeTimeout / 2
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
		for _, command := range commands {
			if r := command.Reform; r != nil {
				c.proposeReform(ctx, r, shardMap.Placement(r.Shard), &lastRefusal)
				continue // If it was not applied, the next round computes it anew.
			}
			if _, err := c.propose(ctx, command); err != nil {
				break // The next round, or the next leader, computes the commands anew.
			}
			if m := command.Move; m != nil {
				c.Log.Write(event.ShardMoved, event.Fields{"shard": m.Shard, "epoch": m.Epoch + 1, "to": m.Next, "done": m.Done})
			}
		}
	}
	return nil
}

// nextCommands returns the commands that bring the shard map closer to the
// desired placement. It must be called within asLeader.
func (c *Control) nextCommands(now types.Mono) []Command {
	m, _ := c.machine.Map()
	timeout := c.silenceTimeout(m, now)
	candidates := c.machine.Candidates(func(id turns.StoreID) bool { return !c.lost(id, m.Members[id], timeout, now) })
	if len(m.Shards) == 0 {
		return c.initMapCommands(candidates, now)
	}
	var commands []Command
	for i, p := range m.Shards {
		shard := turns.Shard(i)
		if reform := c.nextReform(shard, p, candidates); reform != nil {
			commands = append(commands, Command{Reform: reform})
			continue
		}
		if reform := c.expireReform(shard, p); reform != nil {
			commands = append(commands, Command{Reform: reform})
		}
		if move := c.nextMove(shard, p, candidates); move != nil {
			commands = append(commands, Command{Move: move})
		}
	}
	return commands
}

// silence returns how long a store has not sent a request. It counts from the election, so
// that stores have time to find a new leader.
func (c *Control) silence(id turns.StoreID, now types.Mono) time.Duration {
	return now.Sub(max(c.lastSeen[id], c.leaderSince))
}

// live reports whether a store has sent a request within storeTimeout.
func (c *Control) live(id turns.StoreID, now types.Mono) bool {
	return c.silence(id, now) < storeTimeout
}

// lost reports whether the shards of a store should move: it has been silent for timeout, or, if
// it still responds to pings and so is only late, for longStoreTimeout.
func (c *Control) lost(id turns.StoreID, member turns.Member, timeout time.Duration, now types.Mono) bool {
	silence := c.silence(id, now)
	if silence < checkAfter {
		return false
	}
	link := c.Peers.Link(member.Address)
	link.Check()
	if link.IsConnected() {
		timeout = longStoreTimeout
	}
	return silence >= timeout
}

// silenceTimeout returns how long a store may be unresponsive before its shards move.
func (c *Control) silenceTimeout(m turns.Map, now types.Mono) time.Duration {
	silent, largestZone, zones := 0, 0, map[types.ZoneID]int{}
	for id, member := range m.Members {
		if !m.IsAssigned(id) || c.machine.Destroyed(id) {
			continue
		}
		zones[member.Zone]++
		largestZone = max(largestZone, zones[member.Zone])
		if !c.live(id, now) {
			silent++
		}
	}
	tolerated := max(1, c.Losses)
	if c.ZoneLosses > 0 {
		tolerated = max(tolerated, largestZone)
	}
	if silent > tolerated {
		return longStoreTimeout
	}
	return storeTimeout
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

// nextMove returns the next step in the placement of a shard, or nil if there
// is none.
func (c *Control) nextMove(shard turns.Shard, p turns.Placement, candidates []turns.Candidate) *Move {
	copies := max(len(p.Current), turns.ReplicaCount(c.Losses, len(candidates)))
	desired := turns.ChooseStores(shard, p.Current, candidates, copies, c.ZoneLosses > 0)
	move := &Move{Shard: shard, Epoch: p.Epoch}
	switch {
	case len(desired) < copies:
		return nil // Fewer copies would not tolerate the configured losses.
	case len(p.Next) == 0 && slices.Equal(desired, p.Current):
		return nil
	case len(p.Next) == 0:
		move.Next = desired
	case slices.Equal(p.Next, desired) && c.allCopied(shard, p):
		move.Done = true
	case slices.Equal(p.Next, desired):
		return nil
	case slices.Equal(p.Current, desired):
		// The current placement is the desired one again, so cancel the move.
	default:
		move.Next = desired
	}
	return move
}

// allCopied reports whether every store that a move adds to a shard has copied
// all its data.
func (c *Control) allCopied(shard turns.Shard, p turns.Placement) bool {
	for _, id := range p.Next {
		if !slices.Contains(p.Current, id) && c.copied[id][shard] != p.Epoch {
			return false
		}
	}
	return true
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
