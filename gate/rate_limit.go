package gate

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

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
	accounts := &c.gate.limits.accounts
	w, renewed, ok := accounts.join(c.account.Name, c.limitedRequest())
	if !ok {
		if resp := c.awaitLimit(w, renewed); resp != nil {
			accounts.refuse(c.account.Name, w)
			return resp
		}
	}
	c.limitTaken = true
	if key, ok := c.programKey(); ok {
		c.gate.begun.add(key)
	}
	return nil
}

// limitedRequest returns what decides on the order in which the account's limit admits the request.
func (c *call) limitedRequest() (r limitedRequest) {
	switch {
	case c.startsProgram():
		r.precedence = limit.Low
	case c.turn.previous != "":
		r = limitedRequest{limit.Ordinary, c.turnKey()}
	default:
		r.precedence = limit.Ordinary
	}
	return r
}

// turnKey identifies a turn that continues another one over all attempts of its caller to send it, each of which
// has a request ID of its own.
func (c *call) turnKey() limit.TurnKey {
	h, headers := c.r.Header, c.gate.HeaderNames
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(c.accountID()), h.Get(headers.Program), h.Get(headers.Line), string(c.turn.previous)} {
		_, _ = d.WriteString(part) // Always succeeds.
		_, _ = d.WriteString("\x00")
	}
	return limit.TurnKey(max(1, d.Sum64()))
}

// limitAfterClaim reports whether the request should ask for a part of its account's limit only once its budget
// covers it. While the limit is scarce, turns of programs that have used up their budgets would hold parts of it, and
// keep out turns that can run, for as long as the stores take to tell.
func (c *call) limitAfterClaim() bool {
	return c.account != nil && c.account.Rate > 0 && c.turn.hasClaim && c.gate.limits.accounts.scarce(c.account.Name)
}

// awaitLimit waits until a renewal or the refill of this host's bucket admits the
// request. A request that would have to wait for too long is refused immediately.
// renewed is closed after the next renewal.
func (c *call) awaitLimit(w *limit.Waiter, renewed <-chan struct{}) *errorResponse {
	s := &c.gate.limits
	deadline := time.Now().Add(min(silentIssuerWait, c.remaining()/2))
	for issuerReplied := false; ; {
		queueWait, maxWait, refillWait := s.accounts.waitTimes(c.account.Name, w, c.account.Rate)
		if issuerReplied && queueWait > maxWait {
			return c.rateLimited(queueWait)
		}
		select {
		case <-renewed:
			if !issuerReplied {
				issuerReplied = true
				_, maxWait, _ = s.accounts.waitTimes(c.account.Name, w, c.account.Rate) // The turn may have been refused before.
				deadline = earlier(deadline, time.Now().Add(maxWait))
			}
		case <-time.After(min(time.Until(deadline), refillWait, max(minRenewalPoll, min(queueWait/2, maxRenewalPoll)))):
			s.accounts.requestRenewal(c.account.Name)
		case <-c.r.Context().Done():
			return c.rateLimited(queueWait)
		case <-c.gate.answersCtx.Done():
			return refusedByStop()
		}
		next, ok := s.accounts.admitted(c.account.Name, w)
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
