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
	endRead := func() { _ = rc.SetReadDeadline(time.Now()) }
	unlink := context.AfterFunc(c.gate.answersCtx, endRead)
	c.received = c.gate.Received.Open(c.accountID(), endRead)
	body, err := intake.ReadAll(c.received, c.r.Body, c.r.ContentLength, limit)
	unlink()
	if err == nil {
		c.received.SetPhase(intake.Working)
		_ = rc.SetReadDeadline(time.Time{}) // Otherwise the server would wait for the rest of the body without a limit.
	} else {
		c.w.Header().Set("Connection", "close") // Otherwise the server would read the rest of the body before it responds,
		endRead()                               // and some of it afterwards.
	}
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case c.received.Evicted():
		return &errorResponse{status: http.StatusRequestTimeout, reason: "the body arrived too slowly while others needed the memory"}
	case errors.Is(err, intake.ErrFull):
		return noMemory()
	case err != nil && c.gate.answersEnded():
		return refusedByStop()
	case err != nil && c.remaining() <= 0:
		return &errorResponse{status: http.StatusRequestTimeout, reason: "the body was not received in time"}
	case err != nil:
		return &errorResponse{status: http.StatusBadRequest, reason: "the body is incomplete"}
	}
	c.body = body
	return nil
}

// noMemory returns the response to a request for which the host has no memory left.
func noMemory() *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: busyRetryAfter, reason: "the host has no memory left for the request"}
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
