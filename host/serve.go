package host

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// trailPage is how many audit records one answer holds.
const trailPage = 500

// Register makes the server answer for this control host.
func (c *Control) Register(s *wire.Server) {
	c.init()
	wire.Handle(s, ctrl.KindQuorum, c.deliver)
	wire.Handle(s, ctrl.KindGroups, c.groups)
	wire.Handle(s, ctrl.KindJoin, c.join)
	wire.Handle(s, ctrl.KindLease, c.lease)
	wire.Handle(s, ctrl.KindInForce, c.inForce)
	wire.Handle(s, ctrl.KindOrder, c.order)
	wire.Handle(s, ctrl.KindFleet, c.fleet)
	wire.Handle(s, ctrl.KindTarget, c.target)
	wire.Handle(s, ctrl.KindTrail, c.trail)
	wire.Handle(s, ctrl.KindLedger, c.ledger)
	wire.Handle(s, ctrl.KindRenew, c.renew)
	wire.Handle(s, ctrl.KindProgram, c.program)
}

func (c *Control) deliver(_ context.Context, m ctrl.QuorumMessage) (ctrl.Done, error) {
	if r := c.member(m.Group); r != nil {
		r.Deliver(m.Message)
	}
	return ctrl.Done{}, nil
}

// readConfig runs fn under the leader's lease of group 0 and tells it since
// when this host leads.
func (c *Control) readConfig(fn func(since types.Mono)) error {
	return c.config.Read(func(s quorum.Status, _ types.LogTime) { fn(s.LeadsSince) })
}

func (c *Control) order(ctx context.Context, req ctrl.OrderRequest) (admin.Decision, error) {
	req.Order.At = time.Now()
	d, err := c.config.Propose(ctx, req.Order)
	if err == nil {
		c.Log.Write(event.OrderApplied, event.Fields{
			"order": d.Order, "operator": req.Order.Operator, "accepted": d.Accepted, "version": d.Version, "reason": d.Reason,
		})
	}
	return d, err
}

func (c *Control) fleet(context.Context, ctrl.FleetRequest) (config.Fleet, error) {
	var fleet config.Fleet
	err := c.readConfig(func(types.Mono) { fleet = c.machine.Fleet() })
	return fleet, err
}

func (c *Control) target(_ context.Context, req ctrl.TargetRequest) (ctrl.TargetReply, error) {
	var reply ctrl.TargetReply
	err := c.readConfig(func(types.Mono) { reply.Target, reply.Found = c.machine.Target(req.ID) })
	return reply, err
}

func (c *Control) trail(_ context.Context, req ctrl.TrailRequest) (ctrl.TrailReply, error) {
	var reply ctrl.TrailReply
	err := c.readConfig(func(types.Mono) { reply.Records = c.machine.Trail(req.After, trailPage) })
	return reply, err
}

func (c *Control) group(id types.GroupID) (*accountGroup, error) {
	if g := c.ledgers[id]; g != nil {
		return g, nil
	}
	return nil, types.NewFault(types.CodeNotFound, "there is no group %d", id)
}

// ledger gives a command to a group. One that the rate limit would refuse is
// refused at once, without passing through the log.
func (c *Control) ledger(ctx context.Context, req ctrl.LedgerRequest) (ledger.Result, error) {
	g, err := c.group(req.Group)
	if err != nil {
		return ledger.Result{}, err
	}
	var refusal *types.Fault
	err = g.Read(func(_ quorum.Status, at types.LogTime) { refusal = g.machine.Refusal(at, req.Command) })
	if err != nil {
		return ledger.Result{}, err
	}
	if refusal != nil {
		return ledger.Result{Fault: refusal}, nil
	}
	return g.Propose(ctx, req.Command)
}

func (c *Control) renew(_ context.Context, req ctrl.RenewRequest) (ctrl.Done, error) {
	g, err := c.group(req.Group)
	if err != nil {
		return ctrl.Done{}, err
	}
	err = g.Read(func(quorum.Status, types.LogTime) { g.sessions.renew(req.Session, c.Clock()) })
	return ctrl.Done{}, err
}

func (c *Control) program(_ context.Context, req ctrl.ProgramRequest) (ctrl.ProgramReply, error) {
	var reply ctrl.ProgramReply
	g, err := c.group(req.Group)
	if err != nil {
		return reply, err
	}
	var missing error
	err = g.Read(func(quorum.Status, types.LogTime) { missing = g.find(req, &reply) })
	if err != nil {
		return reply, err
	}
	return reply, missing
}

func (g *accountGroup) find(req ctrl.ProgramRequest, reply *ctrl.ProgramReply) error {
	summary, err := g.machine.Find(req.Account, req.Program)
	if err != nil {
		return err
	}
	reply.Program = *summary
	if !req.History {
		return nil
	}
	reply.Calls, err = g.machine.History(req.Account, req.Program)
	return err
}
