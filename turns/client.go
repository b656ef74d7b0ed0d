package turns

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
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

// errAttemptsOpen is returned for a turn that the budget covers unless targets have run several earlier
// attempts of its line, whose hosts are lost or are about to settle their claims. The client withdraws the claim.
var errAttemptsOpen = types.NewFault(types.CodeUnavailable, "earlier attempts of the turn are not settled, which may have used the program's budget")

// Budget describes a program's budget and the part of it that one turn
// reserves.
type Budget struct {
	Account types.AccountID
	Program types.ProgramID
	Attempt types.AttemptID
	// The maximum numbers of tokens that all turns of the program together, and
	// this turn alone, may generate.
	Limit, MaxTokens types.Tokens
	// Continues is set if the turn continues another one. While the stores are too slow for all
	// turns, such turns go before others.
	Continues bool
	// Line is the line of turns that the turn belongs to. An earlier attempt of the same line does not keep the
	// turn from being repeated. The default is a turn of no line.
	Line Line
}

// Reserve is [Client.ReserveWithin] for a reservation that may take until ctx ends.
func (c *Client) Reserve(ctx context.Context, b Budget) error {
	return c.ReserveWithin(ctx, b, forever)
}

// forever is longer than the time that any caller waits.
const forever = time.Hour

// ReserveWithin claims a turn's part of its program's budget. If the budget does not
// cover it, ReserveWithin settles the claim with 0 tokens in the background and returns
// a budgetExceeded fault.
//
// Concurrent reservations cannot exceed the budget together: of any set of
// granted reservations, the one whose claim was written last has read the
// claims of all others. ReserveWithin reads the claims a second time only if the
// first reply has an unsettled claim of another attempt. Without one this is
// not needed, since every concurrent reservation missing from the reply has
// read this claim. The attempts of one line that were never settled are the exception, see [Budget.Line]:
// with them, a program may exceed its budget by the maximum of one turn.
//
// While the stores are too slow, ReserveWithin returns an overloaded fault for which [NotSent] is
// true: at once, or for a turn that continues another one after it has waited for a third of the time
// until ctx ends. Once the reservation is admitted, it may take for timeout.
func (c *Client) ReserveWithin(ctx context.Context, b Budget, timeout time.Duration) error {
	if !c.admit(ctx, b) {
		reservationsRefused.Inc()
		return errStoresSlow
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.reserve(ctx, b)
	c.admission.end(c.outcomeOf(ctx, ShardOf(b.Account, b.Program), err), begun)
	return err
}

// admissionShare is the part of its remaining time, as a divisor, that a reservation may wait for its
// admission. One that is admitted with hardly any time left is given up before the stores can reply,
// makes them work for nothing, and counts as one that they were too late for.
const admissionShare = 3

// admit reports whether a reservation is admitted, and waits for it as [Client.ReserveWithin] does.
func (c *Client) admit(ctx context.Context, b Budget) bool {
	if b.Continues {
		defer admissionSeconds.UpdateDuration(time.Now())
	}
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithTimeout(ctx, time.Until(deadline)/admissionShare)
		defer cancel()
		ctx = limited
	}
	return c.admission.begin(ctx, b.Continues)
}

// outcomeOf returns what a reservation that has ended with err shows of the stores.
func (c *Client) outcomeOf(ctx context.Context, shard Shard, err error) outcome {
	switch {
	case !types.IsCode(err, errNoQuorum.Code):
		return inTime
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknown // The caller has left.
	}
	m := c.Map()
	p := m.Placement(shard)
	connected := func(id StoreID) bool { return c.Peers.Link(m.Members[id].Address).IsConnected() }
	if len(p.Current) == 0 || !p.HasQuorum(connected) {
		return unknown
	}
	return late
}

func (c *Client) reserve(ctx context.Context, b Budget) error {
	req := ClaimRequest{
		Shard: ShardOf(b.Account, b.Program), Account: b.Account, Program: b.Program,
		Claim: Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Line: b.Line},
	}
	claimCtx := ctx
	if !b.Continues {
		claimCtx = wire.WithLowPrecedence(ctx)
	}
	claims, err := c.sendClaim(claimCtx, req)
	if err == nil && claims.HasOtherUnsettled(b.Attempt) {
		req.Claim = Claim{}
		claims, err = c.sendClaim(claimCtx, req)
	}
	if err != nil {
		return err
	}
	if claims.ChargeFor(b) <= b.Limit {
		return nil
	}
	c.background.Go(func() error { return c.Settle(context.WithoutCancel(ctx), b, 0, nil) })
	if claims.chargeWithoutLine(b) <= b.Limit {
		return errAttemptsOpen
	}
	return budgetExceeded(b, claims)
}

// budgetExceeded returns the fault of a turn that the budget does not cover. It is only returned after a
// majority of the shard's stores has replied with its claims. It names the attempts whose claims are not settled.
func budgetExceeded(b Budget, claims Claims) error {
	var used types.Tokens
	var open []types.AttemptID
	for _, claim := range claims.sorted() {
		switch {
		case claim.Settled:
			used += claim.Used
		case claim.Attempt != b.Attempt:
			open = append(open, claim.Attempt)
		}
	}
	return types.NewFault(types.CodeBudgetExceeded, "the program's budget of %d tokens does not cover another %d: %d used, not settled: %d %v",
		b.Limit, b.MaxTokens, used, len(open), open[:min(len(open), maxOpenNamed)])
}

// maxOpenNamed is how many attempts a fault names.
const maxOpenNamed = 4

// sendClaim sends req to the stores of its shard and returns the merged claims
// of a majority. If the claim in req is empty, the claims are only read.
func (c *Client) sendClaim(ctx context.Context, req ClaimRequest) (Claims, error) {
	merged := Claims{}
	replies, err := callShard[ClaimReply](ctx, c, req.Shard, KindClaim, func(store StoreID, epoch Epoch) (head, tail []byte) {
		to := req // Several stores are sent to at the same time.
		to.To, to.Epoch = store, epoch
		return types.Encode(to), nil
	})
	for _, reply := range replies {
		for _, claim := range reply.Claims {
			merged.Merge(claim)
		}
	}
	return merged, err
}

// Settle is [Client.SettleOn] for callers that do not need to know the stores.
func (c *Client) Settle(ctx context.Context, b Budget, used types.Tokens, t *Turn) error {
	_, err := c.SettleOn(ctx, b, used, t)
	return err
}

// SettleOn reports how many tokens an attempt has generated, and writes the turn
// t that it produced unless t is nil. It returns once both are on disk on a
// majority of the shard's stores, with the hosts of these. It retries until ctx ends.
func (c *Client) SettleOn(ctx context.Context, b Budget, used types.Tokens, t *Turn) ([]types.HostID, error) {
	req := CloseRequest{
		Shard: ShardOf(b.Account, b.Program), Account: b.Account, Program: b.Program,
		Claim: Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Used: used, Settled: true}, Turn: t,
	}
	startedAt, turn := c.now(), req.shareTurn()
	replies, err := callShard[EmptyReply](ctx, c, req.Shard, KindClose, func(store StoreID, epoch Epoch) (head, tail []byte) {
		to := req // Several stores are sent to at the same time.
		to.To, to.Epoch = store, epoch
		return to.encode(turn)
	})
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

// isFault reports whether err is the given fault, perhaps received from another host.
func isFault(err error, fault *types.Fault) bool {
	got := types.AsFault(err)
	return err != nil && got.Code == fault.Code && got.Message == fault.Message
}

// AttemptsOpen reports whether err is the fault of a reservation that the budget may cover once earlier attempts
// of its line are settled. Its claim is withdrawn.
func AttemptsOpen(err error) bool {
	return isFault(err, errAttemptsOpen)
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
