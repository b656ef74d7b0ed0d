package turns

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Client reads turns from the stores and writes turns and claims to them. Set
// the exported fields before use. Its methods are safe for concurrent use.
type Client struct {
	// Peers provides the connections to the stores.
	Peers *wire.Pool
	// Map returns the newest map, or nil.
	Map func() *Map
	// Zone is the client's availability zone. The stores in it are contacted
	// first.
	Zone types.ZoneID
	// CacheBytes limits the memory of the turn cache. The default is 8 MiB.
	CacheBytes int
	// Clock measures the age of cached turns. The default is a clock that starts
	// with the first use.
	Clock types.Clock

	clockOnce sync.Once
	cache     cache
	// chainReplies and closeReplies set when slow stores are not waited for any longer.
	chainReplies, closeReplies replyTimes
	admission                  admission
	// background runs the requests to stores, some of which continue after a
	// majority has replied.
	background errgroup.Group
	lateBytes  atomic.Int64 // 0 <= lateBytes; see maxLateBytes
}

const (
	// storeTimeout limits the requests to a store that may fail without harm: those that are
	// still without a reply when the others suffice.
	storeTimeout = 500 * time.Millisecond
	// minSettleHedgeDelay is the shortest time after which a turn is also sent to the
	// stores beyond a majority. Sending it to them at once would double the traffic
	// between zones, for replicas beyond those needed to tolerate the configured losses.
	minSettleHedgeDelay = 40 * time.Millisecond
	// retryInterval is how long the client waits for a newer map, or for stores
	// to recover, before it retries a request to a shard.
	retryInterval = 30 * time.Millisecond
	// maxRetryInterval is the longest pause between two requests to a store that fail.
	maxRetryInterval = 8 * retryInterval
)

// Faults that the client returns.
var (
	errNoQuorum = types.NewFault(types.CodeUnavailable, "no majority of the shard's stores replied").WithRetryAfter(time.Second)
	// errTurnNotFound is only returned after a majority of the stores of every
	// shard has replied that it lacks the turn, and if no shard has lost turns.
	errTurnNotFound = types.NewFault(types.CodeNotFound, "there is no such turn of this account")
	// errTurnMayBeLost is returned for a turn that no store has while the turns of a shard
	// that was formed anew may have been lost. It has no retry delay, since the stores
	// that replied will not have the turn later.
	errTurnMayBeLost = types.NewFault(types.CodeUnavailable, "no store has the turn, which may have been lost with the disks of its stores")
)

// Settle is [Client.SettleOn] for callers that do not need to know the stores.
func (c *Client) Settle(ctx context.Context, b Budget, used types.Tokens, t *Turn) error {
	_, err := c.SettleOn(ctx, b, used, t, nil)
	return err
}

// SettleOn reports how many tokens an attempt has generated, and writes the turn
// t that it produced unless t is nil. It returns once both are on disk on a
// majority of the shard's stores, with the hosts of these. It retries until ctx ends.
//
// Requests to the other stores may go on for storeTimeout, or until the connection to a store ends that has
// received a part of one. released, if not nil, is called once, when no request uses t and its encoding any
// longer, perhaps after SettleOn has returned. Only the cache may keep t then.
func (c *Client) SettleOn(ctx context.Context, b Budget, used types.Tokens, t *Turn, released func()) ([]types.HostID, error) {
	memory := c.newTurnMemory(t, released)
	defer memory.release()
	req := CloseRequest{
		Shard: ShardOf(b.Account, b.Program), Account: b.Account, Program: b.Program,
		Claim: Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Used: used, Settled: true, Line: b.Line, At: b.At}, Turn: t,
	}
	startedAt, turn := c.now(), req.shareTurn()
	if turn != nil {
		req.Turn = nil // Late requests keep the encoding only.
	}
	replies, err := callShard[EmptyReply](ctx, c, req.Shard, KindClose, func(store StoreID, epoch Epoch) (head, tail []byte) {
		to := req // Several stores are sent to at the same time.
		to.To, to.Epoch, to.Within = store, epoch, within(ctx)
		return to.encode(turn)
	}, memory)
	if err == nil && t != nil {
		c.cache.put(*t, startedAt, c.cacheBytes())
	}
	m := c.Map()
	var hosts []types.HostID
	for id := range replies {
		if member, ok := m.member(id); ok {
			hosts = append(hosts, member.Host)
		}
	}
	slices.Sort(hosts)
	return hosts, err
}

// StoresOf returns the hosts of the stores to which the shard of a program is assigned, and those of them to
// which there is no connection.
func (c *Client) StoresOf(account types.AccountID, program types.ProgramID) (hosts, silent []types.HostID) {
	m := c.Map()
	for _, id := range m.Placement(ShardOf(account, program)).All() {
		member, ok := m.member(id)
		if !ok {
			continue
		}
		hosts = append(hosts, member.Host)
		if !c.Peers.Link(member.Address).IsConnected() {
			silent = append(silent, member.Host)
		}
	}
	return hosts, silent
}

// now reads the client's clock. The result is positive.
func (c *Client) now() types.Mono {
	c.clockOnce.Do(func() {
		if c.Clock == nil {
			c.Clock = types.NewClock()
		}
	})
	return max(c.Clock(), 1)
}

func (c *Client) cacheBytes() int {
	const defaultCacheBytes = 8 << 20
	if c.CacheBytes > 0 {
		return c.CacheBytes
	}
	return defaultCacheBytes
}

// rotated returns the stores in an order that differs between shards. If it were the same,
// stores at the same distance would not share the turns: one would have almost all, and after
// the loss of its disk almost all would have to be copied.
func rotated(stores []StoreID, shard int) []StoreID {
	if len(stores) == 0 {
		return nil
	}
	first := shard % len(stores)
	return slices.Concat(stores[first:], stores[:first])
}

// sortByDistance returns the stores sorted stably: first those in the client's
// zone, then those in other zones, and last those without a connection.
func (c *Client) sortByDistance(m *Map, ids []StoreID) []StoreID {
	distance := func(id StoreID) int {
		switch member := m.Members[id]; {
		case !c.Peers.Link(member.Address).IsConnected():
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

// assignedMembers returns the stores to which any shard is assigned, nearest
// first.
func (c *Client) assignedMembers(m *Map) []Member {
	var ids []StoreID
	for id := range m.Members {
		if m.IsAssigned(id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var members []Member
	for _, id := range c.sortByDistance(m, ids) {
		members = append(members, m.Members[id])
	}
	return members
}
