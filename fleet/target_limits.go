package fleet

import (
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// TargetNotice is a [limit.Notice] with its age instead of its time, since hosts have
// different clocks.
type TargetNotice struct {
	Rate   types.PerSecond `json:"rate,omitempty"`
	Lifted bool            `json:"lifted,omitempty"`
	Ago    time.Duration   `json:"ago"`
}

// TargetNotices holds notices by target.
type TargetNotices map[types.TargetID]TargetNotice

// NewTargetNotices returns the given notices as they are sent now.
func NewTargetNotices(notices map[types.TargetID]limit.Notice, now types.Mono) TargetNotices {
	if len(notices) == 0 {
		return nil
	}
	sent := TargetNotices{}
	for id, n := range notices {
		sent[id] = TargetNotice{Rate: n.Rate, Lifted: n.Lifted, Ago: now.Sub(n.At)}
	}
	return sent
}

// Received returns the notice as received now.
func (n TargetNotice) Received(now types.Mono) limit.Notice {
	return limit.Notice{Rate: n.Rate, Lifted: n.Lifted, At: now.Add(-n.Ago)}
}

// exchangeNotices records the limits that targets have named to a host, and returns
// those that have changed since its last exchange. It must be called within asLeader.
func (c *Control) exchangeNotices(req LoadsRequest, now types.Mono) (TargetNotices, Cursor) {
	c.recordNotices(req.Notices, now)
	since := uint64(0)
	if req.NoticesSince.TableID == c.noticesID {
		since = req.NoticesSince.Next
	}
	changed, revision := c.notices.Since(since)
	return NewTargetNotices(changed, now), Cursor{TableID: c.noticesID, Next: revision}
}

func (c *Control) recordNotices(notices TargetNotices, now types.Mono) {
	for id, n := range notices {
		c.notices.Add(id, n.Received(now))
	}
}

// targetIssuer divides the limit of a target. limitedAt is when the target had a limit last.
type targetIssuer struct {
	*limit.Issuer
	limitedAt types.Mono
}

// targetLimit returns the limit of a target: the lowest of what the target names and of what
// it can take while it is cold. limited is false if it has none. It must be called within
// asLeader.
func (c *Control) targetLimit(id types.TargetID, now types.Mono) (l limit.Limit, limited bool) {
	add := func(source limit.Limit) {
		if limited {
			source = source.Lowest(l)
		}
		l, limited = source, true
	}
	if n, ok := c.notices.Get(id); ok && !n.Lifted {
		add(limit.TargetLimit(n.Rate))
	}
	if _, cold, ok := c.coldLimit(id, now); ok {
		add(cold)
	}
	if a, ok := c.pace.Allowed(id); ok {
		add(a.Limit())
	}
	return l, limited
}

// targetLimits renews or returns a host's allotments of the limits of targets.
// complete reports whether all allotments of earlier leaders are known. It must be
// called within asLeader.
func (c *Control) targetLimits(req LimitsRequest, reply *LimitsReply, complete bool, now types.Mono) {
	c.recordNotices(req.TargetNotices, now)
	c.recordCold(req.TargetsCold, now)
	reply.TargetAllotments = map[types.TargetID]limit.Allotment{}
	lifted := map[types.TargetID]limit.Notice{}
	for id, demand := range req.TargetDemands {
		l, limited := c.targetLimit(id, now)
		n, known := c.notices.Get(id)
		issuer := c.targetIssuers[id]
		if lifts(n, known) {
			lifted[id] = n
		}
		switch {
		case issuer != nil && req.Return:
			issuer.Return(demand.Holder, now)
			continue
		case issuer != nil && demand.Release:
			issuer.Release(demand, now)
			continue
		case req.Return || demand.Release:
			continue
		case !limited && issuer != nil && !lifts(n, known) && now.Sub(issuer.limitedAt) < limitEnd:
			reply.TargetAllotments[id] = issuer.Renew(demand, now)
			continue
		case !limited:
			continue
		case issuer == nil:
			issuer = &targetIssuer{Issuer: limit.NewIssuer(c.leaderSince)}
			issuer.PerRequest = true
			c.targetIssuers[id] = issuer
		}
		issuer.limitedAt = now
		issuer.SetLimit(l, now)
		issuer.HostCount = len(c.machine.Holders())
		reply.TargetAllotments[id] = issuer.Renew(demand, now)
		if complete {
			issuer.MarkAllReported(now)
		}
	}
	reply.TargetNotices = NewTargetNotices(lifted, now)
}

// lifts reports whether a target that named a limit no longer does.
func lifts(n limit.Notice, known bool) bool { return known && n.Lifted }

// limitEnd is how long the last limit of a target is still divided among the hosts that do
// not know of its end. Else they would send nothing to it until their next exchange of loads.
const limitEnd = time.Second

// issuerRetention is how long the issuer of a target without a limit is kept: until all of
// its allotments have expired, which the next issuer would not know of.
const issuerRetention = 2 * limit.AllotmentTime

// expireTargetLimits removes the limits of targets that no host has used for a while.
// It must be called within asLeader.
func (c *Control) expireTargetLimits(now types.Mono) {
	c.notices.Expire(now)
	for id, issuer := range c.targetIssuers {
		if _, limited := c.targetLimit(id, now); !limited && now.Sub(issuer.limitedAt) > issuerRetention {
			delete(c.targetIssuers, id)
		}
	}
}
