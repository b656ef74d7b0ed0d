package turns

import (
	"context"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// chainHedgeDelay is how long the client waits for a reply to a chain request
// before it also sends the request to all other stores.
const chainHedgeDelay = 20 * time.Millisecond

// Chain returns a turn and all turns before it, oldest first. It returns a
// notFound fault only if, for every shard, a majority of the stores has replied
// that it lacks a turn of the chain, and an unavailable fault if too few stores
// have replied to be certain.
func (c *Client) Chain(ctx context.Context, account types.AccountID, id TurnID) ([]Turn, error) {
	var chain []Turn
	for id != "" {
		if t, ok := c.cache.get(account, id); ok {
			chain = append(chain, t)
			id = t.Previous
			continue
		}
		part, err := c.fetchChain(ctx, account, id)
		if err != nil {
			return nil, err
		}
		for _, t := range part {
			c.cache.put(t, c.cacheBytes())
		}
		chain = append(chain, part...)
		id = part[len(part)-1].Previous
	}
	slices.Reverse(chain)
	return chain, nil
}

// fetchChain requests a turn and those before it from the stores, nearest
// first. It sends the request to the next store whenever one fails or lacks the
// turn, and to all stores after [chainHedgeDelay]. It returns the turns of the
// first reply that has any, newest first.
func (c *Client) fetchChain(ctx context.Context, account types.AccountID, id TurnID) ([]Turn, error) {
	m := c.Map()
	if m == nil || len(m.Shards) == 0 {
		return nil, errNoQuorum
	}
	members := c.assignedMembers(m)
	results := make(chan storeResult[ChainReply], len(members))
	sent := 0
	send := func(n int) {
		for ; sent < min(n, len(members)); sent++ {
			c.requestChain(ctx, members[sent], ChainRequest{Account: account, Turn: id}, results)
		}
	}
	send(1)
	timer := time.NewTimer(chainHedgeDelay)
	defer timer.Stop()
	lacking := map[StoreID]bool{}
	for received := 0; received < len(members); {
		select {
		case result := <-results:
			received++
			if result.err == nil && len(result.reply.Turns) > 0 {
				return result.reply.Turns, nil
			}
			lacking[result.store] = result.err == nil
			send(sent + 1)
		case <-timer.C:
			send(len(members))
		case <-ctx.Done():
			return nil, errNoQuorum
		}
	}
	return nil, missingTurnError(m, lacking)
}

// missingTurnError returns the error for a turn that no store returned:
// notFound if a majority of the stores of every shard is in denied, the stores
// that replied without the turn, and unavailable otherwise.
func missingTurnError(m *Map, lacking map[StoreID]bool) error {
	for _, p := range m.Shards {
		if !p.HasReadQuorum(func(id StoreID) bool { return lacking[id] }) {
			return errNoQuorum
		}
	}
	return errTurnNotFound
}

// requestChain sends a chain request to one store in the background and sends
// the outcome to results.
func (c *Client) requestChain(ctx context.Context, member Member, req ChainRequest, results chan<- storeResult[ChainReply]) {
	link := c.Peers.Link(member.Address)
	req.To = member.ID
	c.background.Go(func() error {
		reply, err := callStore[ChainRequest, ChainReply](ctx, link, KindChain, req, storeTimeout)
		results <- storeResult[ChainReply]{store: member.ID, reply: reply, err: err}
		return nil
	})
}
