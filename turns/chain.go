package turns

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// minChainHedgeDelay is the shortest time for which the client waits for a reply to a
// chain request before it asks further stores.
const minChainHedgeDelay = 20 * time.Millisecond

// maxCachedAge is the age up to which a cached turn may be continued without
// asking the stores. It is below the shortest retention by the time that the
// turn which continues it may take to start. The turns before it live as long as
// it does, so they may be taken from the cache at any age.
const maxCachedAge = minRetention - settleMargin

// Chain is [Client.ChainOf] for a turn whose program is not known.
func (c *Client) Chain(ctx context.Context, account types.AccountID, id TurnID) ([]Turn, error) {
	return c.chain(ctx, account, id, noShard, func(int) error { return nil })
}

// ChainOf returns a turn and all turns before it, oldest first. The turn is most likely one
// of the given program, but may be one of any program of the account. It returns a
// notFound fault only if, for every shard, enough stores have replied that they
// lack the turn (see [Placement.HasQuorum]), and an unavailable
// fault if too few stores have replied to be certain, or if the turn may be lost (see
// [MayBeLost]).
func (c *Client) ChainOf(ctx context.Context, account types.AccountID, program types.ProgramID, id TurnID) ([]Turn, error) {
	return c.ChainWithin(ctx, account, program, id, func(int) error { return nil })
}

// ChainWithin is [Client.ChainOf] for callers whose memory is limited. grow is called for each part
// of the chain with the size of its inputs and outputs, before the next one is fetched; if it
// fails, ChainWithin returns its error.
func (c *Client) ChainWithin(ctx context.Context, account types.AccountID, program types.ProgramID, id TurnID, grow func(bytes int) error) ([]Turn, error) {
	return c.chain(ctx, account, id, ShardOf(account, program), grow)
}

// noShard stands for a shard that is not known.
const noShard Shard = ShardCount

// chain returns a turn and all turns before it. likely is the shard that is likely to have
// them.
func (c *Client) chain(ctx context.Context, account types.AccountID, id TurnID, likely Shard, grow func(int) error) ([]Turn, error) {
	var chain []Turn
	for id != "" {
		t, ok := c.cache.get(account, id)
		if len(chain) == 0 {
			t, ok = c.cache.getRecent(account, id, c.now(), maxCachedAge)
		}
		if ok {
			if err := grow(t.dataBytes()); err != nil {
				return nil, err
			}
			chain = append(chain, t)
			id = t.Previous
			continue
		}
		part, err := c.fetchChain(ctx, ChainRequest{Account: account, Turn: id}, likely)
		if len(chain) > 0 && isFault(err, errTurnNotFound) {
			return nil, errTurnMayBeLost // There is the turn that the caller names.
		}
		if err != nil {
			return nil, err
		}
		size := 0
		for _, t := range part {
			size += t.dataBytes()
		}
		if err := grow(size); err != nil {
			return nil, err
		}
		for _, t := range part {
			c.cache.put(t, 0, c.cacheBytes())
		}
		chain = append(chain, part...)
		id = part[len(part)-1].Previous
	}
	slices.Reverse(chain)
	return chain, nil
}

// MayBeLost reports whether err is the fault that [Client.Chain] returns for a turn that no
// store has any more, after a shard was formed anew from a minority of its stores, or for one of an earlier
// turn of its chain.
func MayBeLost(err error) bool {
	return isFault(err, errTurnMayBeLost)
}

// fetchChain requests a turn and those before it from the stores and returns
// them, newest first. If no store has the turn, but some stores and this client
// have different maps, it retries until ctx ends.
func (c *Client) fetchChain(ctx context.Context, req ChainRequest, likely Shard) ([]Turn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends the requests whose replies are no longer of use.
	for {
		s := chainSearch{client: c, req: req, likely: likely, shardMap: c.Map(), lacking: map[StoreID][]Epoch{}, failed: map[StoreID]error{}, sentAt: map[StoreID]time.Time{}, results: make(chan storeResult[ChainReply])}
		found := s.run(ctx)
		switch {
		case len(found) > 0:
			return found, nil
		case s.provesMissing():
			return nil, errTurnNotFound
		case !s.mapsDiffer() || !types.Sleep(ctx, retryInterval):
			return nil, s.uncertainError()
		}
	}
}

// chainSearch requests a turn from all stores to which shards are assigned.
type chainSearch struct {
	client   *Client
	req      ChainRequest
	likely   Shard // that is likely to have the turn
	shardMap *Map  // the newest that the client had during the search, or nil
	// members are the stores of shardMap, those of the likely shard first, in the order in
	// which they get its writes, then the others, nearest first, followed by those that were
	// added during the search. The first sent of them got the request.
	members []Member
	sent    int
	results chan storeResult[ChainReply]
	// lacking contains the stores that lack the turn, with their epochs.
	lacking map[StoreID][]Epoch
	// failed contains the errors of the stores that have failed, and sentAt when each store got the request.
	failed map[StoreID]error
	sentAt map[StoreID]time.Time
}

// run sends the request to one store first, and to the next one whenever one fails or lacks
// the turn. If there is no reply after the time that most replies take, it asks two more
// stores, and all after that time again: each store that has the turn sends the whole chain,
// so asking all at once would slow those that are slow already. It returns
// the turns of the first reply that has any. Otherwise it returns nil once all
// stores have replied or failed, ctx ends, or the turn is proven missing and the stores that
// have not replied had storeTimeout more to do so.
func (s *chainSearch) run(ctx context.Context) []Turn {
	s.addMembers()
	s.send(ctx, 1)
	hedge := time.NewTimer(s.client.chainReplies.hedgeDelay(minChainHedgeDelay, s.unasked()))
	defer hedge.Stop()
	hedged := false
	mapPoll := time.NewTicker(retryInterval)
	defer mapPoll.Stop()
	var proven <-chan time.Time // nil until the turn is proven missing
	for received := 0; received < len(s.members); {
		select {
		case result := <-s.results:
			received++
			if result.err == nil && len(result.reply.Turns) > 0 {
				return result.reply.Turns
			}
			if result.err == nil {
				s.lacking[result.store] = result.reply.Epochs
			} else if result.err != nil {
				s.failed[result.store] = result.err
			}
			if proven == nil && s.provesMissing() {
				proven = time.After(storeTimeout)
			}
			s.send(ctx, s.sent+1)
		case <-proven:
			return nil
		case <-hedge.C:
			if hedged {
				s.send(ctx, len(s.members))
				continue
			}
			hedged = true
			s.send(ctx, s.sent+2)
			hedge.Reset(s.client.chainReplies.hedgeDelay(minChainHedgeDelay, s.unasked()))
		case <-mapPoll.C: // A store that is down must not delay the requests to those that have replaced it.
			if m := s.client.Map(); m != s.shardMap {
				s.shardMap = m
				s.addMembers()
				s.send(ctx, len(s.members))
			}
		case <-ctx.Done():
			return nil
		}
	}
	return nil
}

// unasked returns the two stores that get the request next.
func (s *chainSearch) unasked() []StoreID {
	var ids []StoreID
	for _, m := range s.members[s.sent:min(s.sent+2, len(s.members))] {
		ids = append(ids, m.ID)
	}
	return ids
}

// addMembers adds the stores of the map that are not in the search yet.
func (s *chainSearch) addMembers() {
	if s.shardMap == nil {
		return
	}
	likely := s.client.sortByDistance(s.shardMap, rotated(s.shardMap.Placement(s.likely).All(), int(s.likely)))
	members := s.client.assignedMembers(s.shardMap)
	position := func(m Member) int {
		if i := slices.Index(likely, m.ID); i >= 0 {
			return i
		}
		return len(likely)
	}
	slices.SortStableFunc(members, func(a, b Member) int { return cmp.Compare(position(a), position(b)) })
	for _, member := range members {
		if !slices.ContainsFunc(s.members, func(m Member) bool { return m.ID == member.ID }) {
			s.members = append(s.members, member)
		}
	}
}

// send sends the request to members in the background until n of them have got
// it.
func (s *chainSearch) send(ctx context.Context, n int) {
	for ; s.sent < min(n, len(s.members)); s.sent++ {
		member, req := s.members[s.sent], s.req
		link := s.client.Peers.Link(member.Address)
		req.To = member.ID
		s.sentAt[member.ID] = time.Now()
		s.client.background.Go(func() error {
			startedAt := time.Now()
			var reply ChainReply
			var err error = types.NewFault(types.CodeUnavailable, "no connection to the store")
			if link.WaitConnected(ctx) {
				startedAt = time.Now()
				reply, err = wire.Call[ChainRequest, ChainReply](ctx, link, KindChain, req)
			}
			if err == nil {
				s.client.recordReply(KindChain, member.ID, time.Since(startedAt))
			}
			recordRequest(KindChain, startedAt, err)
			select {
			case s.results <- storeResult[ChainReply]{store: member.ID, reply: reply, err: err}:
			case <-ctx.Done():
			}
			return nil
		})
	}
}

// provesMissing reports whether no acknowledged write contains the turn: for
// every shard, a quorum of its stores lacks it. The reply of a store with another epoch
// of a shard does not count: with a newer one, the turn may have been written to
// stores that shardMap does not list. After a shard was formed anew, no reply counts, since
// the turn may have been lost with the shard's stores.
func (s *chainSearch) provesMissing() bool {
	return !s.shardMap.mayLackTurns() && s.shardMap.isQuorumOfAll(s.lacking)
}

// uncertainError returns the fault for a turn that no store has returned and
// that is not proven missing.
func (s *chainSearch) uncertainError() error {
	if s.shardMap.mayLackTurns() && s.shardMap.isQuorumOfAll(s.lacking) {
		return errTurnMayBeLost
	}
	fault := types.NewFault(types.CodeUnavailable, "of %d stores, %d lack the turn, and the shard maps differ: %t", len(s.members), len(s.lacking), s.mapsDiffer()).
		WithRetryAfter(time.Second)
	if s.likely == noShard {
		return fault
	}
	return s.lackingOf(fault)
}

// mapsDiffer reports whether a store that lacks the turn has another map than
// shardMap, so that a later search may prove more.
func (s *chainSearch) mapsDiffer() bool {
	for _, epochs := range s.lacking {
		for shard, epoch := range epochs {
			if epoch != s.shardMap.Placement(Shard(shard)).Epoch {
				return true
			}
		}
	}
	return false
}
