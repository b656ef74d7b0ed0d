package ctrl

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Client asks the leaders of the shard groups. Set the exported fields, then
// call [Client.Run]; the other methods are safe for concurrent use at any
// time.
type Client struct {
	// Hosts lists all control hosts.
	Hosts []config.ControlHost
	// Secret is what our processes share.
	Secret string
	// Groups is the number of shard groups for client accounts.
	Groups uint32
	// Log receives events. The zero value discards them.
	Log event.Log

	once    sync.Once
	links   []*wire.Link
	index   map[types.HostID]int
	mu      sync.Mutex
	leaders map[types.GroupID]int // where the leader was last seen, an index into links
}

const (
	// tryTimeout bounds one attempt to get an answer from one host.
	tryTimeout = 1500 * time.Millisecond
	// retryPause spreads attempts while there is no leader.
	retryPause = 30 * time.Millisecond
)

func (c *Client) init() {
	c.once.Do(func() {
		c.index = map[types.HostID]int{}
		c.leaders = map[types.GroupID]int{}
		for i, h := range c.Hosts {
			c.links = append(c.links, &wire.Link{Address: h.Address, Secret: c.Secret, Log: c.Log})
			c.index[h.Host] = i
		}
	})
}

// Run keeps the links to the control hosts until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	c.init()
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range c.links {
		g.Go(func() error { return l.Run(ctx) })
	}
	return g.Wait()
}

// Link returns the link to a control host, or nil if there is no such host.
func (c *Client) Link(host types.HostID) *wire.Link {
	c.init()
	i, ok := c.index[host]
	if !ok {
		return nil
	}
	return c.links[i]
}

// GroupOf returns the shard group that holds a client account.
func (c *Client) GroupOf(id types.AccountID) types.GroupID { return GroupOf(id, c.Groups) }

// ask sends a request to the leader of a group until it is answered or ctx
// ends. The request must be one that may be repeated.
func ask[Req, Resp any](ctx context.Context, c *Client, group types.GroupID, kind wire.Kind, req Req) (Resp, error) {
	c.init()
	ran := types.NotRun
	for {
		at := c.guess(group)
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		resp, err := wire.Call[Req, Resp](tryCtx, c.links[at], kind, req)
		cancel()
		if err == nil || !retryable(err) {
			return resp, err
		}
		f := types.AsFault(err)
		if f.Ran != types.NotRun {
			ran = types.Unknown // Whatever later tries come to.
		}
		c.noteFailure(group, at, f.Leader)
		if !types.Sleep(ctx, retryPause) {
			return resp, giveUp(f, ran)
		}
	}
}

// retryable reports whether another host may answer better.
func retryable(err error) bool {
	return types.IsCode(err, types.CodeNotLeader) || types.IsCode(err, types.CodeUnavailable) ||
		types.IsCode(err, types.CodeDeadline) || types.IsCode(err, types.CodeOverloaded)
}

func giveUp(last *types.Fault, ran types.Ran) error {
	return types.NewFault(types.CodeUnavailable, "the control hosts did not answer in time: %s", last.Message).
		WithRan(ran).After(time.Second)
}

func (c *Client) guess(group types.GroupID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaders[group]
}

// noteFailure turns to the leader that was named, or else to the next host.
func (c *Client) noteFailure(group types.GroupID, at int, leader types.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] != at {
		return // Another request has found a better guess meanwhile.
	}
	i, known := c.index[leader]
	if !known || i == at {
		i = (at + 1) % len(c.links)
	}
	c.leaders[group] = i
}

// Ledger gives a command to the group that holds the account. The fault of the
// result, if any, is returned as the error.
func (c *Client) Ledger(ctx context.Context, account types.AccountID, cmd ledger.Command) (ledger.Result, error) {
	group := c.GroupOf(account)
	r, err := ask[LedgerRequest, ledger.Result](ctx, c, group, KindLedger, LedgerRequest{Group: group, Command: cmd})
	if err != nil {
		return r, err
	}
	if r.Fault != nil {
		return r, r.Fault
	}
	return r, nil
}

// Renew renews the session of an entry host with a shard group.
func (c *Client) Renew(ctx context.Context, group types.GroupID, s ledger.Session) error {
	_, err := ask[RenewRequest, Done](ctx, c, group, KindRenew, RenewRequest{Group: group, Session: s})
	return err
}

// Program returns how a program stands and, if asked, its history.
func (c *Client) Program(ctx context.Context, account types.AccountID, program types.ProgramID, history bool) (ProgramReply, error) {
	group := c.GroupOf(account)
	req := ProgramRequest{Group: group, Account: account, Program: program, History: history}
	return ask[ProgramRequest, ProgramReply](ctx, c, group, KindProgram, req)
}

// Lease asks for a configuration lease.
func (c *Client) Lease(ctx context.Context, req LeaseRequest) (LeaseReply, error) {
	return ask[LeaseRequest, LeaseReply](ctx, c, types.ConfigGroup, KindLease, req)
}

// Order gives an operator's order and returns the recorded decision.
func (c *Client) Order(ctx context.Context, o admin.Order) (admin.Decision, error) {
	d, err := ask[OrderRequest, admin.Decision](ctx, c, types.ConfigGroup, KindOrder, OrderRequest{Order: o})
	if err != nil {
		return d, err
	}
	if d.Fault != nil {
		return d, d.Fault
	}
	return d, nil
}

// InForce tells whether every live entry host serves under the version.
func (c *Client) InForce(ctx context.Context, v types.Version) (InForceReply, error) {
	return ask[InForceRequest, InForceReply](ctx, c, types.ConfigGroup, KindInForce, InForceRequest{Version: v})
}

// Fleet returns the configuration in force.
func (c *Client) Fleet(ctx context.Context) (config.Fleet, error) {
	return ask[FleetRequest, config.Fleet](ctx, c, types.ConfigGroup, KindFleet, FleetRequest{})
}

// Target returns one target of the configuration in force, if it is there.
func (c *Client) Target(ctx context.Context, id types.TargetID) (TargetReply, error) {
	return ask[TargetRequest, TargetReply](ctx, c, types.ConfigGroup, KindTarget, TargetRequest{ID: id})
}

// Trail returns audit records that follow record after; none if there are no
// more.
func (c *Client) Trail(ctx context.Context, after uint64) (TrailReply, error) {
	return ask[TrailRequest, TrailReply](ctx, c, types.ConfigGroup, KindTrail, TrailRequest{After: after})
}

// Replicas asks one control host for its replicas.
func (c *Client) Replicas(ctx context.Context, host types.HostID) (GroupsReply, error) {
	l := c.Link(host)
	if l == nil {
		return GroupsReply{}, types.NewFault(types.CodeNotFound, "there is no control host %q", host)
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return wire.Call[GroupsRequest, GroupsReply](ctx, l, KindGroups, GroupsRequest{})
}
