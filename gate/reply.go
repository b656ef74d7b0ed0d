package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
)

// responseBufferSize is how many bytes of a response are buffered before any are
// sent to the caller. If the target fails while the buffer is filled, a repeatable
// request can still be retried on another target.
const responseBufferSize = 256 << 10

// maxResponseBytes is the maximum size of the body of a response, streams included.
const maxResponseBytes = 8 << 20

// forwardResponse forwards a response that is not a stream to the caller. It calls
// stopTimer once the response is buffered, completely or up to
// responseBufferSize.
func (c *call) forwardResponse(t fleet.Target, resp *fetch.Response, stopTimer func() bool) sendOutcome {
	buffered, err := io.ReadAll(io.LimitReader(resp.Body, responseBufferSize))
	if err != nil {
		return c.classifyError(t, err)
	}
	stopTimer()
	complete := len(buffered) < responseBufferSize
	if complete && resp.Status < http.StatusMultipleChoices {
		c.recordCompleted()
	}
	c.gate.targets.recordUnitTime(t.ID, time.Since(c.lastSentAt))
	h := c.w.Header()
	copyHeader(h, resp.Header)
	if complete {
		h.Set("Content-Length", strconv.Itoa(len(buffered)))
	}
	c.status = resp.Status
	c.runs++
	c.w.WriteHeader(resp.Status)
	if _, err := c.w.Write(buffered); err != nil || complete {
		return outcomeForwarded
	}
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		c.truncated = true
		if c.interruptedByTarget() {
			c.gate.targets.recordServerError(t.ID)
			c.recordInterrupted(t)
		}
	}
	return outcomeForwarded
}

// isGenuine reports whether a response can be the target's own response to the request: it
// must echo the request ID, since a target may send an earlier response once more, and a
// success must have the target's signature.
func (c *call) isGenuine(resp *fetch.Response) bool {
	return c.echoed(resp) && (resp.Status >= http.StatusMultipleChoices || resp.Header.Get(c.gate.HeaderNames.Signature) != "")
}

// echoed reports whether a response echoes the request ID, and so belongs to the request.
func (c *call) echoed(resp *fetch.Response) bool {
	return resp.Header.Get(c.gate.HeaderNames.RequestID) == c.id
}

// copyHeader copies the header of a target's response without hop-by-hop fields.
// A Connection field that is already set in dst is kept.
func copyHeader(dst, src http.Header) {
	connection := dst["Connection"]
	for name, values := range src {
		dst[name] = values
	}
	for _, field := range hopByHopHeaders {
		dst.Del(field)
	}
	if connection != nil {
		dst["Connection"] = connection
	}
}
