package turns

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Client writes to and reads from the stores. Set the exported fields before
// use; its methods are safe for concurrent use.
type Client struct {
	// Peers reaches the stores.
	Peers *wire.Pool
	// Map returns the newest map, or nil.
	Map func() *Map
	// Zone is read from first.
	Zone types.ZoneID
	// CacheBytes bounds the turns kept in memory. The default is 8 MiB.
	CacheBytes int

	cache cache
	// background holds the requests that go on after a majority has answered.
	background errgroup.Group
}

const (
	// storeTimeout bounds one request to one store. All that stores are asked
	// may be repeated, so that a new try over a new connection is soon made.
	storeTimeout = 500 * time.Millisecond
	// spareDelay is how long a turn may take to be written to a majority before
	// the other stores get it as well. They would cost as many bytes between
	// zones again, for a copy that no loss to be borne calls for.
	spareDelay = 40 * time.Millisecond
	// mapPause is how long the client waits for a newer map, or for stores that
	// come back, before it asks again.
	mapPause = 30 * time.Millisecond
)

// Faults of the client.
var (
	errNoStores = types.NewFault(types.CodeUnavailable, "a majority of the shard's stores does not answer").After(time.Second)
	// errNoTurn is certain: a majority of the stores of each shard denies it.
	errNoTurn = types.NewFault(types.CodeNotFound, "there is no such turn of this account")
	// errBudget is certain too.
	errBudget = types.NewFault(types.CodeBudgetExceeded, "the program's budget does not cover another turn")
)

// Budget is what a turn asks of its program's budget.
type Budget struct {
	Account types.AccountID
	Program types.ProgramID
	Attempt types.AttemptID
	// Limit is what all turns of the program may generate, and Most what this
	// turn may.
	Limit, Most types.Tokens
}

// Reserve claims a turn's share of its program's budget. It returns a
// budgetExceeded fault if the budget does not cover it, with the claim
// withdrawn. Once it returns nil, no number of concurrent turns can exceed the
// budget: of any set of reservations that were granted, the one whose claim
// was written last has seen all others. A reservation that saw no rival needs
// no second look, since each rival that it did not see has seen it.
func (c *Client) Reserve(ctx context.Context, b Budget) error {
	req := ClaimRequest{
		Shard: ShardOf(b.Account, b.Program), Account: b.Account, Program: b.Program,
		Claim: Claim{Attempt: b.Attempt, Most: b.Most},
	}
	claims, err := c.claim(ctx, req)
	if err == nil && claims.Rival(b.Attempt) {
		req.Claim = Claim{}
		claims, err = c.claim(ctx, req)
	}
	if err != nil {
		return err
	}
	if claims.Spent() <= b.Limit {
		return nil
	}
	c.background.Go(func() error { return c.Settle(context.WithoutCancel(ctx), b, 0, nil) })
	return errBudget
}

// claim sends a claim, or looks at the claims if that is empty, and merges
// what a majority answers.
func (c *Client) claim(ctx context.Context, req ClaimRequest) (Claims, error) {
	merged := Claims{}
	replies, err := askShard[ClaimRequest, ClaimReply](ctx, c, req.Shard, KindClaim, func(to StoreID, e Epoch) ClaimRequest {
		req.To, req.Epoch = to, e
		return req
	})
	for _, r := range replies {
		for _, claim := range r.Claims {
			merged.Add(claim)
		}
	}
	return merged, err
}

// Settle tells how much an attempt has generated, and writes the turn that
// came of it, if any. It returns once a majority has both on disk.
func (c *Client) Settle(ctx context.Context, b Budget, used types.Tokens, t *Turn) error {
	req := CloseRequest{
		Shard: ShardOf(b.Account, b.Program), Account: b.Account, Program: b.Program,
		Claim: Claim{Attempt: b.Attempt, Most: b.Most, Used: used, Settled: true}, Turn: t,
	}
	_, err := askShard[CloseRequest, Done](ctx, c, req.Shard, KindClose, func(to StoreID, e Epoch) CloseRequest {
		req.To, req.Epoch = to, e
		return req
	})
	if err == nil && t != nil {
		c.cache.put(*t, c.cacheBytes())
	}
	return err
}

func (c *Client) cacheBytes() int {
	const defaultCacheBytes = 8 << 20
	if c.CacheBytes > 0 {
		return c.CacheBytes
	}
	return defaultCacheBytes
}

// result is one store's answer.
type result[Resp any] struct {
	from  StoreID
	reply Resp
	err   error
}

// askShard asks all stores of a shard and returns once a majority has
// answered. The others go on and receive the request as well. If there is no
// majority or the shard has moved, it asks again until ctx ends.
func askShard[Req, Resp any](ctx context.Context, c *Client, shard Shard, kind wire.Kind, req func(StoreID, Epoch) Req) (map[StoreID]Resp, error) {
	for {
		m := c.Map()
		p := m.Placement(shard)
		got := askPlacement[Req, Resp](ctx, c, m, p, kind, req)
		if len(p.Now) > 0 && p.Enough(func(id StoreID) bool { _, ok := got[id]; return ok }) {
			return got, nil
		}
		if !types.Sleep(ctx, mapPause) {
			return nil, errNoStores
		}
	}
}

// askPlacement asks the stores of a placement until enough have answered or
// all have. The nearest that suffice are asked first if the request is heavy,
// and the others when one of those fails or is late.
func askPlacement[Req, Resp any](ctx context.Context, c *Client, m *Map, p Placement, kind wire.Kind, req func(StoreID, Epoch) Req) map[StoreID]Resp {
	all := c.nearFirst(m, p.All())
	answers := make(chan result[Resp], len(all))
	asked := 0
	ask := func(n int) {
		for ; asked < n; asked++ {
			id := all[asked]
			link, one := c.Peers.Link(m.Members[id].Address), req(id, p.Epoch)
			c.background.Go(func() error {
				// A caller that leaves must not keep a copy from being written.
				reply, err := askStore[Req, Resp](context.WithoutCancel(ctx), link, kind, one, storeTimeout)
				answers <- result[Resp]{from: id, reply: reply, err: err}
				return nil
			})
		}
	}
	ask(first(p, all, kind))
	spare := time.NewTimer(spareDelay)
	defer spare.Stop()
	got := map[StoreID]Resp{}
	for answered := 0; answered < len(all); {
		select {
		case a := <-answers:
			answered++
			if a.err != nil {
				ask(len(all))
				continue
			}
			got[a.from] = a.reply
			if p.Enough(func(id StoreID) bool { _, ok := got[id]; return ok }) {
				return got
			}
		case <-spare.C:
			ask(len(all))
		case <-ctx.Done():
			return got
		}
	}
	return got
}

// first returns how many of the stores are asked at once: all of them, or just
// a majority where each copy costs.
func first(p Placement, all []StoreID, kind wire.Kind) int {
	if kind != KindClose || len(p.Next) > 0 {
		return len(all)
	}
	return len(all)/2 + 1
}

// nearFirst returns the stores with those of the own zone first, and those to
// which there is no connection last.
func (c *Client) nearFirst(m *Map, ids []StoreID) []StoreID {
	distance := func(id StoreID) int {
		switch member := m.Members[id]; {
		case !c.Peers.Link(member.Address).Up():
			return 2
		case member.Zone != c.Zone:
			return 1
		}
		return 0
	}
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b StoreID) int { return cmp.Compare(distance(a), distance(b)) })
	return sorted
}

// carriers returns the stores that carry any shard, the nearest first.
func (c *Client) carriers(m *Map) []Member {
	var ids []StoreID
	for id := range m.Members {
		if m.Carries(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var members []Member
	for _, id := range c.nearFirst(m, ids) {
		members = append(members, m.Members[id])
	}
	return members
}
