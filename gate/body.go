package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
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
	unlink := context.AfterFunc(c.gate.answersCtx, func() { _ = rc.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	unlink()
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{}) // Otherwise the server would wait for the rest of the body without a limit.
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &errorResponse{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
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
