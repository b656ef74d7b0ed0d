package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// limitShares manages this host's shares of the accounts' rate limits and of the limits
// that targets name. It is safe for concurrent use after init.
type limitShares struct {
	gate        *Gate
	holder      limit.Holder
	renewNow    chan struct{}         // triggers a renewal before the next tick; capacity 1
	lastRenewal types.Mono            // when the issuer was last sent a request; used by run only
	timeout     types.AdaptiveTimeout // of the next renewal; used by run only
	// unansweredSince is the [types.Mono] time of the first request to the issuer
	// since its last reply; 0 if it has replied to the last one.
	unansweredSince atomic.Int64

	accounts shareTable[types.AccountID]
	targets  shareTable[types.TargetID]
}

const (
	// renewInterval is how often allotments are renewed. It is shorter than
	// [limit.IssuerTimeout], after which a host without a reply from the issuer
	// refills its own buckets.
	renewInterval = limit.IssuerTimeout * 5 / 8
	// idleRenewInterval is how often a host without allotments sends an empty
	// request. A new leader needs a report from every host that may hold an
	// allotment.
	idleRenewInterval = time.Second
	// renewTimeout is the timeout of one renewal. It covers many round trips
	// between zones, and is shorter than an election so that the next attempt
	// reaches the new leader soon. It grows up to maxRenewTimeout while the leader is
	// late, within which an allotment that is not late itself is still of use.
	renewTimeout    = 200 * time.Millisecond
	maxRenewTimeout = 4 * renewTimeout
	// renewBatchPause is the minimum pause between two renewals. Renewals triggered
	// during the pause are combined into one request.
	renewBatchPause = 4 * time.Millisecond
	// idleShareTTL is how long a share of an account's limit is kept without
	// requests, and idleTargetTTL a share of a target's limit. A host may send to
	// many targets, each of them rarely.
	idleShareTTL  = 10 * time.Second
	idleTargetTTL = time.Second
)

func (s *limitShares) init(g *Gate) {
	s.gate = g
	s.holder = limit.Holder(string(g.Host) + "/" + types.RandomID())
	s.renewNow = make(chan struct{}, 1)
	s.timeout = types.AdaptiveTimeout{Min: renewTimeout, Max: maxRenewTimeout}
	s.accounts.clock, s.accounts.renewNow, s.accounts.idleTTL = g.Clock, s.renewNow, idleShareTTL
	s.targets.clock, s.targets.renewNow, s.targets.idleTTL = g.Clock, s.renewNow, idleTargetTTL
}

// issuerSilence returns how long the issuer has not replied to a request, 0 if it has
// replied to the last one.
func (s *limitShares) issuerSilence() time.Duration {
	since := types.Mono(s.unansweredSince.Load())
	if since == 0 {
		return 0
	}
	return s.gate.Clock().Sub(since)
}

// run renews shares periodically and on request until ctx is canceled, and then
// returns the allotments.
func (s *limitShares) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.returnAllotments(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			s.renew(ctx, func(*pendingShare) bool { return true })
		case <-s.renewNow:
			s.renew(ctx, func(p *pendingShare) bool { return p.needsRenewal })
		}
		types.Sleep(ctx, renewBatchPause)
	}
}

// renew requests new allotments for the shares that include selects. If there are
// none, but there are limits or have been, it sends an empty request every
// idleRenewInterval.
func (s *limitShares) renew(ctx context.Context, include func(*pendingShare) bool) {
	requestedAt := s.gate.Clock()
	req, anyLimit := s.demands(requestedAt, include)
	empty := len(req.Demands)+len(req.TargetDemands) == 0
	if !anyLimit || empty && requestedAt.Sub(s.lastRenewal) < idleRenewInterval {
		return
	}
	s.lastRenewal = requestedAt
	s.unansweredSince.CompareAndSwap(0, int64(requestedAt))
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Duration())
	defer cancel()
	startedAt := time.Now()
	reply, err := s.gate.Fleet.Limits(ctx, req)
	s.timeout.Ended(time.Since(startedAt), err)
	if err != nil {
		return // Current allotments stay valid until they expire; the client records which control host failed.
	}
	s.unansweredSince.Store(0)
	s.gate.targetLimits.merge(reply.TargetNotices, s.gate.Clock())
	s.accounts.apply(req.Demands, reply.Allotments, requestedAt)
	s.targets.apply(req.TargetDemands, reply.TargetAllotments, requestedAt)
}

// demands returns the request with the demands of the shares that include selects, and
// whether there is or was any limit.
func (s *limitShares) demands(now types.Mono, include func(*pendingShare) bool) (req fleet.LimitsRequest, anyLimit bool) {
	req = fleet.LimitsRequest{Host: s.gate.Host}
	view := s.gate.Fleet.View()
	if view.Plan == nil {
		return req, false
	}
	req.Demands = s.accounts.demands(s.holder, now, include, func(id types.AccountID) bool {
		planned := view.Plan.Account(id)
		return planned != nil && planned.Rate > 0
	})
	req.TargetDemands = s.targets.demands(s.holder, now, include, func(id types.TargetID) bool {
		_, limited := s.gate.targetLimit(id)
		return limited
	})
	req.TargetNotices = s.gate.targetLimits.noticesOf(req.TargetDemands, now)
	req.TargetsCold = s.gate.coldAmong(req.TargetDemands, now)
	return req, view.Plan.HasRateLimits || len(req.TargetDemands) > 0 || s.lastRenewal > 0
}

// returnAllotments returns all allotments to the issuer, so that other hosts need
// not wait until they expire.
func (s *limitShares) returnAllotments(ctx context.Context) {
	req, _ := s.demands(s.gate.Clock(), func(*pendingShare) bool { return true })
	if len(req.Demands)+len(req.TargetDemands) == 0 {
		return
	}
	req.Return = true
	s.accounts.clear()
	s.targets.clear()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	// If the request is lost, the allotments expire.
	_, _ = s.gate.Fleet.Limits(ctx, req)
}
