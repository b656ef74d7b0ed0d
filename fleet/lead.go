package fleet

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// maxSyncWait bounds how long an answer to a host waits for news.
	maxSyncWait = 2 * time.Second
	// proposeTimeout bounds one command of an operator.
	proposeTimeout = 3 * time.Second
)

// sync answers a host once there is something that it does not have.
func (c *Control) sync(ctx context.Context, req SyncRequest) (SyncReply, error) {
	if err := c.enrol(ctx, req); err != nil {
		return SyncReply{}, err
	}
	timer := time.NewTimer(min(req.Wait, maxSyncWait))
	defer timer.Stop()
	waited := false
	for {
		news := c.news.next() // Before looking, so that nothing is missed.
		var reply SyncReply
		err := c.lead(func(now types.Mono) { reply = c.answer(req, now) })
		if err != nil || waited || reply.Have != req.Have {
			return reply, err
		}
		select {
		case <-news:
		case <-timer.C:
			waited = true
		case <-ctx.Done():
			return SyncReply{}, ctx.Err()
		}
	}
}

// answer returns what is newer than what the host has. Callers lead.
func (c *Control) answer(req SyncRequest, now types.Mono) SyncReply {
	if req.Store != nil {
		c.heard[req.Store.ID] = now
	}
	m, revision := c.machine.Map()
	reply := SyncReply{Have: Have{Version: c.machine.Version(), Revision: revision, Targets: c.targets.Sum}}
	if d := c.machine.Document(); d != nil && d.Plan.Version != req.Have.Version {
		reply.Plan = &d.Plan
	}
	if revision != req.Have.Revision {
		reply.Map = &m
	}
	switch c.targets.Sum {
	case 0: // This leader has not read the list yet; the host keeps its own.
		reply.Have.Targets = req.Have.Targets
	case req.Have.Targets:
	default:
		targets := c.targets
		reply.Targets = &targets
	}
	for _, member := range c.members.All() {
		reply.Control = append(reply.Control, string(member.Host))
	}
	return reply
}

// enrol makes a store known that is not.
func (c *Control) enrol(ctx context.Context, req SyncRequest) error {
	if req.Store == nil {
		return nil
	}
	known := false
	err := c.lead(func(now types.Mono) {
		m, _ := c.machine.Map()
		known = m.Members[req.Store.ID] == *req.Store
		if !known {
			c.enrolAt = now
		}
	})
	if err != nil || known {
		return err
	}
	_, err = c.propose(ctx, Command{Enrol: &Enrol{Member: *req.Store}})
	return err
}

func (c *Control) propose(ctx context.Context, command Command) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return c.replica.Propose(ctx, command)
}

// noteCopied notes for which moves a store has copied everything.
func (c *Control) noteCopied(_ context.Context, req CopiedRequest) (Done, error) {
	return Done{}, c.lead(func(now types.Mono) {
		c.heard[req.Store] = now
		c.copied[req.Store] = req.Copied
	})
}

// limits renews a host's allotments.
func (c *Control) limits(ctx context.Context, req LimitsRequest) (LimitsReply, error) {
	reply := LimitsReply{Allotments: map[types.AccountID]limit.Allotment{}}
	if err := c.enrolHolder(ctx, req.Host); err != nil {
		return reply, err
	}
	err := c.lead(func(now types.Mono) {
		c.reported[req.Host] = true
		known := c.allReported()
		for id, demand := range req.Demands {
			issuer := c.issuer(id, now)
			if issuer == nil {
				continue
			}
			if req.Return {
				issuer.Return(demand.Holder, now)
				continue
			}
			issuer.Hosts = len(c.machine.Holders())
			reply.Allotments[id] = issuer.Renew(demand, now)
			if known {
				issuer.Settle(now)
			}
		}
	})
	return reply, err
}

// enrolHolder makes an entry host known before it holds anything.
func (c *Control) enrolHolder(ctx context.Context, h types.HostID) error {
	known := false
	if err := c.lead(func(types.Mono) { known = c.machine.Holders()[h] }); err != nil || known {
		return err
	}
	_, err := c.propose(ctx, Command{Holder: &Holder{Host: h}})
	return err
}

// allReported reports whether every host that may hold an allotment has told
// of it in this reign. Callers lead.
func (c *Control) allReported() bool {
	for h := range c.machine.Holders() {
		if !c.reported[h] {
			return false
		}
	}
	return true
}

// issuer returns the issuer of an account with its newest limit, or nil if the
// account has none. Callers lead.
func (c *Control) issuer(id types.AccountID, now types.Mono) *limit.Issuer {
	d := c.machine.Document()
	if d == nil {
		return nil
	}
	if c.accounts == nil || c.accounts.Plan.Version != d.Plan.Version {
		c.accounts = plan.NewTable(&d.Plan)
	}
	a := c.accounts.Account(id)
	if a == nil || a.Rate <= 0 {
		return nil
	}
	issuer := c.issuers[id]
	if issuer == nil {
		issuer = limit.NewIssuer(c.reign)
		c.issuers[id] = issuer
	}
	issuer.Adjust(limit.Limit{Rate: a.Rate, Burst: a.Burst, Version: d.Plan.Version}, now)
	return issuer
}

// put brings a plan into force. A plan whose version is not higher than the
// one in force is acknowledged and changes nothing.
func (c *Control) put(ctx context.Context, req PutPlan) (Result, error) {
	known := false
	var version types.Version
	err := c.lead(func(types.Mono) {
		version = c.machine.Version()
		known = version >= req.Document.Plan.Version
	})
	if err != nil || known {
		return Result{Version: version}, err
	}
	result, err := c.propose(ctx, Command{Put: &req})
	c.Log.Write(event.OrderApplied, event.Fields{
		"version": req.Document.Plan.Version, "inForce": result.Version, "changed": result.Changed, "failed": err != nil,
	})
	return result, err
}

func (c *Control) read(context.Context, ReadRequest) (ReadReply, error) {
	var reply ReadReply
	err := c.lead(func(types.Mono) {
		if d := c.machine.Document(); d != nil {
			reply.Body, reply.Version = d.Body, d.Plan.Version
		}
	})
	return reply, err
}
