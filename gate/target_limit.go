package gate

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

var (
	limitedSendsTotal = metrics.NewCounter("banyanspur_gate_limited_sends_total")
	fullTargetsTotal  = metrics.NewCounter("banyanspur_gate_full_targets_total")
)

const (
	// targetLimitWait is how long a request waits for a part of a target's limit. It
	// covers a few round trips to the issuer; after that another target is tried.
	targetLimitWait = 60 * time.Millisecond
	// maxIssuerSilence is the silence of the issuer after which requests no longer
	// wait for it.
	maxIssuerSilence = 50 * time.Millisecond
	// targetRenewals is how many renewals may leave a request without a part of the
	// limit. The first one may have been requested before the request came.
	targetRenewals = 2
)

// recordNotice records the limit in a response of a target.
func (c *call) recordNotice(t fleet.Target, h http.Header, sentAt types.Mono) {
	rate, named, err := parseRate(h.Get(c.gate.HeaderNames.TargetLimit))
	if err != nil {
		c.gate.Log.Write(event.TargetLimited, event.Fields{"target": t.ID, "request": c.id, "error": err.Error()})
		return
	}
	if c.gate.targetLimits.observe(t.ID, rate, named, sentAt, c.gate.Clock()) {
		c.gate.Log.Write(event.TargetLimited, event.Fields{"target": t.ID, "request": c.id, "limit": rate, "lifted": !named})
	}
}

// parseRate parses a rate in requests per second. It reports false for an empty text.
func parseRate(text string) (rate types.PerSecond, named bool, err error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, false, nil
	}
	f, err := strconv.ParseFloat(text, 64)
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0) || f < 0) {
		err = strconv.ErrRange
	}
	return types.PerSecond(f), err == nil, err
}

// lowPrecedence reports whether a request leaves the limit of a target to others: to the
// turns whose prompt is in the target's cache, and to those whose target cannot take them. On another target each
// of the former would have to be prefilled again, at the cost of the requests that run there; the callers of the latter
// rely on the turns before.
func (c *call) lowPrecedence(service *plan.Service, id types.TargetID) bool {
	return service.Engine != nil && id != c.turn.lastTarget && !c.turn.displaced
}

// isDisplaced reports whether the call continues a turn whose target cannot take it: it is not known, not
// listed, at its limit, avoided, unreachable, or was tried.
func (c *call) isDisplaced(service *plan.Service, tried map[types.TargetID]bool) bool {
	last := c.turn.lastTarget
	if c.turn.previous == "" || service.Engine == nil {
		return false
	}
	if last == "" || tried[last] || c.fullFor(service, last, c.gate.Clock()) > 0 || c.gate.targets.unreachable(last) {
		return true
	}
	return !slices.ContainsFunc(c.candidates(service, nil), func(t fleet.Target) bool { return t.ID == last })
}

// takeFromTargetLimit deducts one request from the limit of a target, if it has
// one. If the limit is used up, it returns false, and the target gets no such
// requests of this host for a while. low is set if the request has low precedence.
func (c *call) takeFromTargetLimit(id types.TargetID, low bool) bool {
	l, s := &c.gate.targetLimits, &c.gate.limits
	target, limited := c.gate.targetLimit(id)
	if !limited {
		return true
	}
	r := limitedRequest{precedence: limit.Ordinary}
	if low {
		r.precedence = limit.Low
	}
	w, renewed, ok := s.targets.join(id, r)
	if ok {
		return true
	}
	admitted, unlimited := c.awaitTargetLimit(id, w, renewed)
	if admitted {
		return true
	}
	defer s.targets.leave(id, w)
	if unlimited {
		return true
	}
	queueWait, _, refillWait := s.targets.waitTimes(id, w, target.Rate)
	if s.issuerSilence() > maxIssuerSilence {
		queueWait = refillWait
	}
	l.setFull(id, low, queueWait, c.gate.Clock())
	fullTargetsTotal.Inc()
	allotment, tokens := s.targets.held(id)
	c.gate.Log.Write(event.TargetFull, event.Fields{
		"request": c.id, "target": id, "limit": target.Rate, "low": low, "held": allotment, "tokens": tokens, "queueMs": queueWait.Milliseconds(), "issuerSilentMs": s.issuerSilence().Milliseconds(),
	})
	return false
}

// awaitTargetLimit waits for a part of a target's limit from the issuer. renewed is
// closed after the next renewal. It reports whether there was one, or there is no limit any more.
func (c *call) awaitTargetLimit(id types.TargetID, w *limit.Waiter, renewed <-chan struct{}) (admitted, unlimited bool) {
	s := &c.gate.limits
	timeout := time.NewTimer(min(targetLimitWait, c.remaining()/2))
	defer timeout.Stop()
	for range targetRenewals {
		if s.issuerSilence() > maxIssuerSilence {
			return false, false
		}
		select {
		case <-renewed:
		case <-timeout.C:
			return false, false
		case <-c.r.Context().Done():
			return false, false
		}
		next, ok := s.targets.admitted(id, w)
		if _, limited := c.gate.targetLimit(id); ok || !limited {
			return ok, !limited
		}
		if next == nil {
			return false, false
		}
		renewed = next
	}
	return false, false
}

// countLimited counts a request to a target with a limit, and adds the limit to the fields of
// a log event.
func (c *call) countLimited(id types.TargetID, fields event.Fields) {
	l, limited := c.gate.targetLimit(id)
	if !limited {
		return
	}
	limitedSendsTotal.Inc()
	fields["limit"] = l.Rate
	if left, _, cold := c.gate.coldLimit(id, c.gate.Clock()); cold {
		coldSendsTotal.Inc()
		fields["coldLeftMs"] = left.Milliseconds()
	}
	if a, paced := c.gate.allowedPace(id, c.gate.Clock()); paced {
		pacedSendsTotal.Inc()
		fields["paced"], fields["probe"] = a.Rate, a.Probe
	}
}

// limitedFor returns the time until a target of the service that is at its limit may
// accept a request, and false if there is no such target.
func (c *call) limitedFor(service *plan.Service) (wait time.Duration, limited bool) {
	now := c.gate.Clock()
	for _, t := range c.candidates(service, nil) {
		if d := c.fullFor(service, t.ID, now); d > 0 && (!limited || d < wait) {
			wait, limited = d, true
		}
	}
	return wait, limited
}
