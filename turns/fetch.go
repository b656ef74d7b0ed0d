package turns

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// handleList lists the turns of a shard. Like [Store.handleCopy], it fails until
// this store has the map with the epoch of the copy.
func (s *Store) handleList(_ context.Context, req ListRequest) (ListReply, error) {
	s.mu.RLock()
	err := s.checkRequest(req.To, req.Shard, req.Epoch)
	var reply ListReply
	if err == nil {
		for key, t := range s.index.turns {
			if t.shard == req.Shard {
				reply.Turns = append(reply.Turns, ListedTurn{Account: key.account, ID: key.id, Bytes: int(t.location.Length), Age: s.retained.Sub(t.lastUsed)})
			}
		}
	}
	s.mu.RUnlock()
	if err != nil {
		return ListReply{}, err
	}
	reply.Programs = s.shardPrograms(req.Shard)
	return reply, nil
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

// shardCopy fetches the turns of one shard that a store lacks.
type shardCopy struct {
	shardMap *Map
	peers    *wire.Pool
	missing  map[turnKey]*missingTurn
	pace     *copyPace
	// failures counts the failed requests to each source. The source with the fewest is
	// asked next, and among equal ones that from which a part would arrive first.
	failures map[StoreID]int
	// partBytes is the size of a part. It is halved after a failure, since a part
	// may be too large for fetchTimeout over a slow link.
	partBytes int
	fetched   int
}

// missingTurn is a turn that has not been fetched yet.
type missingTurn struct {
	bytes   int
	age     time.Duration // the lowest of its sources
	sources []StoreID
}

func newShardCopy(m *Map, peers *wire.Pool, pace *copyPace) *shardCopy {
	return &shardCopy{shardMap: m, peers: peers, pace: pace, missing: map[turnKey]*missingTurn{}, failures: map[StoreID]int{}, partBytes: maxCopyBytes}
}

// addMissing adds the listed turns that the index lacks, and marks the others
// as used. The caller must hold the lock of the index.
func (c *shardCopy) addMissing(x *index, now types.Mono, source StoreID, list []ListedTurn) {
	for _, t := range list {
		key, age := turnKey{t.Account, t.ID}, max(0, t.Age)
		if x.turns[key] != nil {
			x.markUsed(key, now.Add(-age))
			continue
		}
		m := c.missing[key]
		if m == nil {
			m = &missingTurn{bytes: t.Bytes, age: age}
			c.missing[key] = m
		}
		m.age = min(m.age, age)
		m.sources = append(m.sources, source)
	}
}

// removeReplicated removes the turns that a majority of the given stores has listed.
func (c *shardCopy) removeReplicated(stores []StoreID) {
	for key, m := range c.missing {
		if majority(stores, func(id StoreID) bool { return slices.Contains(m.sources, id) }) {
			delete(c.missing, key)
		}
	}
}

// missingBytes returns the size of the turns that are missing.
func (c *shardCopy) missingBytes() int64 {
	var sum int64
	for _, m := range c.missing {
		sum += int64(m.bytes)
	}
	return sum
}

// fetch fetches one part of the missing turns from the best source, when the pace
// permits. It fails once the best source has failed too often.
func (c *shardCopy) fetch(ctx context.Context, s *Store) error {
	if !c.pace.acquire(ctx) {
		return ctx.Err()
	}
	defer c.pace.release()
	source, refs, size := c.nextPart()
	ended := c.pace.requested(source)
	c.pace.wait(ctx, size)
	req := FetchRequest{To: source, Turns: refs}
	reply, err := callStore[FetchRequest, FetchReply](ctx, c.peers.Link(c.shardMap.Members[source].Address), KindFetch, req, fetchTimeout)
	ended()
	if err != nil {
		c.failures[source]++
		c.partBytes = max(c.partBytes/2, minPartBytes)
		if ctx.Err() != nil || c.failures[source] > maxFetchFailures {
			return err
		}
		return nil
	}
	ages := make([]time.Duration, 0, len(reply.Turns))
	for _, t := range reply.Turns {
		age := time.Duration(0)
		if m := c.missing[turnKey{t.Account, t.ID}]; m != nil {
			age = m.age
		}
		ages = append(ages, age)
	}
	if err := s.persistCopied(ctx, reply.Turns, ages); err != nil {
		return err
	}
	c.fetched += len(reply.Turns)
	before := c.missingBytes()
	c.remove(source, refs, reply.Turns)
	c.pace.addMissing(c.missingBytes() - before)
	return nil
}

// minPartBytes is the size of a part on the slowest links, one or two first turns.
const minPartBytes = 32 << 10

// maxFetchFailures is the number of failed requests to the best source after
// which a copy fails and begins with new lists.
const maxFetchFailures = 4

// nextPart returns the source to ask next and some missing turns that it has.
func (c *shardCopy) nextPart() (source StoreID, refs []TurnRef, size int) {
	counts := map[StoreID]int{}
	for _, m := range c.missing {
		for _, id := range m.sources {
			counts[id]++
		}
	}
	var sources []StoreID
	for id := range counts {
		sources = append(sources, id)
	}
	source = slices.MinFunc(sources, func(a, b StoreID) int {
		return cmp.Or(cmp.Compare(c.failures[a], c.failures[b]), c.pace.compareSources(a, b), cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	for key, m := range c.missing {
		if size < c.partBytes && slices.Contains(m.sources, source) {
			refs = append(refs, TurnRef{Account: key.account, ID: key.id})
			size += m.bytes
		}
	}
	return source, refs, size
}

// remove removes the turns that were fetched from a source. A requested turn
// that the source lacks has expired there since; it is still missing if another
// source has it.
func (c *shardCopy) remove(source StoreID, refs []TurnRef, fetched []Turn) {
	for _, t := range fetched {
		delete(c.missing, turnKey{t.Account, t.ID})
	}
	for _, ref := range refs {
		key := turnKey{ref.Account, ref.ID}
		if m := c.missing[key]; m != nil {
			m.sources = slices.DeleteFunc(m.sources, func(id StoreID) bool { return id == source })
			if len(m.sources) == 0 {
				delete(c.missing, key)
			}
		}
	}
}
