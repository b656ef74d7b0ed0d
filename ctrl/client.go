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

// Client sends requests to the control hosts, mostly to the leaders of the shard
// groups. Set the exported fields, then call [Client.Run]. The other methods are
// safe for concurrent use at any time.
type Client struct {
	// Hosts lists all control hosts.
	Hosts []config.ControlHost
	// Secret is the secret that all processes of the fleet share.
	Secret string
	// Groups is the number of shard groups for client accounts.
	Groups uint32
	// Log receives events. The zero value discards them.
	Log event.Log

	once      sync.Once
	links     []*wire.Link
	linkIndex map[types.HostID]int
	mu        sync.Mutex
	leaders   map[types.GroupID]int // presumed leader of each group, as an index into links
}

const (
	// attemptTimeout bounds one request to one host.
	attemptTimeout = 1500 * time.Millisecond
	// retryDelay is the delay between two attempts, such as while a group has no
	// leader.
	retryDelay = 30 * time.Millisecond
)

func (c *Client) init() {
	c.once.Do(func() {
		c.linkIndex = map[types.HostID]int{}
		c.leaders = map[types.GroupID]int{}
		for i, h := range c.Hosts {
			c.links = append(c.links, &wire.Link{Address: h.Address, Secret: c.Secret, Log: c.Log})
			c.linkIndex[h.Host] = i
		}
	})
}

// Run keeps the links to the control hosts connected until ctx ends.
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
	i, ok := c.linkIndex[host]
	if !ok {
		return nil
	}
	return c.links[i]
}

// GroupOf returns the shard group that stores a client account.
func (c *Client) GroupOf(id types.AccountID) types.GroupID { return GroupOf(id, c.Groups) }

// callLeader sends a request to the leader of a group and retries until it gets a
// reply or an error that is not retryable, or ctx ends. The request must be
// idempotent.
func callLeader[Req, Reply any](ctx context.Context, c *Client, group types.GroupID, kind wire.Kind, req Req) (Reply, error) {
	c.init()
	ran := types.NotRun
	for {
		leader := c.leaderIndex(group)
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, err := wire.Call[Req, Reply](attemptCtx, c.links[leader], kind, req)
		cancel()
		if err == nil || !retryable(err) {
			return reply, err
		}
		f := types.AsFault(err)
		if f.Ran != types.NotRun {
			ran = types.MayHaveRun // Stays so whatever later attempts report.
		}
		c.updateLeader(group, leader, f.Leader)
		if !types.Sleep(ctx, retryDelay) {
			return reply, unavailableFault(f, ran)
		}
	}
}

// retryable reports whether another host, or the same one later, may succeed.
func retryable(err error) bool {
	return types.IsCode(err, types.CodeNotLeader) || types.IsCode(err, types.CodeUnavailable) ||
		types.IsCode(err, types.CodeDeadlineExceeded) || types.IsCode(err, types.CodeOverloaded)
}

func unavailableFault(last *types.Fault, ran types.ExecutionState) error {
	return types.NewFault(types.CodeUnavailable, "the control hosts did not reply in time: %s", last.Message).
		WithRan(ran).WithRetryAfter(time.Second)
}

func (c *Client) leaderIndex(group types.GroupID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leaders[group]
}

// updateLeader records, after a failed attempt, which host to try next: the
// given leader if it is known and did not fail itself, else the next host in
// the list.
func (c *Client) updateLeader(group types.GroupID, failed int, leader types.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaders[group] != failed {
		return // Another request has updated the leader in the meantime.
	}
	i, known := c.linkIndex[leader]
	if !known || i == failed {
		i = (failed + 1) % len(c.links)
	}
	c.leaders[group] = i
}

// SubmitCommand submits a command to the group that stores the account. The fault
// of the result, if any, is returned as the error.
func (c *Client) SubmitCommand(ctx context.Context, account types.AccountID, cmd ledger.Command) (ledger.Result, error) {
	group := c.GroupOf(account)
	r, err := callLeader[LedgerRequest, ledger.Result](ctx, c, group, KindLedger, LedgerRequest{Group: group, Command: cmd})
	if err != nil {
		return r, err
	}
	if r.Fault != nil {
		return r, r.Fault
	}
	return r, nil
}

// RenewSession renews the session of an entry host with a shard group.
func (c *Client) RenewSession(ctx context.Context, group types.GroupID, s ledger.Session) error {
	_, err := callLeader[RenewRequest, Done](ctx, c, group, KindRenew, RenewRequest{Group: group, Session: s})
	return err
}

// Program returns the summary of a program and, if history is set, its closed
// calls.
func (c *Client) Program(ctx context.Context, account types.AccountID, program types.ProgramID, history bool) (ProgramReply, error) {
	group := c.GroupOf(account)
	req := ProgramRequest{Group: group, Account: account, Program: program, History: history}
	return callLeader[ProgramRequest, ProgramReply](ctx, c, group, KindProgram, req)
}

// AcquireConfigLease requests a configuration lease for an entry host.
func (c *Client) AcquireConfigLease(ctx context.Context, req LeaseRequest) (LeaseReply, error) {
	return callLeader[LeaseRequest, LeaseReply](ctx, c, types.ConfigGroup, KindLease, req)
}

// SubmitOrder submits an operator's order and returns the recorded decision. The
// fault of the decision, if any, is returned as the error. A refused order is not
// an error.
func (c *Client) SubmitOrder(ctx context.Context, o admin.Order) (admin.Decision, error) {
	d, err := callLeader[OrderRequest, admin.Decision](ctx, c, types.ConfigGroup, KindOrder, OrderRequest{Order: o})
	if err != nil {
		return d, err
	}
	if d.Fault != nil {
		return d, d.Fault
	}
	return d, nil
}

// InForce reports whether every live entry host serves under configuration
// version v or a later one.
func (c *Client) InForce(ctx context.Context, v types.Version) (InForceReply, error) {
	return callLeader[InForceRequest, InForceReply](ctx, c, types.ConfigGroup, KindInForce, InForceRequest{Version: v})
}

// Fleet returns the configuration in force.
func (c *Client) Fleet(ctx context.Context) (config.Fleet, error) {
	return callLeader[FleetRequest, config.Fleet](ctx, c, types.ConfigGroup, KindFleet, FleetRequest{})
}

// Target looks up a target in the configuration in force.
func (c *Client) Target(ctx context.Context, id types.TargetID) (TargetReply, error) {
	return callLeader[TargetRequest, TargetReply](ctx, c, types.ConfigGroup, KindTarget, TargetRequest{ID: id})
}

// AuditRecords returns a page of audit records, starting with the one that follows
// sequence number after. The page is empty if there are no more.
func (c *Client) AuditRecords(ctx context.Context, after uint64) (TrailReply, error) {
	return callLeader[TrailRequest, TrailReply](ctx, c, types.ConfigGroup, KindTrail, TrailRequest{After: after})
}

// Replicas returns the replicas of one control host. It does not retry.
func (c *Client) Replicas(ctx context.Context, host types.HostID) (GroupsReply, error) {
	l := c.Link(host)
	if l == nil {
		return GroupsReply{}, types.NewFault(types.CodeNotFound, "there is no control host %q", host)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return wire.Call[GroupsRequest, GroupsReply](ctx, l, KindGroups, GroupsRequest{})
}
