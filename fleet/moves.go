package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// maxPlannedMoves is how many shards move at the same time while all of their stores respond, as after an order to
	// retire a store. All shards of a store at once, each of 150 to 440 turns, let every store that took part write for
	// 0.4 to 2.1 s at a time.
	maxPlannedMoves = 4
	// plannedMovesTime is the time after which the planned moves that are left begin together. The shortest time within
	// which a retired store has to be empty is 8.9 s. On a busy machine two of nine moves had begun before, and the others
	// took 14 s from then on, so that 4 s were too much.
	plannedMovesTime = 2500 * time.Millisecond
)

// dueMoves returns which of the moves that are to begin do so now, those of the shards with the fewest stores that
// respond first. All begin of shards with a store that does not respond, which may have lost its disk. The others are
// planned: a few at a time, and none beside those, until plannedMovesTime has passed. A new leader, to which no store
// has sent a request yet, lets all begin.
func (c *Control) dueMoves(m turns.Map, begins []*Move, now types.Mono) []*Move {
	var due, planned []*Move
	for _, move := range begins {
		if c.isPlanned(m.Placement(move.Shard), now) {
			planned = append(planned, move)
		} else {
			due = append(due, move)
		}
	}
	slack := func(move *Move) int { return c.slack(m.Placement(move.Shard), now) }
	slices.SortStableFunc(due, func(a, b *Move) int { return cmp.Compare(slack(a), slack(b)) })
	underWay, urgent := 0, len(due) > 0
	for _, p := range m.Shards {
		switch {
		case len(p.Next) == 0:
		case c.isPlanned(p, now):
			underWay++
		default:
			urgent = true
		}
	}
	switch {
	case len(planned) == 0:
		if underWay == 0 {
			c.plannedSince = 0
		}
		return due
	case c.plannedSince == 0:
		c.plannedSince = now
	}
	if now.Sub(c.plannedSince) < plannedMovesTime {
		room := max(0, maxPlannedMoves-underWay)
		if urgent {
			room = 0
		}
		planned = planned[:min(len(planned), room)]
	}
	return append(due, planned...)
}

// isPlanned reports whether all current stores of a shard respond, so that it moves without hurry.
func (c *Control) isPlanned(p turns.Placement, now types.Mono) bool {
	return !slices.ContainsFunc(p.Current, func(id turns.StoreID) bool { return !c.responds(id, now) })
}

// slack returns how many of the current stores of a shard that respond it can spare before it has no majority.
func (c *Control) slack(p turns.Placement, now types.Mono) int {
	responding := 0
	for _, id := range p.Current {
		if c.responds(id, now) {
			responding++
		}
	}
	return responding - (len(p.Current)/2 + 1)
}

// nextMove returns the next step in the placement of a shard, or nil if there
// is none.
func (c *Control) nextMove(shard turns.Shard, p turns.Placement, candidates []turns.Candidate, now types.Mono) *Move {
	copies := max(len(p.Current), turns.ReplicaCount(c.Losses, len(candidates)))
	if len(p.Next) > 0 {
		return c.continueMove(shard, p, candidates, copies, now)
	}
	desired := turns.ChooseStores(shard, p.Current, candidates, copies, c.ZoneLosses > 0)
	if len(desired) < copies || slices.Equal(desired, p.Current) {
		return nil // Fewer copies would not tolerate the configured losses.
	}
	return &Move{Shard: shard, Epoch: p.Epoch, Next: desired}
}

// continueMove returns the next step of a move that is in progress, or nil if it goes on. It
// completes a move once the shard is copied, also if other stores would be chosen by then. It
// cancels or redirects a move only for a reason that lasts, since copies and requests begin again
// with each step: all current stores respond, so that nothing needs to be copied, or a store that
// the shard moves to was lost or replaced and another one can take its place.
func (c *Control) continueMove(shard turns.Shard, p turns.Placement, candidates []turns.Candidate, copies int, now types.Mono) *Move {
	choose := func(preferred []turns.StoreID) []turns.StoreID {
		return turns.ChooseStores(shard, preferred, candidates, copies, c.ZoneLosses > 0)
	}
	usable := func(id turns.StoreID) bool {
		return slices.ContainsFunc(candidates, func(candidate turns.Candidate) bool { return candidate.ID == id && candidate.Live })
	}
	usableCount := func(ids []turns.StoreID) int {
		return len(ids) - len(slices.DeleteFunc(slices.Clone(ids), usable))
	}
	silent := func(id turns.StoreID) bool { return !c.responds(id, now) }
	move := &Move{Shard: shard, Epoch: p.Epoch}
	desired := choose(p.All()) // Stores that have the shard, or a part of it, come first.
	switch {
	case c.allCopied(shard, p) && usableCount(p.Next) >= usableCount(p.Current):
		move.Done = true
	case !slices.ContainsFunc(p.Current, silent) && slices.Equal(p.Current, choose(p.Current)):
		// Nothing needs to be copied, so cancel the move.
	case len(desired) < copies || usableCount(desired) <= usableCount(p.Next):
		return nil
	case slices.Equal(desired, p.Current):
		// The stores that are left to choose from are the current ones, so cancel the move.
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
