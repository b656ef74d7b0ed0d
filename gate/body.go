package gate

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// defaultBodyBytes bounds a body if the plan does not.
const defaultBodyBytes = 4 << 20

// read takes the whole body in: a request that is sent on must be complete,
// and may have to be sent elsewhere.
func (c *call) read() *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.view.Plan.Plan.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.until) // Not all writers can; the caller's connection then bounds it.
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large"}
	case err != nil && c.left() <= 0:
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not come in time"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: "the body is incomplete"}
	}
	c.body = body
	return nil
}
