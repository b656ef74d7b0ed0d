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
	// copyInterval is how often a store looks for shards to copy.
	copyInterval = 50 * time.Millisecond
	// copyTimeout bounds one request for a part of a shard.
	copyTimeout = time.Second
	// copiesAtOnce bounds the shards that are copied at the same time, and so
	// the memory for their parts.
	copiesAtOnce = 4
)

// Copied returns the epochs of the moves for which this store has copied all
// there is. The configuration group ends those moves.
func (s *Store) Copied() map[Shard]Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copied := map[Shard]Epoch{}
	for shard, epoch := range s.whole {
		copied[shard] = epoch
	}
	return copied
}

// CopyIn copies the shards that are to move here until ctx ends. Peers reaches
// the other stores.
func (s *Store) CopyIn(ctx context.Context, peers *wire.Pool) error {
	for types.Sleep(ctx, copyInterval) {
		s.mu.RLock()
		now := s.now
		s.mu.RUnlock()
		if now == nil {
			continue
		}
		var g errgroup.Group
		g.SetLimit(copiesAtOnce)
		for shard, p := range now.Shards {
			if !slices.Contains(p.Next, s.id) || slices.Contains(p.Now, s.id) || s.hasCopied(Shard(shard), p.Epoch) {
				continue
			}
			g.Go(func() error {
				if err := s.copyShard(ctx, peers, now, Shard(shard)); err != nil {
					s.Log.Write(event.CopyFailed, event.Fields{"shard": shard, "epoch": p.Epoch, "error": err.Error()})
				}
				return nil
			})
		}
		_ = g.Wait() // What failed is tried again.
	}
	return nil
}

func (s *Store) hasCopied(shard Shard, epoch Epoch) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.whole[shard] == epoch
}

// copyShard copies a shard from a majority of the stores that carry it now,
// whichever answer first. Each of them has refused older writers before it
// answered, so that all that was ever acknowledged is on at least one of them
// or is written here too.
func (s *Store) copyShard(ctx context.Context, peers *wire.Pool, m *Map, shard Shard) error {
	p := m.Placement(shard)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends what goes on when a majority is done.
	answers := make(chan result[int], len(p.Now))
	var g errgroup.Group
	for _, id := range p.Now {
		link := peers.Link(m.Members[id].Address)
		g.Go(func() error {
			n, err := s.copyFrom(ctx, link, CopyRequest{To: id, Shard: shard, Epoch: p.Epoch})
			answers <- result[int]{from: id, reply: n, err: err}
			return nil
		})
	}
	from := map[StoreID]bool{}
	turns := 0
	var failure error
	for range p.Now {
		a := <-answers
		if a.err != nil {
			failure = a.err
			continue
		}
		from[a.from] = true
		turns += a.reply
		if p.EnoughToDeny(func(id StoreID) bool { return from[id] }) {
			s.noteCopied(shard, p.Epoch, len(from), turns)
			return nil
		}
	}
	return failure
}

func (s *Store) noteCopied(shard Shard, epoch Epoch, from, turns int) {
	s.mu.Lock()
	s.whole[shard] = epoch
	s.mu.Unlock()
	s.Log.Write(event.ShardCopied, event.Fields{"shard": shard, "epoch": epoch, "from": from, "turns": turns})
}

func (s *Store) copyFrom(ctx context.Context, link *wire.Link, req CopyRequest) (turns int, err error) {
	for {
		part, err := askStore[CopyRequest, CopyReply](ctx, link, KindCopy, req, copyTimeout)
		if err != nil {
			return turns, err
		}
		if err := s.take(ctx, part); err != nil {
			return turns, err
		}
		turns += len(part.Turns)
		if part.Done {
			return turns, nil
		}
		req.From = part.Next
	}
}

// take makes a part of a copied shard durable. Turns that are here already are
// not written again.
func (s *Store) take(ctx context.Context, part CopyReply) error {
	var records []record
	s.mu.Lock()
	for _, t := range part.Turns {
		if _, ok := s.index.turns[turnKey{t.Account, t.ID}]; !ok {
			records = append(records, record{Turn: &t})
		}
	}
	for _, p := range part.Programs {
		s.index.claim(programKey{p.Account, p.Program}, p.Claims, s.Clock())
		records = append(records, record{Program: &p})
	}
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	return s.save(ctx, records...)
}

// askStore sends one request to a store, waiting for the connection if need be.
func askStore[Req, Resp any](ctx context.Context, link *wire.Link, kind wire.Kind, req Req, timeout time.Duration) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if !link.Await(ctx) {
		var zero Resp
		return zero, types.NewFault(types.CodeUnavailable, "no connection to the store")
	}
	return wire.Call[Req, Resp](ctx, link, kind, req)
}
