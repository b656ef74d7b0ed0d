package gate

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/relay"
	"github.com/banyanspur/banyanspur/types"
)

// sendOutcome is the result of sending a request to one target.
type sendOutcome uint8

const (
	// outcomeForwarded means that the response was forwarded to the caller,
	// perhaps truncated.
	outcomeForwarded sendOutcome = iota
	// outcomeNotRun means that the target did not run the request and never will.
	outcomeNotRun
	// outcomeMayHaveRun means that the target sent no valid response but may have
	// run the request.
	outcomeMayHaveRun
	// outcomeUnreachable means that no connection to the target could be opened, or that the
	// target closed it before the request was sent.
	outcomeUnreachable
	// outcomeExpired means that the deadline passed, the caller disconnected or the host
	// is stopping.
	outcomeExpired
	// outcomeUnconfirmed means that the target ran the request, and that nothing of its response may be
	// forwarded since the claim on the program's budget is not durable.
	outcomeUnconfirmed
)

const (
	// maxRejections is how many targets may reject a request, and maxUnreachable how many
	// may be unreachable, before the caller gets an error response. A refused connection
	// costs a round trip only.
	maxRejections  = 4
	maxUnreachable = 8

	// offerShare is the part of its remaining time, as a divisor, for which a turn that continues another one is
	// offered again, and offerInterval the pause before. Its caller has few tries, and would come again after
	// about that time. What is left is enough to run most turns.
	offerShare    = 2
	offerInterval = busyRetryAfter
)

var offersTotal = metrics.NewCounter("banyanspur_gate_repeated_offers_total")

// dispatch sends the request to a target and retries on other targets after a
// rejection, or after a failure if the request is repeatable and the route allows
// another attempt.
func (c *call) dispatch() *errorResponse {
	c.gate.retryBudget.Earn()
	service := c.view.Plan.Service(c.route.Backend(c.backendKey()))
	if service == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: "the route has no service"}
	}
	tried := map[types.TargetID]bool{}
	rejected, unreachable := 0, 0
	offerUntil := time.Now().Add(c.remaining() / offerShare)
	for {
		if c.poisonous() {
			return c.dispatchError(poisonousReason)
		}
		c.turn.displaced = c.isDisplaced(service, tried)
		choice, probing := c.pickProbe(service, tried)
		ok := probing
		if !probing {
			choice, ok = c.pickTarget(service, tried)
		}
		if !ok || rejected >= maxRejections || unreachable >= maxUnreachable {
			if len(tried) > 0 && c.offerAgain(offerUntil) {
				clear(tried)
				rejected, unreachable, c.limited = 0, 0, false
				continue
			}
			return c.noTarget(service)
		}
		tried[choice.ID] = true
		if !c.takeFromTargetLimit(choice.ID, c.lowPrecedence(service, choice.ID)) {
			c.limited = c.limited || !probing
			continue
		}
		switch c.send(service, choice, c.hasUntried(tried, service)) {
		case outcomeForwarded:
			return nil
		case outcomeExpired:
			return c.expired()
		case outcomeUnconfirmed:
			return c.dispatchError("cannot make the claim on the program's budget durable: " + c.turn.confirmation.reason())
		case outcomeNotRun:
			rejected++
		case outcomeUnreachable:
			unreachable++
		case outcomeMayHaveRun:
			c.runs++
			if !c.route.Repeatable() || c.runs >= max(1, c.route.Attempts) || c.r.Context().Err() != nil {
				return c.dispatchError("the target sent no valid response")
			}
		}
	}
}

// offerAgain waits for a moment if a turn that continues another one is to be offered again to targets that have
// not accepted it, and reports whether it is. Targets that are full accept whatever comes when a place is free: each
// offer more is a chance that first turns, which are refused at once, do not have.
func (c *call) offerAgain(until time.Time) bool {
	if c.turn.previous == "" || c.mayHaveRun || time.Now().Add(offerInterval).After(until) {
		return false
	}
	ctx, cancel := withTimeout(c.r.Context(), c.gate.answersCtx, offerInterval)
	defer cancel()
	<-ctx.Done()
	if c.r.Context().Err() != nil || c.gate.answersEnded() {
		return false
	}
	offersTotal.Inc()
	return true
}

// dispatchError returns the error response for a request that got no valid
// response: 503 if no target can have run it, 504 after the deadline, else 502.
func (c *call) dispatchError(reason string) *errorResponse {
	switch {
	case !c.mayHaveRun:
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: reason}
	case c.remaining() <= 0:
		return &errorResponse{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &errorResponse{status: http.StatusBadGateway, reason: reason}
}

// noTarget returns the error response for a request that no target has accepted.
func (c *call) noTarget(service *plan.Service) *errorResponse {
	wait, limited := c.limitedFor(service)
	if !limited {
		return c.dispatchError("no target accepted the request")
	}
	resp := c.dispatchError("the targets that could run the request are at the limits that they name")
	if !c.mayHaveRun {
		resp.retryAfter = max(resp.retryAfter, wait)
	}
	return resp
}

// backendKey returns the hash that selects one of the route's weighted backends.
// It is the same for all requests of a program.
func (c *call) backendKey() uint64 {
	key := c.r.Header.Get(c.gate.HeaderNames.Program)
	if key == "" {
		key = c.id
	}
	return xxhash.Sum64String(key)
}

// send sends the request to one target and forwards the response to the caller.
// hasAlternative is set if the request can still be sent to another target.
func (c *call) send(service *plan.Service, choice targetChoice, hasAlternative bool) sendOutcome {
	t, remaining := choice.Target, c.remaining()
	if remaining <= 0 || c.cannotComplete() {
		return outcomeExpired
	}
	c.target, c.lastSentAt = t.ID, time.Now()
	ctx, stopTimer, cancel := c.attemptContext(remaining, hasAlternative)
	defer cancel()
	sentAt := c.gate.Clock()
	c.gate.targets.requestStarted(t.ID, choice.tokens)
	c.endAttempt = sync.OnceFunc(func() { c.gate.targets.requestEnded(t.ID, choice.tokens) })
	defer func() { c.endAttempt() }()
	resp, err := c.gate.pool.Do(ctx, t.Address, &fetch.Request{
		Method: c.r.Method, RequestTarget: c.requestURI(), Host: c.r.Host, Header: c.targetHeader(t, remaining), Prefix: c.promptPrefix(), Body: c.body,
		ID: c.id, IDHeader: c.gate.HeaderNames.RequestID, MaxBodyBytes: maxResponseBytes, Begun: c.confirmClaim,
	})
	fields := event.Fields{
		"request": c.id, "service": service.Name, "leftMs": remaining.Milliseconds(), "answered": err == nil,
		"bytes": len(c.body), "account": c.accountID(), "planVersion": c.view.Versions.Plan, "targetsSum": c.view.Versions.Targets,
	}
	choice.addFields(fields)
	c.countLimited(t.ID, fields)
	c.gate.Log.Write(event.RequestSent, fields)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errAttemptTimeout) {
			err = errors.CombineErrors(err, cause)
		}
		return c.classifyError(t, err)
	}
	c.endAttempt = sync.OnceFunc(func() {
		resp.Close()
		c.gate.targets.requestEnded(t.ID, choice.tokens)
	})
	if c.echoed(resp) {
		c.recordNotice(t, resp.Header, sentAt)
	}
	c.recordAnnouncement(t, resp, sentAt)
	if outcome, unusable := c.classifyHead(t, resp); unusable {
		return outcome
	}
	c.mayHaveRun = true
	c.recordResponse(t, resp)
	if resp.Status >= http.StatusInternalServerError {
		c.gate.targets.recordServerError(t.ID)
	}
	if c.route.Kind == plan.Streaming && resp.Status < http.StatusMultipleChoices {
		return c.forwardStream(service, t, resp)
	}
	return c.forwardResponse(t, resp, stopTimer)
}

// classifyError logs a failed attempt and returns its outcome. The failure counts
// against the target unless the deadline passed or the attempt was canceled because
// the caller disconnected or the host is stopping.
func (c *call) classifyError(t fleet.Target, err error) sendOutcome {
	var fetchErr *fetch.Error
	mayHaveReached := !errors.As(err, &fetchErr) || fetchErr.Sent
	c.mayHaveRun = c.mayHaveRun || mayHaveReached
	canceled := c.r.Context().Err() != nil && c.route.Kind != plan.NonIdempotent || c.gate.answersEnded()
	if !canceled && c.remaining() > 0 {
		if !errors.Is(err, relay.ErrHostLost) {
			c.gate.targets.recordFailure(t.ID)
		}
		c.logTargetFailed(t, event.Fields{"sent": mayHaveReached, "error": err.Error()})
	}
	if mayHaveReached && (!canceled || c.interruptedByTarget()) {
		c.recordInterrupted(t)
	}
	switch {
	case !mayHaveReached && c.remaining() > 0 && !canceled:
		c.gate.limits.targets.refund(t.ID)
		// A target that resets a new connection may be at its limit of connections, and is up.
		if !errors.Is(err, relay.ErrHostLost) && (fetchErr == nil || !fetchErr.Connected) {
			c.gate.recordUnreachable(t)
		}
		return outcomeUnreachable
	case c.remaining() <= 0 || canceled:
		return outcomeExpired
	}
	return outcomeMayHaveRun
}

// logTargetFailed logs a failed attempt with the given additional fields.
func (c *call) logTargetFailed(t fleet.Target, fields event.Fields) {
	fields["request"], fields["target"], fields["fingerprint"] = c.id, t.ID, c.fingerprint()
	c.gate.Log.Write(event.TargetFailed, fields)
}

// classifyHead reports whether a response must not be forwarded, and returns the outcome in
// that case: the target says that it did not run the request, or the response cannot be
// believed, so that it may have run it.
func (c *call) classifyHead(t fleet.Target, resp *fetch.Response) (outcome sendOutcome, unusable bool) {
	rejected := resp.Header.Get(c.gate.HeaderNames.NotRun) != "" || resp.Status == http.StatusMisdirectedRequest
	genuine := c.isGenuine(resp)
	if genuine && !rejected && !guaranteesNotRun(resp.Status) {
		return outcomeForwarded, false
	}
	if genuine && rejected && resp.Status != http.StatusMisdirectedRequest {
		c.recordResponse(t, resp)
		c.gate.targets.recordRefusal(t.ID)
	} else {
		c.gate.targets.recordFailure(t.ID) // With status 421, the address now belongs to another target.
	}
	c.logTargetFailed(t, event.Fields{
		"sent": true, "status": resp.Status, "notRun": rejected, "echoed": c.echoed(resp), "reused": resp.Reused,
		"signed": resp.Header.Get(c.gate.HeaderNames.Signature) != "",
	})
	if genuine && rejected {
		return outcomeNotRun, true
	}
	c.mayHaveRun = true
	return outcomeMayHaveRun, true
}

// guaranteesNotRun reports whether callers take the status as a guarantee that no target
// runs the request. A target's response must not be forwarded with it, since only its
// header can guarantee that.
func guaranteesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// hopByHopHeaders lists the header fields that apply to a single connection and
// are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length",
}

// targetHeader returns the request header for a target: the caller's header
// without hop-by-hop fields, the key and internal fields, and with the account,
// target, remaining time and priority set.
func (c *call) targetHeader(t fleet.Target, remaining time.Duration) http.Header {
	headers := c.gate.HeaderNames
	h := c.r.Header.Clone()
	for _, list := range c.r.Header["Connection"] {
		for _, field := range strings.Split(list, ",") {
			h.Del(textproto.TrimString(field))
		}
	}
	for _, field := range hopByHopHeaders {
		h.Del(field)
	}
	for _, field := range headers.Internal {
		h.Del(field)
	}
	h.Del(headers.Credential)
	h.Del(headers.Account)
	if c.account != nil {
		h.Set(headers.Account, string(c.account.Name))
	}
	h.Set(headers.Target, string(t.ID))
	h.Set(headers.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if headers.Priority != "" {
		h.Set(headers.Priority, strconv.Itoa(min(maxPriority, c.priority())))
	}
	return h
}

// maxPriority is the least urgent priority that targets accept.
const maxPriority = 9
