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

// auditPageSize is the maximum number of audit records in one reply.
const auditPageSize = 500

// Register registers handlers for all messages that control hosts accept. It
// must be called before s serves.
func (c *Control) Register(s *wire.Server) {
	c.init()
	wire.HandleState(s, ctrl.KindQuorum, c.deliver)
	wire.Handle(s, ctrl.KindGroups, c.listReplicas)
	wire.Handle(s, ctrl.KindJoin, c.join)
	wire.Handle(s, ctrl.KindLease, c.grantLease)
	wire.Handle(s, ctrl.KindInForce, c.inForce)
	wire.Handle(s, ctrl.KindOrder, c.proposeOrder)
	wire.Handle(s, ctrl.KindFleet, c.configuration)
	wire.Handle(s, ctrl.KindTarget, c.target)
	wire.Handle(s, ctrl.KindTrail, c.auditTrail)
	wire.Handle(s, ctrl.KindLedger, c.proposeCommand)
	wire.Handle(s, ctrl.KindRenew, c.renewSession)
	wire.Handle(s, ctrl.KindProgram, c.program)
}

func (c *Control) deliver(_ context.Context, m ctrl.QuorumMessage) (ctrl.Done, error) {
	if r := c.replica(m.Group); r != nil {
		r.Deliver(m.Message)
	}
	return ctrl.Done{}, nil
}

// readConfig calls fn with the time at which this host became leader of group 0.
// While fn runs, it may read the state machine of the group. If this host does
// not hold the leader's lease, readConfig returns a notLeader fault.
func (c *Control) readConfig(fn func(leaderSince types.Mono)) error {
	return c.configReplica.Read(func(s quorum.Status, _ types.LogTime) { fn(s.LeadsSince) })
}

// proposeOrder sets the time of an operator's order and proposes it to group 0.
func (c *Control) proposeOrder(ctx context.Context, req ctrl.OrderRequest) (admin.Decision, error) {
	req.Order.At = time.Now()
	d, err := c.configReplica.Propose(ctx, req.Order)
	if err == nil {
		c.Log.Write(event.OrderDecided, event.Fields{
			"order": d.Order, "operator": req.Order.Operator, "accepted": d.Accepted, "version": d.Version, "reason": d.Reason,
		})
	}
	return d, err
}

func (c *Control) configuration(context.Context, ctrl.FleetRequest) (config.Fleet, error) {
	var fleet config.Fleet
	err := c.readConfig(func(types.Mono) { fleet = c.configMachine.Fleet() })
	return fleet, err
}

func (c *Control) target(_ context.Context, req ctrl.TargetRequest) (ctrl.TargetReply, error) {
	var reply ctrl.TargetReply
	err := c.readConfig(func(types.Mono) { reply.Target, reply.Found = c.configMachine.Target(req.ID) })
	return reply, err
}

func (c *Control) auditTrail(_ context.Context, req ctrl.TrailRequest) (ctrl.TrailReply, error) {
	var reply ctrl.TrailReply
	err := c.readConfig(func(types.Mono) { reply.Records = c.configMachine.AuditRecords(req.After, auditPageSize) })
	return reply, err
}

func (c *Control) accountGroup(id types.GroupID) (*accountGroup, error) {
	if g := c.accountGroups[id]; g != nil {
		return g, nil
	}
	return nil, types.NewFault(types.CodeNotFound, "group %d does not exist", id)
}

// proposeCommand proposes a ledger command to a group. A command that would
// exceed the rate limit is rejected at once, without being written to the log.
func (c *Control) proposeCommand(ctx context.Context, req ctrl.LedgerRequest) (ledger.Result, error) {
	g, err := c.accountGroup(req.Group)
	if err != nil {
		return ledger.Result{}, err
	}
	var fault *types.Fault
	err = g.Read(func(_ quorum.Status, at types.LogTime) { fault = g.machine.CheckRateLimit(at, req.Command) })
	if err != nil {
		return ledger.Result{}, err
	}
	if fault != nil {
		return ledger.Result{Fault: fault}, nil
	}
	return g.Propose(ctx, req.Command)
}

func (c *Control) renewSession(_ context.Context, req ctrl.RenewRequest) (ctrl.Done, error) {
	g, err := c.accountGroup(req.Group)
	if err != nil {
		return ctrl.Done{}, err
	}
	err = g.Read(func(quorum.Status, types.LogTime) { g.sessions.renew(req.Session, c.Clock()) })
	return ctrl.Done{}, err
}

func (c *Control) program(_ context.Context, req ctrl.ProgramRequest) (ctrl.ProgramReply, error) {
	var reply ctrl.ProgramReply
	g, err := c.accountGroup(req.Group)
	if err != nil {
		return reply, err
	}
	var programErr error
	err = g.Read(func(quorum.Status, types.LogTime) { programErr = g.describeProgram(req, &reply) })
	if err != nil {
		return reply, err
	}
	return reply, programErr
}

// describeProgram sets reply to the state of a program and, if requested, its
// history.
func (g *accountGroup) describeProgram(req ctrl.ProgramRequest, reply *ctrl.ProgramReply) error {
	summary, err := g.machine.ProgramSummary(req.Account, req.Program)
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
