package fleet

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// maxSyncWait bounds how long the leader holds a sync request open.
	maxSyncWait = 2 * time.Second
	// proposeTimeout bounds how long a command may take to be committed and
	// applied.
	proposeTimeout = 3 * time.Second
)

// sync handles a long poll. It replies once the leader has a version that the
// host does not have, or when the wait ends.
func (c *Control) sync(ctx context.Context, req SyncRequest) (SyncReply, error) {
	if err := c.registerStore(ctx, req); err != nil {
		return SyncReply{}, err
	}
	timer := time.NewTimer(min(req.Wait, maxSyncWait))
	defer timer.Stop()
	timedOut := false
	for {
		changed := c.changes.wait() // Before reading the state, so that no change is missed.
		var reply SyncReply
		err := c.asLeader(func(now types.Mono) { reply = c.buildSyncReply(req, now) })
		if err != nil || timedOut || reply.Versions != req.Versions {
			return reply, err
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return SyncReply{}, ctx.Err()
		}
	}
}

// buildSyncReply returns the changes since the versions in req, and records a
// heartbeat of the host's store. It must be called within asLeader.
func (c *Control) buildSyncReply(req SyncRequest, now types.Mono) SyncReply {
	if req.Store != nil {
		c.lastSeen[req.Store.ID] = now
	}
	c.recordZone(req.Zone)
	m, revision := c.machine.Map()
	reply := SyncReply{Versions: Versions{Plan: c.machine.PlanVersion(), Map: revision, Targets: c.targets.Checksum}}
	if d := c.machine.Document(); d != nil && d.Plan.Version != req.Versions.Plan {
		reply.Plan = &d.Plan
	}
	if revision != req.Versions.Map {
		reply.Map = &m
	}
	switch c.targets.Checksum {
	case 0: // This leader has not fetched the list yet, so the host keeps its own.
		reply.Versions.Targets = req.Versions.Targets
	case req.Versions.Targets:
	default:
		reply.Targets = c.targetsWithCold(now)
	}
	c.addZones(&reply, req)
	for _, member := range c.members.All() {
		reply.ControlHosts = append(reply.ControlHosts, string(member.Host))
	}
	return reply
}

// registerStore registers the store of the requesting host, unless the shard map
// contains it with the same data.
func (c *Control) registerStore(ctx context.Context, req SyncRequest) error {
	if req.Store == nil {
		return nil
	}
	registered := false
	err := c.asLeader(func(now types.Mono) {
		m, _ := c.machine.Map()
		registered = m.Members[req.Store.ID] == *req.Store
		if !registered {
			c.lastRegistration = now
		}
	})
	if err != nil || registered {
		return err
	}
	_, err = c.propose(ctx, Command{RegisterStore: &RegisterStore{Member: *req.Store}})
	return err
}

func (c *Control) propose(ctx context.Context, command Command) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.replica.Propose(ctx, command)
}

// recordCopied records the moves for which a store has copied all data.
func (c *Control) recordCopied(_ context.Context, req CopiedRequest) (Ack, error) {
	return Ack{}, c.asLeader(func(now types.Mono) {
		c.lastSeen[req.Store] = now
		c.copied[req.Store] = req.Copied
	})
}

// limits renews or returns a host's allotments of account limits.
func (c *Control) limits(ctx context.Context, req LimitsRequest) (LimitsReply, error) {
	reply := LimitsReply{Allotments: map[types.AccountID]limit.Allotment{}}
	if err := c.registerHolder(ctx, req.Host); err != nil {
		return reply, err
	}
	err := c.asLeader(func(now types.Mono) {
		c.reportedHosts[req.Host] = true
		complete := c.allHoldersReported()
		for id, demand := range req.Demands {
			issuer := c.issuer(id, now)
			if issuer == nil {
				continue
			}
			if req.Return {
				issuer.Return(demand.Holder, now)
				continue
			}
			if demand.Release {
				issuer.Release(demand, now)
				continue
			}
			issuer.HostCount = len(c.machine.Holders())
			reply.Allotments[id] = issuer.Renew(demand, now)
			if complete {
				issuer.MarkAllReported(now)
			}
		}
		c.targetLimits(req, &reply, complete, now)
	})
	return reply, err
}

// registerHolder registers a host as a possible holder of allotments. The
// registration is committed before the host receives its first allotment.
func (c *Control) registerHolder(ctx context.Context, h types.HostID) error {
	registered := false
	if err := c.asLeader(func(types.Mono) { registered = c.machine.Holders()[h] }); err != nil || registered {
		return err
	}
	_, err := c.propose(ctx, Command{RegisterHolder: &RegisterHolder{Host: h}})
	return err
}

// allHoldersReported reports whether every host that may hold allotments has
// reported to this leader since its election. It must be called within
// asLeader.
func (c *Control) allHoldersReported() bool {
	for h := range c.machine.Holders() {
		if !c.reportedHosts[h] {
			return false
		}
	}
	return true
}

// issuer returns the issuer of an account's allotments, adjusted to the plan in
// force, or nil if the account has no limit. It must be called within asLeader.
func (c *Control) issuer(id types.AccountID, now types.Mono) *limit.Issuer {
	table := c.planInForce()
	if table == nil {
		return nil
	}
	a := table.Account(id)
	if a == nil || a.Rate <= 0 {
		return nil
	}
	issuer := c.issuers[id]
	if issuer == nil {
		issuer = limit.NewIssuer(c.leaderSince)
		c.issuers[id] = issuer
	}
	issuer.SetLimit(limit.Limit{Rate: a.Rate, Burst: a.Burst, Version: table.Plan.Version}, now)
	return issuer
}

// planInForce returns the plan in force, or nil if there is none. It must be called within
// asLeader.
func (c *Control) planInForce() *plan.Table {
	d := c.machine.Document()
	if d == nil {
		return nil
	}
	if c.planTable == nil || c.planTable.Plan.Version != d.Plan.Version {
		c.planTable = plan.NewTable(&d.Plan)
	}
	return c.planTable
}

// maxDocumentBytes is the maximum size of a plan in both of its forms. A snapshot, which has
// the rest of the state besides, is sent in one message.
const maxDocumentBytes = wire.MaxMessageBytes - 8<<20

// put replaces the plan. A plan whose version is not higher than that of the
// plan in force is acknowledged without effect.
func (c *Control) put(ctx context.Context, req PutPlan) (Result, error) {
	upToDate := false
	var version types.Version
	err := c.asLeader(func(types.Mono) {
		version = c.machine.PlanVersion()
		upToDate = version >= req.Document.Plan.Version
	})
	if err != nil || upToDate {
		return Result{PlanVersion: version}, err
	}
	if n := len(types.Encode(req.Document)); n > maxDocumentBytes {
		return Result{}, types.NewFault(types.CodePayloadTooLarge, "the configuration takes %d bytes, at most %d are possible", n, maxDocumentBytes)
	}
	result, err := c.propose(ctx, Command{Put: &req})
	c.Log.Write(event.OrderDecided, event.Fields{
		"version": req.Document.Plan.Version, "inForce": result.PlanVersion, "changed": result.Changed, "failed": err != nil,
	})
	return result, err
}

func (c *Control) read(context.Context, ReadRequest) (ReadReply, error) {
	var reply ReadReply
	err := c.asLeader(func(types.Mono) {
		if d := c.machine.Document(); d != nil {
			reply.Body, reply.Version = d.Body, d.Plan.Version
		}
	})
	return reply, err
}
