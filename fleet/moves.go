package fleet

import (
	"slices"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

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
