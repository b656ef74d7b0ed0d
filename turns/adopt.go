package turns

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/wire"
)

// A turn that lacks one store for a majority of the next stores need not be fetched by the store that
// the shard moves to. Any of the next stores that lacks it can adopt it: fetch it from one that has it.
// So the copies of a lost disk arrive over the links of all stores of its shards, and not only over
// that of the store which takes its place.

const (
	// adoptTimeout is how long a store may take to adopt a part, with the sync of a slow disk. Then
	// the store that copies fetches the turns itself.
	adoptTimeout = 3 * time.Second
	// maxAdoptions is how many parts of a shard one store adopts at a time: each waits for its fetch and
	// for the sync.
	maxAdoptions = 4
	// ownCopy stands for the store that copies, among those that may fetch a turn.
	ownCopy StoreID = ""
)

var adoptedTotal = metrics.NewCounter("banyanspur_turns_adopted_total")

// copier is what a store needs to fetch turns.
type copier struct {
	peers *wire.Pool
	pace  *copyPace
	// adopting holds a channel for each turn that is being adopted, which is closed at the end. The
	// mutex of the store guards it.
	adopting map[turnKey]chan struct{}
}

// handleAdopt fetches turns from another store, and replies once all that it has are durable.
func (s *Store) handleAdopt(ctx context.Context, req AdoptRequest) (AdoptReply, error) {
	s.awaitMap(ctx, req.To, req.Shard, req.Epoch)
	wanted, pending, err := s.beginAdoption(req)
	if err != nil {
		return AdoptReply{}, err
	}
	var fetched bool
	if len(wanted) > 0 {
		fetched, err = s.adopt(ctx, req.Shard, req.Source, wanted)
		s.endAdoption(wanted)
	}
	if err != nil {
		return AdoptReply{}, err
	}
	for _, done := range pending {
		select {
		case <-done:
		case <-ctx.Done():
			return AdoptReply{}, ctx.Err()
		}
	}
	var reply AdoptReply
	s.mu.RLock()
	defer s.mu.RUnlock()
	for i, t := range req.Turns {
		switch {
		case s.index.turns[turnKey{t.Account, t.ID}] != nil:
		case fetched && slices.Contains(wanted, t):
			reply.Lacking = append(reply.Lacking, i)
		default:
			reply.Unfinished = append(reply.Unfinished, i)
		}
	}
	return reply, nil
}

// beginAdoption returns the turns of a request that this store lacks and nobody adopts yet, which it
// records as being adopted, and channels that are closed when the others that it lacks are.
func (s *Store) beginAdoption(req AdoptRequest) (wanted []ListedTurn, pending []chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRequest(req.To, req.Shard, req.Epoch); err != nil {
		return nil, nil, err
	}
	if s.copier == nil || s.usedShare() >= turnShare {
		return nil, nil, errNoCapacity
	}
	for _, t := range req.Turns {
		key := turnKey{t.Account, t.ID}
		switch done := s.copier.adopting[key]; {
		case s.index.turns[key] != nil:
			s.index.markUsed(key, s.retained.Add(-max(0, t.Age)))
		case done != nil:
			pending = append(pending, done)
		default:
			s.copier.adopting[key] = make(chan struct{})
			wanted = append(wanted, t)
		}
	}
	return wanted, pending, nil
}

func (s *Store) endAdoption(list []ListedTurn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range list {
		key := turnKey{t.Account, t.ID}
		close(s.copier.adopting[key])
		delete(s.copier.adopting, key)
	}
}

// adopt fetches turns from a store and makes them durable. fetched is false if that store has not replied.
func (s *Store) adopt(ctx context.Context, shard Shard, source StoreID, list []ListedTurn) (fetched bool, err error) {
	s.mu.RLock()
	address := s.shardMap.Members[source].Address
	of := slackOf(s.shardMap, shard, s.id, s.copier.peers)
	s.mu.RUnlock()
	req := FetchRequest{To: source}
	ages, size := map[turnKey]time.Duration{}, 0
	for _, t := range list {
		req.Turns = append(req.Turns, TurnRef{Account: t.Account, ID: t.ID})
		ages[turnKey{t.Account, t.ID}] = max(0, t.Age)
		size += t.Bytes
	}
	pace := s.copier.pace
	if !pace.acquire(ctx, of) {
		return false, ctx.Err()
	}
	defer pace.release()
	pace.waitLink(ctx, of, size)
	reply, err := callStore[FetchRequest, FetchReply](ctx, s.copier.peers.Link(address), KindFetch, req, fetchTimeout, adoptTimeout/2)
	if err != nil {
		return false, nil //nolint:nilerr // Documented above.
	}
	written, err := pace.acquireWrite(ctx, of, reply.dataBytes())
	if err != nil {
		return false, err
	}
	defer written()
	adoptedTotal.Add(len(reply.Turns))
	return true, s.persistCopied(ctx, of, reply.Turns, ages)
}

// adoptResult is the outcome of a request to adopt turns from a source.
type adoptResult struct {
	storeResult[AdoptReply]
	refs   []TurnRef
	source StoreID
}

// assign decides which store fetches each missing turn of a shard: a turn that lacks one store for a
// majority of the next ones is adopted by one of those that have been in the shard, or fetched by this
// one, all in equal parts. If further stores copy the shard, each of them would fetch what this one does,
// so the others adopt all of it. Stores that copy the same shard choose alike.
func (c *shardCopy) assign(p Placement) {
	needed, added := len(p.Next)/2+1, 0
	for _, id := range p.Next {
		if !slices.Contains(p.Current, id) {
			added++
		} else if c.peers.Link(c.shardMap.Members[id].Address).IsConnected() {
			c.adopters = append(c.adopters, id)
		}
	}
	for _, key := range c.order {
		m, holders := c.missing[key], 0
		for _, id := range p.Next {
			if slices.Contains(m.sources, id) {
				holders++
			}
		}
		if holders != needed-1 {
			continue
		}
		choices := slices.DeleteFunc(slices.Clone(c.adopters), func(id StoreID) bool { return slices.Contains(m.sources, id) })
		if added == 1 || len(choices) == 0 {
			choices = append(choices, ownCopy)
		}
		m.fetcher = slices.MaxFunc(choices, func(a, b StoreID) int { return cmp.Compare(key.hashWith(a), key.hashWith(b)) })
		if m.fetcher != ownCopy {
			c.toAdopt[m.fetcher] = append(c.toAdopt[m.fetcher], key)
		}
	}
}

// hashWith returns a hash of the turn and a store.
func (k turnKey) hashWith(id StoreID) uint64 {
	return xxhash.Sum64String(string(k.account) + "/" + string(k.id) + "/" + string(id))
}

// requestAdoptions requests parts of the adopters that have turns to adopt, up to maxAdoptions of each.
func (c *shardCopy) requestAdoptions(ctx context.Context, shard Shard) {
	for range maxAdoptions {
		for _, adopter := range slices.Clone(c.adopters) {
			if c.adoptions[adopter] < maxAdoptions {
				c.requestAdoption(ctx, shard, adopter)
			}
		}
	}
}

// requestAdoption requests one part of an adopter, if it has turns to adopt, when the pace permits.
func (c *shardCopy) requestAdoption(ctx context.Context, shard Shard, adopter StoreID) {
	req := AdoptRequest{To: adopter, Shard: shard, Epoch: c.shardMap.Placement(shard).Epoch}
	size := 0
	var refs []TurnRef
	var rest []turnKey // that the source does not have
	queue := c.toAdopt[adopter]
	for ; len(queue) > 0 && size < maxCopyBytes; queue = queue[1:] {
		key := queue[0]
		m := c.missing[key]
		if m == nil {
			continue
		}
		if req.Source == "" {
			req.Source = slices.MinFunc(m.sources, func(a, b StoreID) int {
				return cmp.Or(cmp.Compare(c.failures[a], c.failures[b]), c.pace.compareSources(a, b))
			})
		}
		if !slices.Contains(m.sources, req.Source) {
			rest = append(rest, key)
			continue
		}
		refs = append(refs, TurnRef{Account: key.account, ID: key.id})
		req.Turns = append(req.Turns, ListedTurn{Account: key.account, ID: key.id, Bytes: m.bytes, Age: m.age})
		size += m.bytes
	}
	c.toAdopt[adopter] = append(rest, queue...)
	if len(refs) == 0 {
		return
	}
	c.adoptions[adopter]++
	c.setRequested(refs, true)
	c.pace.wait(ctx, c.slack(), size)
	link, arrived := c.peers.Link(c.shardMap.Members[adopter].Address), c.pace.requested(req.Source)
	c.pace.group.Go(func() error {
		reply, err := callStore[AdoptRequest, AdoptReply](c.pace.ctx, link, KindAdopt, req, fetchTimeout, adoptTimeout)
		arrived()
		// Has room for all requests to all stores.
		c.adopted <- adoptResult{storeResult[AdoptReply]{store: adopter, reply: reply, err: err}, refs, req.Source}
		return nil
	})
}

// receiveAdoption handles the end of a request to adopt turns.
func (c *shardCopy) receiveAdoption(result adoptResult) {
	c.adoptions[result.store]--
	c.setRequested(result.refs, false)
	if result.err != nil {
		c.dropAdopter(result.store)
		return
	}
	before := c.missingBytes()
	for i, ref := range result.refs {
		key := turnKey{ref.Account, ref.ID}
		m := c.missing[key]
		switch {
		case m == nil:
		case slices.Contains(result.reply.Lacking, i):
			m.fetcher = ownCopy
			c.removeSource(key, result.source)
		case slices.Contains(result.reply.Unfinished, i):
			m.fetcher = ownCopy
		default:
			c.adoptedTurns++
			c.adoptedBytes += m.bytes
			delete(c.missing, key)
		}
	}
	if len(result.reply.Unfinished) > 0 {
		c.failures[result.source]++
	}
	c.pace.addMissing(c.missingBytes() - before)
}

// dropAdopter lets this store fetch the turns that another one would have adopted: it is late, has
// failed, or runs an earlier build.
func (c *shardCopy) dropAdopter(id StoreID) {
	c.adopters = slices.DeleteFunc(c.adopters, func(other StoreID) bool { return other == id })
	delete(c.toAdopt, id)
	for _, m := range c.missing {
		if m.fetcher == id {
			m.fetcher = ownCopy
		}
	}
}
