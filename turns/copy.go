package turns

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// copyInterval is how often a store checks its map for shards to copy.
	copyInterval = 50 * time.Millisecond
	// copyRetryDelay is the pause after a failed copy.
	copyRetryDelay = 100 * time.Millisecond
	// listTimeout limits the wait for a connection over which a shard's turns are listed.
	// After fetchTimeout without turns, another store that has them is asked, so it is well
	// below the 6 s within which all copies must be complete.
	listTimeout  = 2 * time.Second
	fetchTimeout = 700 * time.Millisecond
	// maxReplyTime limits the wait for the reply of a store that is late. It is long, since a
	// store does the work of a request also if that is given up. A connection that breaks ends
	// its requests sooner.
	maxReplyTime = 10 * time.Second
)

// CopiedShards returns the shards that this store has copied completely, with
// the epoch of the move, unless it has ended. The configuration group then ends these moves.
func (s *Store) CopiedShards() map[Shard]Epoch {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copied := map[Shard]Epoch{}
	for shard, epoch := range s.copiedEpochs {
		if s.shardMap.Placement(shard).Epoch == epoch {
			copied[shard] = epoch
		}
	}
	return copied
}

// CopyShards copies the shards that are moving to this store until ctx ends. It
// reaches the other stores through peers. Failed copies are retried, and
// continue where they stopped: turns that are on disk are not fetched again. Copies are
// as slow as [Store.CatchUp] permits.
func (s *Store) CopyShards(ctx context.Context, peers *wire.Pool) error {
	var g errgroup.Group
	pace := newCopyPace(ctx, s.opened, s.CatchUp, s.LinkBytesPerSecond)
	g.SetLimit(pace.maxShards())
	s.mu.Lock()
	s.copier = &copier{peers: peers, pace: pace, adopting: map[turnKey]chan struct{}{}}
	s.mu.Unlock()
	copies := runningCopies{}
	for types.Sleep(ctx, copyInterval) {
		s.mu.RLock()
		shardMap := s.shardMap
		s.mu.RUnlock()
		if shardMap == nil {
			continue
		}
		for i, p := range shardMap.Shards {
			copies.cancelOlder(Shard(i), p.Epoch)
		}
		for _, shard := range s.shardsToCopy(shardMap, peers) {
			p := shardMap.Placement(shard)
			copyCtx, ok := copies.begin(ctx, shard, p.Epoch)
			if !ok {
				continue
			}
			started := g.TryGo(func() error {
				defer copies.end(shard)
				if err := s.copyShard(copyCtx, peers, pace, shardMap, shard); err != nil && copyCtx.Err() == nil {
					s.Log.Write(event.CopyFailed, event.Fields{"shard": shard, "epoch": p.Epoch, "error": err.Error()})
					types.Sleep(copyCtx, copyRetryDelay)
				}
				return nil
			})
			if !started {
				copies.end(shard)
			}
		}
	}
	_ = g.Wait() // The goroutines return no errors.
	return pace.group.Wait()
}

// shardsToCopy returns the shards that are moving to this store and not copied yet, those with the least slack first.
func (s *Store) shardsToCopy(m *Map, peers *wire.Pool) []Shard {
	slacks := map[Shard]slack{}
	for i, p := range m.Shards {
		if shard := Shard(i); slices.Contains(p.Next, s.id) && !slices.Contains(p.Current, s.id) && !s.hasCopied(shard, p.Epoch) {
			slacks[shard] = slackOf(m, shard, s.id, peers)
		}
	}
	return slices.SortedFunc(maps.Keys(slacks), func(a, b Shard) int { return cmp.Or(cmp.Compare(slacks[a], slacks[b]), cmp.Compare(a, b)) })
}

// runningCopies are the copies that a store makes, at most one of each shard. It is safe for
// concurrent use.
type runningCopies struct {
	mu     sync.Mutex
	copies map[Shard]runningCopy
}

type runningCopy struct {
	epoch  Epoch
	cancel context.CancelFunc
}

// begin returns the context of a copy. ok is false if the shard is already being copied.
func (r *runningCopies) begin(ctx context.Context, shard Shard, epoch Epoch) (copyCtx context.Context, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, running := r.copies[shard]; running {
		return nil, false
	}
	if r.copies == nil {
		r.copies = map[Shard]runningCopy{}
	}
	copyCtx, cancel := context.WithCancel(ctx)
	r.copies[shard] = runningCopy{epoch: epoch, cancel: cancel}
	return copyCtx, true
}

// cancelOlder cancels the copy of a shard if its move is not the present one. It would only
// delay the next copy.
func (r *runningCopies) cancelOlder(shard Shard, epoch Epoch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if running, ok := r.copies[shard]; ok && running.epoch != epoch {
		running.cancel()
	}
}

func (r *runningCopies) end(shard Shard) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copies[shard].cancel()
	delete(r.copies, shard)
}

func (s *Store) hasCopied(shard Shard, epoch Epoch) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.copiedEpochs[shard] == epoch
}

// copyShard copies a shard from the first majority of its current stores that
// lists its turns. Before its first reply, each of them has the map of the move,
// and from then on acknowledges no write of an older epoch, not even one that it
// accepted before. So every acknowledged write is in the index of at least one of
// them before it replies, or is also sent to this store. Each turn is fetched
// from one of the stores that list it, unless a majority of the next stores lists it or has adopted
// it: it is then on as many of them as any acknowledged write.
func (s *Store) copyShard(ctx context.Context, peers *wire.Pool, pace *copyPace, m *Map, shard Shard) error {
	p := m.Placement(shard)
	startedAt := time.Now()
	c := newShardCopy(m, shard, s.id, peers, pace)
	pace.begin()
	defer func() { pace.end(c.missingBytes()) }()
	sources, err := s.listMissing(ctx, c, shard)
	if err != nil {
		return err
	}
	listedAt := time.Now()
	for len(c.missing) > 0 {
		c.requestAdoptions(ctx, shard)
		if err := c.fetch(ctx, s); err != nil {
			return err
		}
	}
	if err := c.awaitWrites(ctx); err != nil {
		return err
	}
	copySeconds.UpdateDuration(startedAt)
	s.markCopied(shard, p.Epoch, event.Fields{
		"from": sources, "turns": c.fetched, "bytes": c.fetchedBytes, "adoptedTurns": c.adoptedTurns, "adoptedBytes": c.adoptedBytes, "listMs": listedAt.Sub(startedAt).Milliseconds(), "tookMs": time.Since(startedAt).Milliseconds(), "sinceStartMs": time.Since(s.opened).Milliseconds(),
	})
	return nil
}

// listMissing adds the turns that this store needs of a shard to c, and returns the
// number of stores that have listed theirs. It writes the claims that they have.
func (s *Store) listMissing(ctx context.Context, c *shardCopy, shard Shard) (sources int, err error) {
	if !c.pace.acquire(ctx, c.slack()) {
		return 0, ctx.Err()
	}
	defer c.pace.release()
	lists, err := s.listShard(ctx, c.peers, c.shardMap, shard)
	if err != nil {
		return 0, err
	}
	for id, list := range lists {
		c.write(func(ctx context.Context) error { return s.persistPrograms(ctx, c.slack(), list.Programs) })
		s.mu.Lock()
		c.addMissing(&s.index, s.retained, id, list.Turns)
		s.mu.Unlock()
	}
	c.removeReplicated(c.shardMap.Placement(shard).Next)
	c.sortMissing()
	c.assign(c.shardMap.Placement(shard))
	c.pace.addMissing(c.missingBytes())
	return len(lists), nil
}

// furtherListWait is how long a copy waits for the lists of further stores after a majority has
// replied. A store that is not waited for may have turns that a majority of the next stores has
// with it, which would be fetched for nothing, and after a shard was formed anew it may be the only
// one that has a turn.
const furtherListWait = 500 * time.Millisecond

// listShard requests the list of a shard's turns from its current stores and
// returns the replies of a majority, and those that follow within furtherListWait. If the shard
// was formed anew, it also requests those of the next stores, which may have copied turns that no
// current store has.
func (s *Store) listShard(ctx context.Context, peers *wire.Pool, m *Map, shard Shard) (map[StoreID]ListReply, error) {
	p := m.Placement(shard)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // Ends the requests whose replies are no longer of use.
	sources := p.Current
	if p.ReformedAt != 0 {
		sources = slices.DeleteFunc(p.All(), func(id StoreID) bool { return id == s.id })
	}
	results := make(chan storeResult[ListReply], len(sources))
	var g errgroup.Group
	for _, id := range sources {
		link := peers.Link(m.Members[id].Address)
		g.Go(func() error {
			req := ListRequest{To: id, Shard: shard, Epoch: p.Epoch}
			reply, err := callStore[ListRequest, ListReply](ctx, link, KindList, req, listTimeout, maxReplyTime)
			if types.IsCode(err, types.CodeBadRequest) {
				reply, err = s.copyFromEarlierBuild(ctx, link, slackOf(m, shard, s.id, peers), CopyRequest{To: id, Shard: shard, Epoch: p.Epoch})
			}
			results <- storeResult[ListReply]{store: id, reply: reply, err: err}
			return nil
		})
	}
	lists := map[StoreID]ListReply{}
	complete := func() bool { return p.HasCopyQuorum(func(id StoreID) bool { _, ok := lists[id]; return ok }) }
	var lastErr error
	var waited <-chan time.Time // nil until a majority has replied
	pending := slices.Clone(sources)
	for len(pending) > 0 {
		select {
		case result := <-results:
			pending = slices.DeleteFunc(pending, func(id StoreID) bool { return id == result.store })
			if result.err != nil {
				lastErr = result.err
				continue
			}
			lists[result.store] = result.reply
		case <-waited:
			return lists, nil
		}
		if waited == nil && complete() {
			waited = time.After(furtherListWait)
			pending = slices.DeleteFunc(pending, func(id StoreID) bool { return !peers.Link(m.Members[id].Address).IsConnected() })
		}
	}
	if complete() {
		return lists, nil
	}
	return nil, lastErr
}

// markCopied records and logs that a shard was copied completely. fields tell how.
func (s *Store) markCopied(shard Shard, epoch Epoch, fields event.Fields) {
	s.mu.Lock()
	s.copiedEpochs[shard] = epoch
	s.mu.Unlock()
	fields["shard"], fields["epoch"] = shard, epoch
	s.Log.Write(event.ShardCopied, fields)
}

// copyFromEarlierBuild copies all turns from a store that cannot list them. The
// list that it returns is empty, since nothing is missing any more.
func (s *Store) copyFromEarlierBuild(ctx context.Context, link *wire.Link, of slack, req CopyRequest) (ListReply, error) {
	for {
		part, err := callStore[CopyRequest, CopyReply](ctx, link, KindCopy, req, listTimeout, maxReplyTime)
		if err != nil {
			return ListReply{}, err
		}
		if err := s.persistPrograms(ctx, of, part.Programs); err != nil {
			return ListReply{}, err
		}
		ages := map[turnKey]time.Duration{}
		for i, t := range part.Turns[:min(len(part.Turns), len(part.Ages))] {
			ages[turnKey{t.Account, t.ID}] = part.Ages[i]
		}
		if err := s.persistCopied(ctx, of, part.Turns, ages); err != nil || part.Done {
			return ListReply{}, err
		}
		req.From = part.Next
	}
}

// persistCopied makes copied turns with the given ages durable. Turns that this
// store already has are not written again.
func (s *Store) persistCopied(ctx context.Context, of slack, turns []Turn, ages map[turnKey]time.Duration) error {
	var records []record
	s.mu.Lock()
	for _, t := range turns {
		key := turnKey{t.Account, t.ID}
		if s.index.hasTurn(t) {
			s.index.markUsed(key, s.retained.Add(-ages[key]))
			continue
		}
		records = append(records, record{Turn: &t, age: ages[key]})
	}
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	return s.enqueueCopies(ctx, of, records)
}

// persistPrograms makes the claims of copied programs durable.
func (s *Store) persistPrograms(ctx context.Context, of slack, programs []Program) error {
	var records []record
	s.mu.Lock()
	for _, p := range programs {
		s.index.addClaims(programKey{p.Account, p.Program}, p.Claims, s.retained)
		records = append(records, record{Program: &p})
	}
	s.mu.Unlock()
	if len(records) == 0 {
		return nil
	}
	return s.enqueueCopies(ctx, of, records)
}

// callStore sends one request to a store and returns the reply. It waits for a
// connection, for connectTimeout, if there is none, and then for the reply, for replyTimeout.
func callStore[Req, Resp any](ctx context.Context, link *wire.Link, kind wire.Kind, req Req, connectTimeout, replyTimeout time.Duration) (Resp, error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	connected := link.WaitConnected(connectCtx)
	cancel()
	if !connected {
		var zero Resp
		return zero, types.NewFault(types.CodeUnavailable, "no connection to the store")
	}
	ctx, cancel = context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	return wire.Call[Req, Resp](ctx, link, kind, req)
}
