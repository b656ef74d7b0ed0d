package gate

import (
	"net/http"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
)

const (
	// silentIssuerWait is how long a request waits while the issuer of allotments
	// does not respond. It covers an election and the discovery of the new leader.
	// As far as this host knows, the request is within the rate.
	silentIssuerWait = 1200 * time.Millisecond
	// silentIssuerRetryAfter is the Retry-After value after such a wait.
	silentIssuerRetryAfter = 400 * time.Millisecond
	// minRenewalPoll and maxRenewalPoll bound the pause after which a waiting
	// request triggers another renewal.
	minRenewalPoll = 10 * time.Millisecond
	maxRenewalPoll = 60 * time.Millisecond
	// minRetryAfter is the minimum Retry-After value of a rate limit error.
	minRetryAfter = 50 * time.Millisecond
)

// takeFromLimit deducts one request from the account's rate limit. If the share of
// this host is exhausted, it waits for a short time.
func (c *call) takeFromLimit() *errorResponse {
	if c.account == nil || c.account.Rate <= 0 {
		return nil
	}
	s, low := &c.gate.limits, c.startsProgram()
	renewed, ahead, ok := s.accounts.tryTake(c.account.Name, low)
	if !ok {
		defer s.accounts.stopWaiting(c.account.Name, low)
		if resp := c.awaitLimit(renewed, ahead, low); resp != nil {
			return resp
		}
	}
	c.limitTaken = true
	if key, ok := c.programKey(); ok {
		c.gate.begun.add(key)
	}
	return nil
}

// awaitLimit waits until a renewal or the refill of this host's bucket admits the
// request. A request that would have to wait for too long is refused immediately. ahead
// is the number of requests of this host that wait before it, renewed is closed after the
// next renewal, and low is set if the request has low precedence.
func (c *call) awaitLimit(renewed <-chan struct{}, ahead int, low bool) *errorResponse {
	s := &c.gate.limits
	deadline := time.Now().Add(min(silentIssuerWait, c.remaining()/2))
	for issuerReplied := false; ; {
		queueWait, refillWait := s.accounts.waitTimes(c.account.Name, ahead, c.account.Rate)
		if issuerReplied && queueWait > s.accounts.maxWait(c.account.Name, low) {
			return c.rateLimited(queueWait)
		}
		select {
		case <-renewed:
			if !issuerReplied {
				issuerReplied = true
				deadline = earlier(deadline, time.Now().Add(s.accounts.maxWait(c.account.Name, low)))
			}
		case <-time.After(min(time.Until(deadline), refillWait, max(minRenewalPoll, min(queueWait/2, maxRenewalPoll)))):
			s.accounts.requestRenewal(c.account.Name)
		case <-c.r.Context().Done():
			return c.rateLimited(queueWait)
		case <-c.gate.answersCtx.Done():
			return refusedByStop()
		}
		next, ok := s.accounts.retryTake(c.account.Name, low)
		if ok {
			return nil
		}
		renewed = next
		timedOut := !time.Now().Before(deadline)
		if timedOut && !issuerReplied {
			return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: silentIssuerRetryAfter, reason: "the account's rate limit cannot be checked, its issuer does not respond"}
		}
		if timedOut || renewed == nil {
			return c.rateLimited(queueWait)
		}
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// rateLimited returns the error response for a request above its account's rate
// limit. queueWait is the estimated time until the request would be admitted.
func (c *call) rateLimited(queueWait time.Duration) *errorResponse {
	allotment, tokens := c.gate.limits.accounts.held(c.account.Name)
	return &errorResponse{
		status: http.StatusTooManyRequests, retryAfter: max(minRetryAfter, min(queueWait, limit.AllotmentTime)), reason: "the account is above its rate",
		logFields: event.Fields{"rate": c.account.Rate, "burst": c.account.Burst, "held": allotment, "tokens": tokens, "queueMs": queueWait.Milliseconds(), "starts": c.startsProgram()},
	}
}
