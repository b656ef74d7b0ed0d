package gate

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// call is the state of one request while it passes through the filters.
type call struct {
	gate  *Gate
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	id    string
	view  fleet.View

	route    *plan.Route
	account  *plan.Account  // nil on anonymous routes
	received *intake.Holder // memory of body and its copies; nil without a body
	// releaseMemory closes received once the stores' requests do not use it either. It is nil unless the
	// turn was written, and must be called once.
	releaseMemory func()
	body          []byte
	deadline      time.Time // when the caller must have the final response

	limitTaken   bool      // one request was deducted from the account's rate limit
	limited      bool      // a target did not accept the request by the limit that it names
	mayHaveRun   bool      // a target may have run the request
	runs         int       // number of targets that may have run the request
	lastSentAt   time.Time // when the request was last sent to a target
	firstEventAt time.Time // when the first event of a stream was received
	lastEventAt  time.Time // when the last event of a stream was received
	status       int       // status code of the response
	truncated    bool      // the response was cut off or never written
	cause        string    // why the response is no whole success; empty if it is one
	undelivered  bool      // the response could not be written to the caller's connection
	target       types.TargetID
	// endAttempt closes the response of the target, which then has no request of this call
	// in flight. It is set while a target has one, and may be called more than once.
	endAttempt func()
	unread     *unreadResponse // the response that is being written; nil before
	finished   bool            // finish was called

	cachedFingerprint types.Fingerprint // set by the first call of fingerprint

	turn turnState
}

// turnState is the part of a call that belongs to its program.
type turnState struct {
	budget   turns.Budget
	hasClaim bool // the turn claims a part of the budget; the claim must be settled or withdrawn
	settled  bool
	// reservedAt is when the claim was granted.
	reservedAt time.Time
	// confirmation is set once a target may get the turn: until then the stores only hold its claim.
	confirmation *confirmation
	delivered    types.Tokens // tokens that were forwarded to the caller
	previous     turns.TurnID
	lastTarget   types.TargetID // target that ran the previous turn
	displaced    bool           // lastTarget cannot take the turn, see isDisplaced
	chain        []turns.Turn
	chainBytes   int64 // charged for chain
}

// errorResponse is a final response that this host generates itself.
type errorResponse struct {
	status     int
	retryAfter time.Duration // value of the Retry-After header; 0 to omit it
	reason     string
	bodyLeft   bool         // the rest of the body can't be read; the connection ends
	logFields  event.Fields // additional fields of the log event
}

// awaitPlan waits for the first plan and list of targets on a host that has just
// started, for at most maxPlanWait. They arrive once the control hosts have a
// leader, and a retry would cost the caller more time than this wait.
func (c *call) awaitPlan() *errorResponse {
	hasPlan := func() bool { return c.view.Plan != nil && len(c.view.Targets) > 0 }
	if hasPlan() {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), min(maxPlanWait, c.callerTimeout()/2))
	defer cancel()
	for !hasPlan() && types.Sleep(ctx, planPollInterval) {
		c.view = c.gate.Fleet.View()
	}
	return nil
}

// callerTimeout returns the timeout from the request's deadline header, or one
// hour if the header is missing, invalid or longer.
func (c *call) callerTimeout() time.Duration {
	const longest = time.Hour // Other bounds apply, such as the route's timeout.
	ms, err := strconv.ParseInt(c.r.Header.Get(c.gate.HeaderNames.Deadline), 10, 64)
	if err != nil || ms <= 0 || ms > longest.Milliseconds() {
		return longest
	}
	return time.Duration(ms) * time.Millisecond
}

// findRoute looks up the route and sets the deadline of the request.
func (c *call) findRoute() *errorResponse {
	if c.view.Plan == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: planRetryAfter, reason: "no plan is known yet"}
	}
	path, _, _ := strings.Cut(c.requestURI(), "?")
	c.route = c.view.Plan.Route(c.r.Host, path)
	if c.route == nil && c.planIsStale() {
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: planRetryAfter, reason: "no route matches, but the plan on this host is too stale to be certain"}
	}
	if c.route == nil {
		return &errorResponse{status: http.StatusNotFound, reason: "no route matches"}
	}
	c.deadline = c.start.Add(min(c.route.Timeout, c.callerTimeout()))
	return nil
}

// checkIDs refuses IDs that messages between hosts cannot have. The turn of such a request could
// run and not be stored.
func (c *call) checkIDs() *errorResponse {
	h, headers := c.r.Header, c.gate.HeaderNames
	for _, id := range []string{c.id, h.Get(headers.Program), h.Get(headers.PreviousTurn)} {
		if !utf8.ValidString(id) {
			return &errorResponse{status: http.StatusBadRequest, reason: "an ID in the header is not UTF-8"}
		}
	}
	return nil
}

// planIsStale reports whether the plan is too old to decide by it what does not exist or
// is not allowed, as on a host that was frozen or is cut off.
func (c *call) planIsStale() bool {
	longest := c.gate.settings().MaxPlanStaleness
	return longest > 0 && c.gate.Fleet.Staleness() > longest
}

// requestURI returns the path and query exactly as the caller sent them.
func (c *call) requestURI() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI() // The request line had the absolute form, with scheme and host.
}

const (
	// planRetryAfter is the Retry-After value while the plan is missing or stale:
	// the time that a host takes after its start to receive the plan.
	planRetryAfter = 300 * time.Millisecond
	// maxPlanWait is how long a request waits for the first plan. It covers the
	// election of a leader after all control hosts have been down.
	maxPlanWait = time.Second
	// planPollInterval is how often a waiting request checks for the plan.
	planPollInterval = 10 * time.Millisecond
	// busyRetryAfter is the Retry-After value for a busy service: the time in
	// which a slot is likely to become free.
	busyRetryAfter = 150 * time.Millisecond
)

// authenticate looks up the account of the caller's key. The lookup is repeated
// for every request, so a revoked key stops working with the next request even
// on an open connection. Anonymous routes and plans without accounts need no key.
func (c *call) authenticate() *errorResponse {
	if c.route.Anonymous || len(c.view.Plan.Plan.Accounts) == 0 {
		return nil
	}
	if c.planIsStale() {
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: planRetryAfter, reason: "the plan on this host is too stale to check keys"}
	}
	scheme, key, _ := strings.Cut(c.r.Header.Get(c.gate.HeaderNames.Credential), " ")
	if strings.EqualFold(scheme, c.gate.HeaderNames.CredentialScheme) {
		c.account = c.view.Plan.AccountByKey(types.HashKey(strings.TrimSpace(key)))
	}
	if c.account == nil {
		return &errorResponse{status: http.StatusUnauthorized, reason: "the key is missing or unknown"}
	}
	return nil
}

// accountID returns the account's name, or "" on anonymous routes.
func (c *call) accountID() types.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// priority returns the priority of the call, which is that of the account if it
// has one, else that of the route. 0 is the most urgent.
func (c *call) priority() int {
	if c.account != nil && c.account.OverridesPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

// remaining returns the time until the deadline of the request.
func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// writeError logs an error response and sends it to the caller, which may have closed its
// own side of the connection and still read.
func (c *call) writeError(r *errorResponse) {
	c.status, c.cause = r.status, r.reason
	fields := event.Fields{
		"request": c.id, "status": r.status, "reason": r.reason, "afterMs": r.retryAfter.Milliseconds(),
		"account": c.accountID(), "sent": c.mayHaveRun, "tookMs": time.Since(c.start).Milliseconds(),
	}
	maps.Copy(fields, r.logFields)
	c.gate.Log.Write(event.RequestRefused, fields)
	refusedTotal.Inc()
	setWriteDeadline(http.NewResponseController(c.w))
	gone := c.r.Context().Err() != nil // Or the caller has half-closed its connection, or its body did not come in time.
	h := c.w.Header()
	if gone || r.bodyLeft || c.gate.stopping.Load() != nil {
		h.Set("Connection", "close")
	}
	if c.received == nil && c.r.ContentLength != 0 {
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(restTime)) // The server reads the body before it responds.
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	c.w.WriteHeader(r.status)
	_, _ = c.w.Write([]byte(r.reason + "\n")) // Fails if the caller is gone.
	if r.bodyLeft {
		c.endBody()
		return
	}
	c.undelivered = http.NewResponseController(c.w).Flush() != nil
	c.truncated = gone && c.undelivered
}

// finish refunds the rate limit if no target may have run the request, releases
// the budget claim, and logs the end of the request.
func (c *call) finish() {
	c.finished = true
	switch {
	case c.releaseMemory != nil:
		defer c.releaseMemory()
	case c.received != nil:
		defer c.received.Close()
	}
	if c.limitTaken && !c.mayHaveRun {
		c.gate.limits.accounts.refund(c.account.Name)
	}
	c.releaseClaim()
	fields := event.Fields{
		"request": c.id, "status": c.status, "tookMs": time.Since(c.start).Milliseconds(), "target": c.target, "runs": c.runs,
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if !c.firstEventAt.IsZero() {
		fields["firstMs"] = c.firstEventAt.Sub(c.start).Milliseconds()
		fields["eventsMs"] = c.lastEventAt.Sub(c.firstEventAt).Milliseconds()
	}
	if program := c.r.Header.Get(c.gate.HeaderNames.Program); program != "" {
		fields["program"] = program
	}
	if c.truncated {
		fields["broken"] = true
		failedTotal.Inc()
	}
	if c.truncated || c.status >= http.StatusMultipleChoices {
		c.addCause(fields)
	}
	c.gate.Log.Write(event.RequestEnded, fields)
}

// addCause adds to the fields of the end of a request why it is no whole success, and whether its caller's
// connection has got the end; for a turn also the stores of its program's shard.
func (c *call) addCause(fields event.Fields) {
	fields["delivered"] = !c.undelivered && !c.truncated
	if c.cause != "" {
		fields["cause"] = c.cause
	}
	if c.gate.Turns == nil || c.turn.budget.Program == "" {
		return
	}
	stores, silent := c.gate.Turns.StoresOf(c.turn.budget.Account, c.turn.budget.Program)
	fields["shard"], fields["stores"] = turns.ShardOf(c.turn.budget.Account, c.turn.budget.Program), stores
	if c.turn.previous != "" {
		fields["previous"] = c.turn.previous
	}
	if len(silent) > 0 {
		fields["silentStores"] = silent
	}
}
