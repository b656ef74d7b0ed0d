package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/intake"
)

// defaultMaxBodyBytes is the maximum size of a request body if the plan does not
// set one.
const defaultMaxBodyBytes = 4 << 20

// readBody reads the whole request body into memory. Only complete requests are
// forwarded, and a retry needs the body again.
func (c *call) readBody() *errorResponse {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.view.Plan.Plan.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.deadline) // If unsupported, the read is bounded by the caller's connection only.
	setWriteDeadline(rc)               // The first read may tell the caller to continue.
	endRead := func() { _ = rc.SetReadDeadline(time.Now()) }
	unlink := context.AfterFunc(c.gate.answersCtx, endRead)
	c.received = c.gate.Received.Open(c.accountID(), endRead)
	c.received.SetClass(c.memoryClass())
	body, err := intake.ReadAll(c.received, c.r.Body, c.r.ContentLength, limit)
	unlink()
	if err != nil {
		c.received.Close()
		return c.bodyError(err)
	}
	_ = rc.SetReadDeadline(time.Time{}) // Otherwise the server would wait for the rest of the body without a limit.
	c.body = body
	return nil
}

// memoryClass returns the class of the request while memory is short.
func (c *call) memoryClass() intake.Class {
	switch {
	case !c.route.Stateful:
		return intake.Ordinary
	case c.r.Header.Get(c.gate.HeaderNames.PreviousTurn) != "":
		return intake.Continuing
	}
	return intake.First
}

// bodyError returns the response to a request whose body was not read to its end because of err.
func (c *call) bodyError(err error) *errorResponse {
	r := &errorResponse{status: http.StatusBadRequest, reason: "the body is incomplete", bodyLeft: true}
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		r.status, r.reason = http.StatusRequestEntityTooLarge, "the body is too large"
	case c.received.Evicted():
		r.status, r.reason = http.StatusRequestTimeout, "the body arrived too slowly while others needed the memory"
	case errors.Is(err, intake.ErrFull):
		r = noMemory()
		r.bodyLeft = true
	case c.gate.answersEnded():
		r = refusedByStop()
		r.bodyLeft = true
	case c.remaining() <= 0:
		r.status, r.reason = http.StatusRequestTimeout, "the body was not received in time"
	}
	return r
}

// noMemory returns the response to a request for which the host has no memory left.
func noMemory() *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: "the host has no memory left for the request"}
}

// restTime bounds the wait for the rest of a body after a response that does not need it. The
// server reads up to 256 KiB of it in order to keep the connection.
const restTime = 500 * time.Millisecond

// endBody closes the caller's connection if the response was written before the body had been
// read to its end.
func (c *call) endBody() {
	if c.undelivered = http.NewResponseController(c.w).Flush() != nil; c.undelivered {
		return // The caller is gone.
	}
	if conn, ok := c.r.Context().Value(connKey{}).(*intake.Conn); ok {
		conn.Linger()
	}
}

// headerDelay is how long a part of a header may be late because a packet was lost.
const headerDelay = time.Second

// headerLimits returns the limits on headers of the plan.
func (g *Gate) headerLimits() intake.Limits {
	view := g.Fleet.View()
	if view.Plan == nil {
		return intake.Limits{}
	}
	l := intake.Limits{HeaderBytes: view.Plan.Plan.Limits.HeaderBytes}
	if d := view.Plan.Plan.Limits.HeaderTimeout; d > 0 {
		l.HeaderTimeout = d + headerDelay
	}
	return l
}
