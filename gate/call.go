package gate

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// call is one request on its way through the filters.
type call struct {
	gate  *Gate
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	id    string
	view  fleet.View

	route   *plan.Route
	account *plan.Account // nil on anonymous routes
	body    []byte
	until   time.Time // when the caller must have its final answer

	spent   bool      // a request of the account's limit
	sent    bool      // a target may have run it
	runs    int       // targets that may have run it
	sentAt  time.Time // when it was sent to a target last
	firstAt time.Time // when the first event of a stream came
	lastAt  time.Time // when the last one came
	status  int       // what the caller was answered
	broken  bool      // the answer was cut off
	target  types.TargetID

	turn turnState
}

// turnState is what a call knows of its program.
type turnState struct {
	budget   turns.Budget
	reserved bool // the budget holds a claim that must be settled
	settled  bool
	handed   types.Tokens // what the caller was given
	previous turns.TurnID
	last     types.TargetID // where the previous turn ran
	chain    []turns.Turn
}

// refusal is a final answer of our own.
type refusal struct {
	status int
	after  time.Duration // when to come back; 0 if that is of no use
	reason string
	fields event.Fields // what else decided it
}

// await waits a moment for the plan on a host that has just started: it comes
// with the next leader, and callers would lose more by coming back.
func (c *call) await() *refusal {
	known := func() bool { return c.view.Plan != nil && len(c.view.Targets) > 0 }
	if known() {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), min(planWait, c.asked()/2))
	defer cancel()
	for !known() && types.Sleep(ctx, planPoll) {
		c.view = c.gate.Fleet.View()
	}
	return nil
}

// asked returns how long the caller says that it waits.
func (c *call) asked() time.Duration {
	ms, err := strconv.ParseInt(c.r.Header.Get(c.gate.Names.Deadline), 10, 64)
	if err != nil || ms <= 0 {
		return time.Hour // Whatever else bounds the request.
	}
	return time.Duration(ms) * time.Millisecond
}

// find looks up the route.
func (c *call) find() *refusal {
	if c.view.Plan == nil {
		return &refusal{status: http.StatusServiceUnavailable, after: planPause, reason: "no plan is known yet"}
	}
	path, _, _ := strings.Cut(c.requestTarget(), "?")
	c.route = c.view.Plan.Route(c.r.Host, path)
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route matches"}
	}
	c.until = c.start.Add(min(c.route.Timeout, c.asked()))
	return nil
}

// requestTarget returns path and query as the caller sent them.
func (c *call) requestTarget() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI() // The caller named scheme and host as well.
}

const (
	// planPause is how long a host that has just started takes to learn the
	// plan.
	planPause = 300 * time.Millisecond
	// planWait is how long a request waits for the first plan: as long as the
	// control hosts take to elect a leader after all have been down.
	planWait = time.Second
	// planPoll is how often it looks.
	planPoll = 10 * time.Millisecond
	// busyPause is when a place at a busy service is likely to be free.
	busyPause = 150 * time.Millisecond
)

// authenticate finds the account that holds the caller's key. The plan is
// looked up for each request, so that a key that was withdrawn ends with the
// next one, also on a connection that is open.
func (c *call) authenticate() *refusal {
	if c.route.Anonymous || len(c.view.Plan.Plan.Accounts) == 0 {
		return nil
	}
	if g := c.gate; g.MaxAge > 0 && g.Fleet.Age() > g.MaxAge {
		return &refusal{status: http.StatusServiceUnavailable, after: planPause, reason: "the host has not heard for too long which keys hold"}
	}
	scheme, key, _ := strings.Cut(c.r.Header.Get(c.gate.Names.Credential), " ")
	if strings.EqualFold(scheme, c.gate.Names.Scheme) {
		c.account = c.view.Plan.Holder(types.HashKey(strings.TrimSpace(key)))
	}
	if c.account == nil {
		return &refusal{status: http.StatusUnauthorized, reason: "the key is missing or unknown"}
	}
	return nil
}

// accountID returns the account's name; it is empty on anonymous routes.
func (c *call) accountID() types.AccountID {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// priority ranks the call; 0 is the most urgent.
func (c *call) priority() int {
	if c.account != nil && c.account.Ranked {
		return c.account.Priority
	}
	return c.route.Priority
}

// left returns how long the caller may still be kept waiting.
func (c *call) left() time.Duration { return time.Until(c.until) }

// refuse answers the caller that nothing has run, or that nothing is known.
func (c *call) refuse(r *refusal) {
	c.status = r.status
	fields := event.Fields{
		"request": c.id, "status": r.status, "reason": r.reason, "afterMs": r.after.Milliseconds(),
		"account": c.accountID(), "sent": c.sent, "tookMs": time.Since(c.start).Milliseconds(),
	}
	maps.Copy(fields, r.fields)
	c.gate.Log.Write(event.RequestRefused, fields)
	refused.Inc()
	if c.r.Context().Err() != nil {
		c.broken = true // Whoever still reads must not take the end for an answer.
		return
	}
	h := c.w.Header()
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(r.status)
	_, _ = c.w.Write([]byte(r.reason + "\n")) // The caller may be gone.
}

// finish settles what the call holds and notes how it ended.
func (c *call) finish() {
	if c.spent && !c.sent {
		c.gate.shares.giveBack(c.account)
	}
	c.release()
	fields := event.Fields{
		"request": c.id, "status": c.status, "tookMs": time.Since(c.start).Milliseconds(), "target": c.target, "runs": c.runs,
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if !c.firstAt.IsZero() {
		fields["firstMs"] = c.firstAt.Sub(c.start).Milliseconds()
		fields["eventsMs"] = c.lastAt.Sub(c.firstAt).Milliseconds()
	}
	if c.broken {
		fields["broken"] = true
		failed.Inc()
	}
	c.gate.Log.Write(event.RequestEnded, fields)
}
