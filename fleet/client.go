package fleet

import (
	"context"
	"slices"
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

// Client follows the configuration group from one host. Set the exported
// fields, then call [Client.Run]; the other methods are safe for concurrent
// use at any time.
type Client struct {
	// Host names this host.
	Host types.HostID
	// Store is set on a host that keeps turns.
	Store *turns.Member
	// Seeds are the addresses of up to three control hosts.
	Seeds []string
	// Peers reaches the control hosts.
	Peers *wire.Pool
	// Clock is the process's clock; it must count time spent suspended.
	Clock types.Clock
	// Wait is how long the leader may wait for news before it answers. The
	// default is [DefaultWait].
	Wait time.Duration
	// Changed, if set, is called after each change of the view, before the
	// next one is asked for.
	Changed func(View)
	// Log receives events. The zero value discards them.
	Log event.Log

	view atomic.Pointer[View]
	// syncedAt is when the newest answer of a leader was asked for.
	syncedAt atomic.Int64

	mu            sync.Mutex
	controlHosts  []string // the control hosts that were last heard of
	leader        string   // where the leader was seen last
	nextCandidate int      // the next of the known hosts to try
	cancelSync    func()   // ends the wait for news of a host that does not lead any more
}

// View is what a host knows. It must not be changed.
type View struct {
	Plan    *plan.Table // nil until a plan is known
	Map     *turns.Map  // nil until a map is known
	Targets []Target
	Have    Versions
}

const (
	// DefaultWait is several round trips between regions, and less than the time
	// for which a host may go on without a word of a leader.
	DefaultWait = 900 * time.Millisecond
	// callTimeout bounds one request to one control host, beyond any wait.
	callTimeout = 600 * time.Millisecond
	// retryDelay spreads attempts while there is no leader.
	retryDelay = 40 * time.Millisecond
)

// View returns what is known now.
func (c *Client) View() View {
	if v := c.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Age returns how old the newest word of a leader is: no plan that was put
// before that is missing from the view.
func (c *Client) Age() time.Duration {
	return c.Clock().Sub(types.Mono(c.syncedAt.Load()))
}

// Run follows the leader until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	disconnected := false
	for ctx.Err() == nil {
		view := c.View()
		sentAt := c.Clock()
		req := SyncRequest{Host: c.Host, Store: c.Store, Versions: view.Have, Wait: c.syncWait()}
		tryCtx, cancel := context.WithTimeout(ctx, c.syncWait()+callTimeout)
		c.setCancelSync(cancel)
		reply, err := callOnce[SyncRequest, SyncReply](tryCtx, c, KindSync, req)
		redirected := errors.Is(tryCtx.Err(), context.Canceled)
		cancel()
		if err != nil && redirected && ctx.Err() == nil {
			continue // Another host leads.
		}
		if err != nil {
			if !disconnected && ctx.Err() == nil {
				c.Log.Write(event.LeaderAway, event.Fields{"error": err.Error()})
			}
			disconnected = true
			types.Sleep(ctx, retryDelay)
			continue
		}
		if disconnected {
			c.Log.Write(event.LeaderReached, event.Fields{"version": reply.Versions.Version})
		}
		disconnected = false
		c.updateView(view, reply)
		c.syncedAt.Store(int64(sentAt))
	}
	return nil
}

func (c *Client) syncWait() time.Duration {
	if c.Wait > 0 {
		return c.Wait
	}
	return DefaultWait
}

func (c *Client) updateView(view View, reply SyncReply) {
	c.mu.Lock()
	c.controlHosts = reply.ControlHosts
	c.mu.Unlock()
	if reply.Versions == view.Have {
		return
	}
	// A plan never goes back on a host, whatever a leader says.
	if reply.Plan != nil && reply.Plan.Version > view.Have.Version {
		view.Plan = plan.NewTable(reply.Plan)
		view.Have.Version = reply.Plan.Version
		c.Log.Write(event.PlanApplied, event.Fields{"version": reply.Plan.Version})
	}
	if reply.Map != nil {
		view.Map = reply.Map
		view.Have.Map = reply.Versions.Map
	}
	if reply.Targets != nil {
		view.Targets = reply.Targets.List
		view.Have.Targets = reply.Versions.Targets
	}
	c.view.Store(&view)
	if c.Changed != nil {
		c.Changed(view)
	}
}

// candidates returns the addresses of all control hosts that were heard of.
func (c *Client) candidates() []string {
	addresses := slices.Concat(c.controlHosts, c.Seeds)
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// selectHost returns the control host to ask now.
func (c *Client) selectHost() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	addresses := c.candidates()
	return addresses[c.nextCandidate%len(addresses)]
}

// setCancelSync sets what ends the wait for news when another host turns out to lead:
// the one that was asked may be silent for as long as the wait lasts.
func (c *Client) setCancelSync(cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelSync = cancel
}

// recordFailure turns to the leader that was named, or else to the next host.
func (c *Client) recordFailure(address, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" && c.leader != address {
		return // Another request has found a leader meanwhile.
	}
	c.leader = leader
	if leader == "" || leader == address {
		c.leader = ""
		c.nextCandidate++
	}
}

// recordLeader notes who has answered as leader.
func (c *Client) recordLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != c.leader && c.cancelSync != nil {
		c.cancelSync()
		c.cancelSync = nil
	}
	c.leader = address
}

// callOnce asks the host that seems to lead, once, and turns elsewhere if that
// fails.
func callOnce[Req, Resp any](ctx context.Context, c *Client, kind wire.Kind, req Req) (Resp, error) {
	address := c.selectHost()
	link := c.Peers.Link(address)
	dialCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !link.Await(dialCtx) {
		c.recordFailure(address, "")
		var zero Resp
		return zero, types.NewFault(types.CodeUnavailable, "no connection to %s", address).After(callTimeout)
	}
	resp, err := wire.Call[Req, Resp](ctx, link, kind, req)
	if err == nil {
		c.recordLeader(address)
		return resp, nil
	}
	if retryable(err) {
		c.recordFailure(address, string(types.AsFault(err).Leader))
	}
	return resp, err
}

// callWithRedirects is try for requests that are of use now or not at all: it asks at once
// again where a host names the leader.
func callWithRedirects[Req, Resp any](ctx context.Context, c *Client, kind wire.Kind, req Req) (resp Resp, err error) {
	for range maxRedirects {
		resp, err = callOnce[Req, Resp](ctx, c, kind, req)
		if !types.IsCode(err, types.CodeNotLeader) || types.AsFault(err).Leader == "" {
			return resp, err
		}
	}
	return resp, err
}

// maxRedirects bounds how often one request follows the name of a leader.
const maxRedirects = 3

// retryable reports whether another host, or the same one later, may answer
// better.
func retryable(err error) bool {
	return types.IsCode(err, types.CodeNotLeader) || types.IsCode(err, types.CodeUnavailable) ||
		types.IsCode(err, types.CodeDeadline) || types.IsCode(err, types.CodeOverloaded)
}

// callWithRetry asks the leader until it answers or ctx ends. The request must be one
// that may be repeated.
func callWithRetry[Req, Resp any](ctx context.Context, c *Client, kind wire.Kind, req Req) (Resp, error) {
	ran := types.NotRun
	for {
		tryCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		resp, err := callOnce[Req, Resp](tryCtx, c, kind, req)
		cancel()
		if err == nil || !retryable(err) {
			return resp, err
		}
		f := types.AsFault(err)
		if f.Ran != types.NotRun {
			ran = types.Unknown // Whatever later tries come to.
		}
		if !types.Sleep(ctx, retryDelay) {
			return resp, types.NewFault(types.CodeUnavailable, "the control hosts do not answer: %s", f.Message).WithRan(ran).After(time.Second)
		}
	}
}

// Limits renews this host's allotments.
func (c *Client) Limits(ctx context.Context, req LimitsRequest) (LimitsReply, error) {
	return callWithRedirects[LimitsRequest, LimitsReply](ctx, c, KindLimits, req)
}

// Copied reports for which moves this host's store has copied everything.
func (c *Client) Copied(ctx context.Context, req CopiedRequest) error {
	_, err := callWithRetry[CopiedRequest, Ack](ctx, c, KindCopied, req)
	return err
}

// Put brings a plan into force; it returns the version that is in force then.
func (c *Client) Put(ctx context.Context, req PutPlan) (Result, error) {
	return callWithRetry[PutPlan, Result](ctx, c, KindPut, req)
}

// Read returns the plan in force, as it was sent.
func (c *Client) Read(ctx context.Context) (ReadReply, error) {
	return callWithRetry[ReadRequest, ReadReply](ctx, c, KindRead, ReadRequest{})
}

// Retire begins to empty a store.
func (c *Client) Retire(ctx context.Context, h types.HostID) (RetireState, error) {
	return callWithRetry[Retire, RetireState](ctx, c, KindRetire, Retire{Host: h})
}

// Retired tells how far the emptying of a store is.
func (c *Client) Retired(ctx context.Context, h types.HostID) (RetireState, error) {
	return callWithRetry[Retire, RetireState](ctx, c, KindRetired, Retire{Host: h})
}
