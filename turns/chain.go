package turns

import (
	"context"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// hedgeDelay is how long the nearest store may take before the others are
// asked for a chain as well.
const hedgeDelay = 20 * time.Millisecond

// Chain returns a turn and all before it, the oldest first. It returns a
// notFound fault only if no store of a majority of any shard knows the turn,
// and an unavailable one if it cannot be certain.
func (c *Client) Chain(ctx context.Context, account types.AccountID, id TurnID) ([]Turn, error) {
	var chain []Turn
	for id != "" {
		if t, ok := c.cache.get(account, id); ok {
			chain = append(chain, t)
			id = t.Previous
			continue
		}
		part, err := c.fetch(ctx, account, id)
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

// fetch asks the stores for a turn one after the other, the nearest first. All
// are asked once an answer is late.
func (c *Client) fetch(ctx context.Context, account types.AccountID, id TurnID) ([]Turn, error) {
	m := c.Map()
	if m == nil || len(m.Shards) == 0 {
		return nil, errNoStores
	}
	members := c.carriers(m)
	answers := make(chan result[ChainReply], len(members))
	asked := 0
	ask := func(n int) {
		for ; asked < min(n, len(members)); asked++ {
			c.askChain(ctx, members[asked], ChainRequest{Account: account, Turn: id}, answers)
		}
	}
	ask(1)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	denied := map[StoreID]bool{}
	for answered := 0; answered < len(members); {
		select {
		case a := <-answers:
			answered++
			if a.err == nil && len(a.reply.Turns) > 0 {
				return a.reply.Turns, nil
			}
			denied[a.from] = a.err == nil
			ask(asked + 1)
		case <-timer.C:
			ask(len(members))
		case <-ctx.Done():
			return nil, errNoStores
		}
	}
	return nil, denial(m, denied)
}

// denial returns notFound if a majority of the stores of each shard has denied
// that there is such a turn.
func denial(m *Map, denied map[StoreID]bool) error {
	for _, p := range m.Shards {
		if !p.EnoughToDeny(func(id StoreID) bool { return denied[id] }) {
			return errNoStores
		}
	}
	return errNoTurn
}

func (c *Client) askChain(ctx context.Context, from Member, req ChainRequest, answers chan<- result[ChainReply]) {
	link := c.Peers.Link(from.Address)
	req.To = from.ID
	c.background.Go(func() error {
		reply, err := askStore[ChainRequest, ChainReply](ctx, link, KindChain, req, storeTimeout)
		answers <- result[ChainReply]{from: from.ID, reply: reply, err: err}
		return nil
	})
}
