package turns

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// findContinued asks all stores to which shards are assigned which of the
// expired turns are continued by a turn that is not among them. It returns these
// with the time since the newest of those turns was used. proven is set if a
// quorum of every shard has replied, at the epochs of m: no other of the turns
// is then continued by a turn that was acknowledged.
func (s *Store) findContinued(ctx context.Context, peers *wire.Pool, m *Map, expired []turnKey) (continued map[turnKey]time.Duration, proven bool) {
	req := ContinuedRequest{}
	for _, key := range expired {
		req.Turns = append(req.Turns, TurnRef{Account: key.account, ID: key.id})
	}
	req.To = s.id
	own, err := s.handleContinued(ctx, req)
	if m == nil || len(m.Shards) == 0 || err != nil {
		return nil, false
	}
	results := make(chan storeResult[ContinuedReply], len(m.Members)+1)
	results <- storeResult[ContinuedReply]{store: s.id, reply: own}
	var g errgroup.Group
	for id, member := range m.Members {
		if id == s.id || !m.IsAssigned(id) {
			continue
		}
		link := peers.Link(member.Address)
		g.Go(func() error {
			to := req
			to.To = id
			reply, err := callStore[ContinuedRequest, ContinuedReply](ctx, link, KindContinued, to, storeTimeout, storeTimeout)
			if err == nil {
				results <- storeResult[ContinuedReply]{store: id, reply: reply}
			}
			return nil // A store that does not reply is not part of a quorum.
		})
	}
	_ = g.Wait()
	close(results)
	continued = map[turnKey]time.Duration{}
	epochs := map[StoreID][]Epoch{}
	for result := range results {
		epochs[result.store] = result.reply.Epochs
		for _, c := range result.reply.Continued {
			if c.Index < 0 || c.Index >= len(expired) {
				continue
			}
			key := expired[c.Index]
			if age, ok := continued[key]; !ok || c.Age < age {
				continued[key] = max(0, c.Age)
			}
		}
	}
	return continued, m.isQuorumOfAll(epochs)
}

// isQuorumOfAll reports whether the stores in replies, each with the epochs of
// its map, are a quorum of every shard. A store with another epoch of a shard
// does not count, since it may have handed its turns over to stores that m does
// not list.
func (m *Map) isQuorumOfAll(replies map[StoreID][]Epoch) bool {
	if m == nil || len(m.Shards) == 0 {
		return false
	}
	for shard, p := range m.Shards {
		if !p.HasQuorum(func(id StoreID) bool {
			epochs := replies[id]
			return shard < len(epochs) && epochs[shard] == p.Epoch
		}) {
			return false
		}
	}
	return true
}

// handleContinued returns which turns of the request are continued by a turn of
// this store that is not in the request.
func (s *Store) handleContinued(_ context.Context, req ContinuedRequest) (ContinuedReply, error) {
	if req.To != s.id {
		return ContinuedReply{}, errWrongStore
	}
	reply := ContinuedReply{Epochs: s.epochs()} // Before the turns are looked up, as in handleChain.
	requested := map[turnKey]bool{}
	for _, t := range req.Turns {
		requested[turnKey{t.Account, t.ID}] = true
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	for i, t := range req.Turns {
		found, usedAt := false, types.Mono(0)
		for _, child := range s.index.children[turnKey{t.Account, t.ID}] {
			if !requested[child] {
				found, usedAt = true, max(usedAt, s.index.turns[child].lastUsed)
			}
		}
		if found {
			reply.Continued = append(reply.Continued, Continued{Index: i, Age: s.retained.Sub(usedAt)})
		}
	}
	return reply, nil
}
