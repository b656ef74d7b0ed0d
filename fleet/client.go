package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Client follows the configuration group on behalf of one host and sends
// requests to its leader. Set the exported fields, then call [Client.Run]. The
// other methods are safe for concurrent use at any time.
type Client struct {
	// Host identifies this host.
	Host types.HostID
	// Zone is the availability zone of this host.
	Zone types.ZoneID
	// Store describes this host's store of turns. It is nil if the host has
	// none.
	Store *turns.Member
	// Seeds are the addresses of up to three control hosts.
	Seeds []string
	// Peers holds the connections to the control hosts.
	Peers *wire.Pool
	// Clock is the process's clock. It must include time spent suspended.
	Clock types.Clock
	// SyncWait is how long the leader may hold a sync request open. The default is
	// [DefaultSyncWait].
	SyncWait time.Duration
	// OnChange, if set, is called after each change of the view. The next sync
	// request is sent after it returns.
	OnChange func(View)
	// Log receives events. The zero value discards them.
	Log event.Log

	view atomic.Pointer[View]
	// syncedAt is the [types.Mono] time at which the last successful sync
	// request was sent.
	syncedAt atomic.Int64

	mu            sync.Mutex // guards the fields below
	seeds         []string   // instead of Seeds after [Client.SetSeeds], or nil
	controlHosts  []string   // addresses from the last sync reply
	leader        string     // address of the last known leader, or empty
	nextCandidate int        // index of the control host to try while the leader is unknown
	cancelSync    func()     // cancels the current sync request
	syncHost      string     // address that the current sync request was sent to, or empty
}

// View is a host's copy of the configuration. It must not be modified.
type View struct {
	Plan    *plan.Table // nil until the first plan is received
	Map     *turns.Map  // nil until the first shard map is received
	Targets []Target
	// Zones holds the zones that are evacuated, or have been and were taken back.
	Zones    map[types.ZoneID]ZoneState
	Versions Versions
}

const (
	// DefaultSyncWait is the default of [Client.SyncWait]. It is several round
	// trips between regions, and less than the time for which a host may operate
	// without contact to a leader.
	DefaultSyncWait = 900 * time.Millisecond
	// callTimeout bounds one request to one control host, not counting the time
	// for which the leader may hold it open.
	callTimeout = 600 * time.Millisecond
	// maxSyncTimeout is that time for sync requests while the leader is late. With
	// [DefaultSyncWait] it is less than the time after which the leader takes a store that
	// sends no request for lost.
	maxSyncTimeout = 2 * callTimeout
	// retryDelay is the pause between attempts while there is no leader.
	retryDelay = 40 * time.Millisecond
	// retryTimeout bounds all attempts of one request. An operator who is then told that the
	// outcome is unknown can send the order to another control host; one who gets no response
	// cannot tell whether to wait.
	retryTimeout = 3 * time.Second
)

// View returns the current view. It is empty until the first sync.
func (c *Client) View() View {
	if v := c.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Staleness returns the staleness of the view: the time since the last successful
// sync request was sent. The view reflects every plan put before that request.
func (c *Client) Staleness() time.Duration {
	return c.Clock().Sub(types.Mono(c.syncedAt.Load()))
}

// Run syncs the view with the leader until ctx ends. It always returns nil.
func (c *Client) Run(ctx context.Context) error {
	disconnected := false
	timeout := types.AdaptiveTimeout{Min: callTimeout, Max: maxSyncTimeout}
	for ctx.Err() == nil {
		view := c.View()
		sentAt := c.Clock()
		req := SyncRequest{Host: c.Host, Store: c.Store, Versions: view.Versions, Wait: c.syncWait(), Zone: c.Zone, KnowsZones: true}
		callCtx, cancel := context.WithTimeout(ctx, c.syncWait()+timeout.Duration())
		c.setCancelSync(cancel)
		reply, err := callOnce[SyncRequest, SyncReply](callCtx, c, KindSync, req)
		redirected := errors.Is(callCtx.Err(), context.Canceled)
		cancel()
		if err != nil && redirected && ctx.Err() == nil {
			continue // Another request has found a new leader.
		}
		timeout.Ended(c.Clock().Sub(sentAt)-c.syncWait(), err)
		if err != nil {
			if !disconnected && ctx.Err() == nil {
				c.Log.Write(event.LeaderUnreachable, event.Fields{"error": err.Error()})
			}
			disconnected = true
			types.Sleep(ctx, retryDelay)
			continue
		}
		if disconnected {
			c.Log.Write(event.LeaderReached, event.Fields{"version": reply.Versions.Plan})
		}
		disconnected = false
		c.updateView(view, reply)
		c.syncedAt.Store(int64(sentAt))
	}
	return nil
}

func (c *Client) syncWait() time.Duration {
	if c.SyncWait > 0 {
		return c.SyncWait
	}
	return DefaultSyncWait
}

func (c *Client) updateView(view View, reply SyncReply) {
	c.mu.Lock()
	c.controlHosts = reply.ControlHosts
	c.mu.Unlock()
	if reply.Zones == nil { // Unchanged, or the leader is an earlier build.
		reply.Versions.Zones = view.Versions.Zones
	}
	if reply.Versions == view.Versions {
		return
	}
	before := view
	// Never apply an older plan, even if a leader sends one.
	if reply.Plan != nil && reply.Plan.Version > view.Versions.Plan {
		view.Plan = plan.NewTable(reply.Plan)
		view.Versions.Plan = reply.Plan.Version
		c.Log.Write(event.PlanApplied, event.Fields{"version": reply.Plan.Version})
	}
	if reply.Map != nil {
		view.Map = reply.Map
		view.Versions.Map = reply.Versions.Map
	}
	if reply.Targets != nil {
		view.Targets = reply.Targets.List
		view.Versions.Targets = reply.Versions.Targets
	}
	if reply.Zones != nil {
		view.Zones, view.Versions.Zones = newZones(reply.Zones, c.Clock()), reply.Versions.Zones
	}
	c.view.Store(&view)
	c.logZones(before, view)
	if c.OnChange != nil {
		c.OnChange(view)
	}
}

// candidates returns the addresses of all known control hosts without
// duplicates. Callers must hold c.mu.
func (c *Client) candidates() []string {
	seeds := c.Seeds
	if c.seeds != nil {
		seeds = c.seeds
	}
	addresses := slices.Concat(c.controlHosts, seeds)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// SetSeeds replaces [Client.Seeds]. It may be called while the client runs.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// selectHosts returns the address of the leader, if known, or else those of all control
// hosts, the next one to try first.
func (c *Client) selectHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return []string{c.leader}
	}
	addresses := c.candidates()
	next := c.nextCandidate % len(addresses)
	return slices.Concat(addresses[next:], addresses[:next])
}

// connect returns the link to the leader, if known, or else to the next control host to
// try, once it is connected. A control host that cannot be connected to is passed over if
// there is another one.
func (c *Client) connect(ctx context.Context) (*wire.Link, error) {
	addresses := c.selectHosts()
	var links []*wire.Link
	for _, a := range addresses {
		links = append(links, c.Peers.Link(a))
	}
	for _, l := range links {
		if l.IsConnected() {
			return l, nil
		}
	}
	if l := wire.WaitAny(ctx, links); l != nil {
		return l, nil
	}
	c.recordFailure(addresses[0], "")
	return nil, types.NewFault(types.CodeUnavailable, "no connection to %s", strings.Join(addresses, ", ")).WithRetryAfter(callTimeout)
}

// setCancelSync sets the function that cancels the current sync request when
// another request finds a new leader. Otherwise, an old leader that does not
// respond would block syncing until the request times out.
func (c *Client) setCancelSync(cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelSync, c.syncHost = cancel, ""
}

// setSyncHost records where the current sync request is sent to.
func (c *Client) setSyncHost(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncHost = address
}

// recordFailure selects the host for the next request after a failed one to
// address: the leader that the host named, if any, or else the next candidate.
func (c *Client) recordFailure(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" && c.leader != address {
		return // Another request has found a new leader in the meantime.
	}
	c.leader = leader
	if leader == "" || leader == address {
		c.leader = ""
		c.nextCandidate++
	}
}

// recordLeader records that the host at address has replied as the leader. If it was
// not known to be, it cancels the current sync request, unless that was sent to the
// same host: a leader that is late only would get it again after each timeout of another
// request, and its replies would not count.
func (c *Client) recordLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.leader && address != c.syncHost && c.cancelSync != nil {
		c.cancelSync()
		c.cancelSync = nil
	}
	c.leader = address
}

// callOnce sends one request to the presumed leader. If that fails with a
// retryable error, it selects another host for the next request.
func callOnce[Req, Resp any](ctx context.Context, c *Client, kind wire.Kind, req Req) (Resp, error) {
	dialCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	link, err := c.connect(dialCtx)
	if err != nil {
		var zero Resp
		return zero, err
	}
	if kind == KindSync {
		c.setSyncHost(link.Address)
	}
	reply, err := wire.Call[Req, Resp](ctx, link, kind, req)
	if err == nil {
		c.recordLeader(link.Address)
		return reply, nil
	}
	if retryable(err) {
		c.recordFailure(link.Address, string(types.AsFault(err).Leader))
	}
	return reply, err
}

// callWithRedirects sends a request and follows redirects to the leader without
// delay. It does not retry other failures, since its requests are of use only
// immediately.
func callWithRedirects[Req, Resp any](ctx context.Context, c *Client, kind wire.Kind, req Req) (reply Resp, err error) {
	for range maxRedirects {
		reply, err = callOnce[Req, Resp](ctx, c, kind, req)
		if !types.IsCode(err, types.CodeNotLeader) || types.AsFault(err).Leader == "" {
			return reply, err
		}
	}
	return reply, err
}

// maxRedirects bounds the attempts of [callWithRedirects].
const maxRedirects = 3

// retryable reports whether a request that failed with err may succeed on
// another host, or later on the same one.
func retryable(err error) bool {
	return types.IsCode(err, types.CodeNotLeader) || types.IsCode(err, types.CodeUnavailable) ||
		types.IsCode(err, types.CodeDeadlineExceeded) || types.IsCode(err, types.CodeOverloaded)
}

// callWithRetry sends a request until the leader replies, a host returns an
// error that is not retryable, retryTimeout has passed or ctx ends. The request must be
// idempotent.
func callWithRetry[Req, Resp any](ctx context.Context, c *Client, kind wire.Kind, req Req) (Resp, error) {
	ctx, cancelAll := context.WithTimeout(ctx, retryTimeout)
	defer cancelAll()
	ran := types.NotRun
	for {
		callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		reply, err := callOnce[Req, Resp](callCtx, c, kind, req)
		cancel()
		if err == nil || !retryable(err) {
			return reply, err
		}
		f := types.AsFault(err)
		if f.Ran != types.NotRun {
			ran = types.MayHaveRun // Regardless of later attempts.
		}
		if !types.Sleep(ctx, retryDelay) {
			return reply, types.NewFault(types.CodeUnavailable, "the control hosts do not reply: %s", f.Message).WithRan(ran).WithRetryAfter(time.Second)
		}
	}
}

// Limits renews or returns this host's allotments of account limits.
func (c *Client) Limits(ctx context.Context, req LimitsRequest) (LimitsReply, error) {
	return callWithRedirects[LimitsRequest, LimitsReply](ctx, c, KindLimits, req)
}

// ReportCopied reports the shard moves for which this host's store has copied
// all data.
func (c *Client) ReportCopied(ctx context.Context, req CopiedRequest) error {
	_, err := callWithRetry[CopiedRequest, Ack](ctx, c, KindCopied, req)
	return err
}

// Put replaces the plan, unless its version is not higher than that of the plan
// in force. The result holds the version in force afterwards.
func (c *Client) Put(ctx context.Context, req PutPlan) (Result, error) {
	return callWithRetry[PutPlan, Result](ctx, c, KindPut, req)
}

// Read returns the plan in force in its original form.
func (c *Client) Read(ctx context.Context) (ReadReply, error) {
	return callWithRetry[ReadRequest, ReadReply](ctx, c, KindRead, ReadRequest{})
}

// Retire starts to retire the store on a host: its shards move to other stores.
// It fails with [types.CodeNotFound] if the host has no store, and with
// [types.CodeConflict] if too few stores would remain.
func (c *Client) Retire(ctx context.Context, h types.HostID) (RetireStatus, error) {
	return callWithRetry[Retire, RetireStatus](ctx, c, KindRetire, Retire{Host: h})
}

// RetireStatus returns the progress of retiring the store on a host. It fails
// with [types.CodeNotFound] if the store is not being retired.
func (c *Client) RetireStatus(ctx context.Context, h types.HostID) (RetireStatus, error) {
	return callWithRetry[Retire, RetireStatus](ctx, c, KindRetireStatus, Retire{Host: h})
}
