package turns

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/wire"
)

// handleList lists the turns of a shard. Like [Store.handleCopy], it fails unless this store has
// the map with the epoch of the copy, for which it waits a moment.
func (s *Store) handleList(ctx context.Context, req ListRequest) (ListReply, error) {
	s.awaitMap(ctx, req.To, req.Shard, req.Epoch)
	turns, err := s.listTurns(req)
	if err != nil {
		return ListReply{}, err
	}
	return ListReply{Turns: turns, Programs: s.shardPrograms(req.Shard)}, nil
}

func (s *Store) listTurns(req ListRequest) ([]ListedTurn, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if err := s.checkRequest(req.To, req.Shard, req.Epoch); err != nil {
		return nil, err
	}
	var turns []ListedTurn
	for key, t := range s.index.turns {
		if t.shard == req.Shard {
			turns = append(turns, ListedTurn{Account: key.account, ID: key.id, Bytes: int(t.location.Length), Age: s.retained.Sub(t.lastUsed)})
		}
	}
	return turns, nil
}

// handleFetch returns the turns of the request that this store has.
func (s *Store) handleFetch(_ context.Context, req FetchRequest) (FetchReply, error) {
	var reply FetchReply
	if req.To != s.id {
		return reply, errWrongStore
	}
	for _, ref := range req.Turns {
		t, ok, err := s.readTurn(turnKey{ref.Account, ref.ID})
		if err != nil {
			return FetchReply{}, err
		}
		if ok {
			reply.Turns = append(reply.Turns, t)
		}
	}
	return reply, nil
}

// shardCopy fetches the turns of one shard that a store lacks. Only the goroutine of the copy
// uses its fields.
type shardCopy struct {
	shard    Shard
	store    StoreID // that copies
	shardMap *Map
	peers    *wire.Pool
	missing  map[turnKey]*missingTurn
	// order holds the keys of missing in the order in which they are fetched, see sortMissing, in case the
	// copy is not complete before another disk is lost. It may hold turns that are no longer missing.
	order []turnKey
	pace  *copyPace
	// failures counts the failed and late requests to each source. The source with the fewest
	// is asked next, and among equal ones that from which a part would arrive first.
	failures map[StoreID]int
	// failed is the number of requests that have failed since the last reply.
	failed int
	// requests are those without a reply, at most one to each source. A source that is late
	// does the work of each request that it gets, so that it would be later still if they were
	// given up and repeated.
	requests map[StoreID]*fetchRequest
	results  chan fetchResult
	// writes get the outcomes of the writes of what was listed and fetched. The copy goes on
	// meanwhile, and is complete once all have ended without an error.
	writes []<-chan error
	// partBytes is the size of a part. It is halved after a failed or late request, since a
	// part may be too large for fetchTimeout over a slow link, and doubled by one in time.
	partBytes int
	// fetched and fetchedBytes count the turns that were fetched, and their inputs and outputs.
	fetched, fetchedBytes int

	// adopters are the stores that may adopt turns. adoptions are the numbers of requests to them
	// without a reply.
	adopters  []StoreID
	adoptions map[StoreID]int
	// toAdopt holds the turns that each adopter is yet to be asked for, in the order in which they are
	// fetched.
	toAdopt map[StoreID][]turnKey
	adopted chan adoptResult
	// adoptedTurns and adoptedBytes count the turns that others have adopted, and the sizes of their
	// records.
	adoptedTurns, adoptedBytes int
}

// fetchRequest is a request for a part that has no reply yet.
type fetchRequest struct {
	refs   []TurnRef
	lateAt time.Time
	late   bool // the turns may be requested from other sources, too
}

// fetchResult is the outcome of a request for a part, whose turns are written in the background.
type fetchResult struct {
	storeResult[FetchReply]
	written <-chan error
}

func newShardCopy(m *Map, shard Shard, store StoreID, peers *wire.Pool, pace *copyPace) *shardCopy {
	return &shardCopy{
		shard: shard, store: store, shardMap: m, peers: peers, pace: pace, missing: map[turnKey]*missingTurn{}, failures: map[StoreID]int{},
		requests: map[StoreID]*fetchRequest{}, results: make(chan fetchResult, len(m.Members)), partBytes: maxCopyBytes,
		adoptions: map[StoreID]int{}, toAdopt: map[StoreID][]turnKey{}, adopted: make(chan adoptResult, maxAdoptions*len(m.Members)),
	}
}

// slack returns the slack of the shard now.
func (c *shardCopy) slack() slack { return slackOf(c.shardMap, c.shard, c.store, c.peers) }

// fetch requests one part of the missing turns from the best source, when the pace permits, if
// there are any that no request is under way for, and waits until a request has ended or is
// late. It fails once too many requests in a row have failed.
func (c *shardCopy) fetch(ctx context.Context, s *Store) error {
	if _, ok := c.nextSource(); ok {
		if !c.pace.acquire(ctx, c.slack()) {
			return ctx.Err()
		}
		source, _ := c.nextSource() // Others may have become faster meanwhile.
		refs, size := c.nextPart(source)
		c.pace.wait(ctx, c.slack(), size)
		if c.pace.waitLink(ctx, c.slack(), size); ctx.Err() != nil {
			c.pace.release()
			return ctx.Err()
		}
		c.request(s, source, refs)
	}
	timer := time.NewTimer(time.Until(c.nextLate()))
	defer timer.Stop()
	select {
	case result := <-c.results:
		return c.receive(result)
	case result := <-c.adopted:
		c.receiveAdoption(result)
		return nil
	case now := <-timer.C:
		c.markLate(now)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// request requests turns from a source in the background, and ends what acquire has begun when
// the reply has arrived and there is room for it before the disk, or is late. What arrives is written
// also if the copy has ended meanwhile, since the next one of the shard needs it as well.
func (c *shardCopy) request(s *Store, source StoreID, refs []TurnRef) {
	c.requests[source] = &fetchRequest{refs: refs, lateAt: time.Now().Add(fetchTimeout)}
	c.setRequested(refs, true)
	ages := map[turnKey]time.Duration{}
	for _, ref := range refs {
		key := turnKey{ref.Account, ref.ID}
		ages[key] = c.missing[key].age
	}
	link, arrived := c.peers.Link(c.shardMap.Members[source].Address), c.pace.requested(source)
	release := sync.OnceFunc(c.pace.release)
	late := time.AfterFunc(fetchTimeout, release)
	written := make(chan error, 1)
	c.pace.group.Go(func() error {
		ctx := c.pace.ctx
		reply, err := callStore[FetchRequest, FetchReply](ctx, link, KindFetch, FetchRequest{To: source, Turns: refs}, fetchTimeout, maxReplyTime)
		arrived()
		var writeEnded func()
		if err == nil {
			writeEnded, err = c.pace.acquireWrite(ctx, c.slack(), reply.dataBytes())
		}
		late.Stop()
		release()
		c.results <- fetchResult{storeResult[FetchReply]{store: source, reply: reply, err: err}, written} // Has room for one of each source.
		if err == nil {
			written <- s.persistCopied(ctx, c.slack(), reply.Turns, ages)
			writeEnded()
		}
		return nil
	})
}

// dataBytes returns the size of the inputs and outputs of a reply.
func (r FetchReply) dataBytes() (n int) {
	for _, t := range r.Turns {
		n += t.dataBytes()
	}
	return n
}

// write performs a write of the copy in the background.
func (c *shardCopy) write(do func(ctx context.Context) error) {
	written := make(chan error, 1)
	c.writes = append(c.writes, written)
	c.pace.group.Go(func() error {
		written <- do(c.pace.ctx)
		return nil
	})
}

// awaitWrites waits until all that was listed and fetched is durable.
func (c *shardCopy) awaitWrites(ctx context.Context) error {
	for _, written := range c.writes {
		select {
		case err := <-written:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// setRequested records of missing turns whether a request for them is under way that is not
// late.
func (c *shardCopy) setRequested(refs []TurnRef, requested bool) {
	for _, ref := range refs {
		if m := c.missing[turnKey{ref.Account, ref.ID}]; m != nil {
			m.requested = requested
		}
	}
}

// nextLate returns when the next request will be late, or the end of the longest wait for a
// reply if all of them are.
func (c *shardCopy) nextLate() time.Time {
	next := time.Now().Add(maxReplyTime)
	for _, r := range c.requests {
		if !r.late && r.lateAt.Before(next) {
			next = r.lateAt
		}
	}
	return next
}

// markLate marks the requests that are late, whose turns may then be requested from other
// sources. Their replies count nevertheless.
func (c *shardCopy) markLate(now time.Time) {
	for source, r := range c.requests {
		if !r.late && !r.lateAt.After(now) {
			r.late = true
			c.setRequested(r.refs, false)
			c.slowDown(source)
		}
	}
}

// slowDown records a failed or late request to a source.
func (c *shardCopy) slowDown(source StoreID) {
	c.failures[source]++
	c.partBytes = max(c.partBytes/2, minPartBytes)
}

// receive handles the end of a request.
func (c *shardCopy) receive(result fetchResult) error {
	r := c.requests[result.store]
	delete(c.requests, result.store)
	if !r.late { // Otherwise another request for them may be under way.
		c.setRequested(r.refs, false)
	}
	if result.err != nil {
		if !r.late {
			c.slowDown(result.store)
		}
		if c.failed++; c.failed > maxFetchFailures {
			return result.err
		}
		return nil
	}
	c.failed = 0
	c.writes = append(c.writes, result.written)
	if !r.late {
		c.partBytes = min(2*c.partBytes, maxCopyBytes)
	}
	c.fetched += len(result.reply.Turns)
	c.fetchedBytes += result.reply.dataBytes()
	before := c.missingBytes()
	c.remove(result.store, r.refs, result.reply.Turns)
	c.pace.addMissing(c.missingBytes() - before)
	return nil
}

// minPartBytes is the size of a part on the slowest links, one or two first turns.
const minPartBytes = 32 << 10

// maxFetchFailures is the number of failed requests in a row after which a copy fails and begins
// with new lists.
const maxFetchFailures = 4

// nextSource returns the source to ask next. ok is false if there is none: requests to all
// sources of what is missing are under way.
func (c *shardCopy) nextSource() (source StoreID, ok bool) {
	counts := map[StoreID]int{}
	for _, m := range c.missing {
		if m.requested || m.fetcher != ownCopy {
			continue
		}
		for _, id := range m.sources {
			if c.requests[id] == nil {
				counts[id]++
			}
		}
	}
	if len(counts) == 0 {
		return "", false
	}
	return slices.MinFunc(slices.Collect(maps.Keys(counts)), func(a, b StoreID) int {
		return cmp.Or(cmp.Compare(c.failures[a], c.failures[b]), c.pace.compareSources(a, b), cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	}), true
}

// nextPart returns the next missing turns that a source has, and their size.
func (c *shardCopy) nextPart(source StoreID) (refs []TurnRef, size int) {
	for _, key := range c.order {
		m := c.missing[key]
		if size < c.partBytes && m != nil && !m.requested && m.fetcher == ownCopy && slices.Contains(m.sources, source) {
			refs = append(refs, TurnRef{Account: key.account, ID: key.id})
			size += m.bytes
		}
	}
	return refs, size
}

// remove removes the turns that were fetched from a source. A requested turn
// that the source lacks has expired there since; it is still missing if another
// source has it.
func (c *shardCopy) remove(source StoreID, refs []TurnRef, fetched []Turn) {
	for _, t := range fetched {
		delete(c.missing, turnKey{t.Account, t.ID})
	}
	for _, ref := range refs {
		c.removeSource(turnKey{ref.Account, ref.ID}, source)
	}
}
