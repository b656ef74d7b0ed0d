package turns

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// storeResult is the outcome of a request to one store.
type storeResult[Resp any] struct {
	store StoreID
	reply Resp
	err   error
}

// encodeRequest returns the encoding of a request to a store in two parts, see
// [wire.CallEncoded]. It may be called for several stores at the same time.
type encodeRequest func(StoreID, Epoch) (head, tail []byte)

// replacedRetry is the pause after which a store is asked again at an address where another one has replied.
const replacedRetry = 3 * time.Second

// callShard sends a request to the stores of a shard and returns the replies
// once a majority has replied. Requests to the other stores continue in the
// background for storeTimeout, unless the turn in them takes too much memory; memory, which may be nil, tells
// when they have ended. If the shard has moved, it starts again with the new placement, until
// ctx ends. If so many stores have no capacity that there can be no majority, it
// returns an overloaded fault at once.
func callShard[Resp any](ctx context.Context, c *Client, shard Shard, kind wire.Kind, newRequest encodeRequest, memory *turnMemory) (map[StoreID]Resp, error) {
	for {
		m := c.Map()
		if len(m.Placement(shard).Current) == 0 {
			if !types.Sleep(ctx, retryInterval) {
				return nil, &quorumError{fault: errNoQuorum, shard: shard}
			}
			continue
		}
		rounds(kind).Inc()
		call := newShardCall[Resp](ctx, c, m, shard, kind, newRequest)
		call.memory = memory
		replies, err := call.run(ctx)
		close(call.ended)
		if memory.keep() {
			time.AfterFunc(storeTimeout, call.cancel)
		} else {
			call.cancel()
		}
		if replies != nil || err != nil {
			return replies, err
		}
	}
}

// shardCall is one request to the stores of a placement. A store has one request of it at
// a time, however late the reply is: a slow store does the work of each request that it
// gets, so repeating those without a reply would slow it further until no reply is in time.
type shardCall[Resp any] struct {
	client     *Client
	shard      Shard
	shardMap   *Map
	placement  Placement
	kind       wire.Kind
	newRequest encodeRequest
	memory     *turnMemory // of the turn in the request; nil without one

	ctx     context.Context //nolint:containedctx // Outlives the call: writes to replicas go on.
	cancel  context.CancelFunc
	stores  []StoreID // in the order in which they get the request; the first sent of them have
	sent    int
	results chan storeResult[Resp]
	ended   chan struct{} // closed when run has returned, after which nobody receives results
	replies map[StoreID]Resp
	// noCapacity is set for the stores whose last result is that they have no capacity, and replaced for
	// those at whose address there is another store, since their disks are lost.
	noCapacity, replaced map[StoreID]bool

	mu     sync.Mutex // guards states
	states map[StoreID]requestState
}

func newShardCall[Resp any](ctx context.Context, c *Client, m *Map, shard Shard, kind wire.Kind, newRequest encodeRequest) *shardCall[Resp] {
	p := m.Placement(shard)
	call := &shardCall[Resp]{
		client: c, shard: shard, shardMap: m, placement: p, kind: kind, newRequest: newRequest,
		stores: c.sortForMove(m, p, c.sortByDistance(m, rotated(p.All(), int(shard)))), results: make(chan storeResult[Resp]), ended: make(chan struct{}),
		replies: map[StoreID]Resp{}, noCapacity: map[StoreID]bool{}, replaced: map[StoreID]bool{},
		states: map[StoreID]requestState{},
	}
	call.ctx, call.cancel = context.WithCancel(context.WithoutCancel(ctx))
	return call
}

// run returns the replies once they are a write quorum, nothing if the shard has moved, and
// a fault if ctx has ended or too many stores have no capacity. It first sends the request
// to the nearest stores, as many as initialRequests returns, and to the others if one of
// these fails or is slow: first to the current ones, and then to those that the shard moves to, if they can help.
func (s *shardCall[Resp]) run(ctx context.Context) (map[StoreID]Resp, error) {
	s.send(initialRequests(s.placement, s.stores, s.kind))
	hedgeDelay := s.client.closeReplies.hedgeDelay(minSettleHedgeDelay, s.stores[s.sent:])
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	mapPoll := time.NewTicker(retryInterval)
	defer mapPoll.Stop()
	for {
		select {
		case result := <-s.results:
			s.noCapacity[result.store], s.replaced[result.store] = isNoCapacity(result.err), isReplaced(result.err)
			if result.err == nil {
				s.replies[result.store] = result.reply
				if s.placement.HasQuorum(func(id StoreID) bool { _, ok := s.replies[id]; return ok }) {
					return s.replies, nil
				}
				continue
			}
			s.sendCurrent()
			if !s.placement.HasQuorum(func(id StoreID) bool { return !s.noCapacity[id] }) {
				return nil, errNoCapacity
			}
		case <-hedge.C:
			if !s.sendCurrent() && s.addedCanHelp() {
				s.send(len(s.stores))
			}
		case <-mapPoll.C:
			if s.hasMoved() {
				return nil, nil //nolint:nilnil // Documented above.
			}
		case <-ctx.Done():
			return nil, s.noQuorum()
		}
	}
}

// hasMoved reports whether the newest map has another placement of the shard.
func (s *shardCall[Resp]) hasMoved() bool {
	m := s.client.Map()
	if m == s.shardMap {
		return false
	}
	p := m.Placement(s.shard)
	return p.Epoch != s.placement.Epoch || !slices.Equal(p.Current, s.placement.Current) || !slices.Equal(p.Next, s.placement.Next)
}

// send sends the request to stores in the background until n of them have got it.
func (s *shardCall[Resp]) send(n int) {
	for ; s.sent < n; s.sent++ {
		id := s.stores[s.sent]
		s.memory.acquire()
		s.client.background.Go(func() error {
			defer s.memory.release()
			s.callStore(id)
			return nil
		})
	}
}

// sendCurrent sends the request to the current stores that have not got it, and reports whether there are any.
func (s *shardCall[Resp]) sendCurrent() bool {
	isAdded := func(id StoreID) bool { return !slices.Contains(s.placement.Current, id) }
	further := slices.Clone(s.stores[s.sent:])
	current := slices.DeleteFunc(slices.Clone(further), isAdded)
	added := slices.DeleteFunc(further, func(id StoreID) bool { return !isAdded(id) })
	s.stores = slices.Concat(s.stores[:s.sent], current, added)
	s.send(s.sent + len(current))
	return len(current) > 0
}

// addedCanHelp reports whether a majority of the current stores might reply that contains no majority of the
// next ones. Otherwise a store that is added is not needed for a quorum, and would write, beside its copies, what
// others are late with: after the loss of two disks of five, all that are left must reply.
func (s *shardCall[Resp]) addedCanHelp() bool {
	p := s.placement
	needed := len(p.Current)/2 + 1 // of stores in both lists
	for _, id := range p.Current {
		if !slices.Contains(p.Next, id) && s.mayReply(id) {
			needed--
		}
	}
	return needed < len(p.Next)/2+1
}

// mayReply reports whether a store has replied, or may: it is connected, and not replaced.
func (s *shardCall[Resp]) mayReply(id StoreID) bool {
	if _, ok := s.replies[id]; ok {
		return true
	}
	address, ok := s.address(id)
	return ok && !s.replaced[id] && s.client.Peers.Link(address).IsConnected()
}

// callStore sends the request to one store until the store replies or the call is canceled.
// It sends it again only if the connection is lost or the store returns an error.
func (s *shardCall[Resp]) callStore(id StoreID) {
	delay := retryInterval
	for s.ctx.Err() == nil {
		address, ok := s.address(id)
		if !ok {
			return
		}
		link := s.client.Peers.Link(address)
		if !link.IsConnected() {
			s.setState(id, NoConnection, nil)
		}
		if !s.waitConnected(link) {
			continue
		}
		startedAt := time.Now()
		s.setState(id, NoReply, nil)
		head, tail := s.newRequest(id, s.placement.Epoch)
		reply, err := wire.CallEncoded[Resp](s.ctx, link, s.kind, head, tail)
		if err == nil {
			s.client.recordReply(s.kind, id, time.Since(startedAt))
		}
		recordRequest(s.kind, startedAt, err)
		if err != nil {
			s.setState(id, Refused, err)
		}
		select {
		case s.results <- storeResult[Resp]{store: id, reply: reply, err: err}:
		case <-s.ended:
		case <-s.ctx.Done():
			return
		}
		if err == nil || isReplaced(err) && !s.awaitAddress(id, address) || !types.Sleep(s.ctx, delay) {
			return
		}
		delay = min(2*delay, maxRetryInterval)
	}
}

// awaitAddress waits until a store has another address than the given one, at which there is another store, for
// up to replacedRetry. It returns false if the call is canceled. Most often the disk of the store is lost, and the other
// store, which copies what was on it, would have to reject each request again.
func (s *shardCall[Resp]) awaitAddress(id StoreID, address string) bool {
	for begin := time.Now(); time.Since(begin) < replacedRetry; {
		if !types.Sleep(s.ctx, retryInterval) {
			return false
		}
		if now, _ := s.address(id); now != address {
			return true
		}
	}
	return true
}

// waitConnected waits until the link is connected. It returns false after maxRetryInterval, since
// the store may have another address by then, or if the call is canceled.
func (s *shardCall[Resp]) waitConnected(link *wire.Link) bool {
	ctx, cancel := context.WithTimeout(s.ctx, maxRetryInterval)
	defer cancel()
	return link.WaitConnected(ctx)
}

// address returns the address of a store. ok is false if the store is no longer known.
func (s *shardCall[Resp]) address(id StoreID) (address string, ok bool) {
	m := s.client.Map()
	if m == nil {
		m = s.shardMap
	}
	member, ok := m.Members[id]
	return member.Address, ok
}

// isNoCapacity reports whether a store has refused a request for lack of capacity.
func isNoCapacity(err error) bool {
	return isFault(err, errNoCapacity)
}

// isReplaced reports whether another store than the requested one has replied.
func isReplaced(err error) bool {
	return isFault(err, errWrongStore)
}

// initialRequests returns the number of stores that a request is sent to at
// once: all of them, or only the first that are a quorum for close requests, since each replica
// of the turn costs traffic and work of the store. During a move the stores also copy.
func initialRequests(p Placement, stores []StoreID, kind wire.Kind) int {
	if kind != KindClose {
		return len(stores)
	}
	for n := range stores {
		if p.HasQuorum(func(id StoreID) bool { return slices.Contains(stores[:n], id) }) {
			return n
		}
	}
	return len(stores)
}

// sortForMove returns the stores sorted stably: first those with a connection that are in both
// lists of a placement, since they count for the quorum of each.
func (c *Client) sortForMove(m *Map, p Placement, ids []StoreID) []StoreID {
	if len(p.Next) == 0 {
		return ids
	}
	order := func(id StoreID) int {
		if slices.Contains(p.Current, id) && slices.Contains(p.Next, id) && c.Peers.Link(m.Members[id].Address).IsConnected() {
			return 0
		}
		return 1
	}
	sorted := slices.Clone(ids)
	slices.SortStableFunc(sorted, func(a, b StoreID) int { return cmp.Compare(order(a), order(b)) })
	return sorted
}
