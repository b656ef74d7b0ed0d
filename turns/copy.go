package turns

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// copyInterval is how often a store checks its map for shards to copy.
	copyInterval = 50 * time.Millisecond
	// copyTimeout limits one request for a part of a shard.
	copyTimeout = time.Second
	// maxConcurrentCopies limits the number of shards that are copied at the
	// same time, and so the memory that their parts take.
	maxConcurrentCopies = 4
)

// CopiedShards returns the shards that this store has copied completely, with
// the epoch of the move. The configuration group then ends these moves.
func (s *Store) CopiedShards() map[Shard]Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copied := map[Shard]Epoch{}
	for shard, epoch := range s.copiedEpochs {
		copied[shard] = epoch
	}
	return copied
}

// CopyShards copies the shards that are moving to this store until ctx ends. It
// reaches the other stores through peers. Failed copies are retried.
func (s *Store) CopyShards(ctx context.Context, peers *wire.Pool) error {
	for types.Sleep(ctx, copyInterval) {
		s.mu.RLock()
		shardMap := s.shardMap
		s.mu.RUnlock()
		if shardMap == nil {
			continue
		}
		var g errgroup.Group
		g.SetLimit(maxConcurrentCopies)
		for shard, p := range shardMap.Shards {
			if !slices.Contains(p.Next, s.id) || slices.Contains(p.Current, s.id) || s.hasCopied(Shard(shard), p.Epoch) {
				continue
			}
			g.Go(func() error {
				if err := s.copyShard(ctx, peers, shardMap, Shard(shard)); err != nil {
					s.Log.Write(event.CopyFailed, event.Fields{"shard": shard, "epoch": p.Epoch, "error": err.Error()})
				}
				return nil
			})
		}
		_ = g.Wait() // Failed copies are retried in the next round.
	}
	return nil
}

func (s *Store) hasCopied(shard Shard, epoch Epoch) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.copiedEpochs[shard] == epoch
}

// copyShard copies a shard from the first majority of its current stores to
// finish. Before its first reply, each of them has the map of the move, and from
// then on acknowledges no write of an older epoch, not even one that it accepted
// before. So every acknowledged write is in the index of at least one of them
// before it replies, or is also sent to this store.
func (s *Store) copyShard(ctx context.Context, peers *wire.Pool, m *Map, shard Shard) error {
	p := m.Placement(shard)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Stops the remaining copies once a majority has finished.
	results := make(chan storeResult[int], len(p.Current))
	var g errgroup.Group
	for _, id := range p.Current {
		link := peers.Link(m.Members[id].Address)
		g.Go(func() error {
			n, err := s.copyFrom(ctx, link, CopyRequest{To: id, Shard: shard, Epoch: p.Epoch})
			results <- storeResult[int]{store: id, reply: n, err: err}
			return nil
		})
	}
	copiedFrom := map[StoreID]bool{}
	turnCount := 0
	var lastErr error
	for range p.Current {
		result := <-results
		if result.err != nil {
			lastErr = result.err
			continue
		}
		copiedFrom[result.store] = true
		turnCount += result.reply
		if p.HasCopyQuorum(func(id StoreID) bool { return copiedFrom[id] }) {
			s.markCopied(shard, p.Epoch, len(copiedFrom), turnCount)
			return nil
		}
	}
	return lastErr
}

// markCopied records and logs that a shard was copied completely, with turnCount
// turns from the given number of sources.
func (s *Store) markCopied(shard Shard, epoch Epoch, sources, turnCount int) {
	s.mu.Lock()
	s.copiedEpochs[shard] = epoch
	s.mu.Unlock()
	s.Log.Write(event.ShardCopied, event.Fields{"shard": shard, "epoch": epoch, "from": sources, "turns": turnCount})
}

// copyFrom copies a shard from one store and returns the number of turns
// received.
func (s *Store) copyFrom(ctx context.Context, link *wire.Link, req CopyRequest) (turnCount int, err error) {
	for {
		part, err := callStore[CopyRequest, CopyReply](ctx, link, KindCopy, req, copyTimeout)
		if err != nil {
			return turnCount, err
		}
		if err := s.persistPart(ctx, part); err != nil {
			return turnCount, err
		}
		turnCount += len(part.Turns)
		if part.Done {
			return turnCount, nil
		}
		req.From = part.Next
	}
}

// persistPart makes a part of a copied shard durable. Turns that this store
// already has are not written again.
func (s *Store) persistPart(ctx context.Context, part CopyReply) error {
	var records []record
	s.mu.Lock()
	for i, t := range part.Turns {
		age := time.Duration(0)
		if i < len(part.Ages) {
			age = max(0, part.Ages[i])
		}
		if s.index.hasTurn(t) {
			s.index.markUsed(turnKey{t.Account, t.ID}, s.retained.Add(-age))
			continue
		}
		records = append(records, record{Turn: &t, age: age})
	}
	for _, p := range part.Programs {
		s.index.addClaims(programKey{p.Account, p.Program}, p.Claims, s.retained)
		records = append(records, record{Program: &p})
	}
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	return s.persist(ctx, records...)
}

// callStore sends one request to a store and returns the reply. It waits for a
// connection if there is none. The timeout covers both.
func callStore[Req, Resp any](ctx context.Context, link *wire.Link, kind wire.Kind, req Req, timeout time.Duration) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !link.WaitConnected(ctx) {
		var zero Resp
		return zero, types.NewFault(types.CodeUnavailable, "no connection to the store")
	}
	return wire.Call[Req, Resp](ctx, link, kind, req)
}
