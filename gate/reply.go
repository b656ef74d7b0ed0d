package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

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
// stopTimer once the response is buffered: completely, up to responseBufferSize, or as far
// as there is room.
func (c *call) forwardResponse(t fleet.Target, resp *fetch.Response, stopTimer func() bool) sendOutcome {
	u := c.newUnread(false)
	buffered, rest, complete, err := u.buffer(resp.Body)
	if err != nil {
		u.drop()
		return c.classifyError(t, err)
	}
	stopTimer()
	if complete && resp.Status < http.StatusMultipleChoices {
		c.recordCompleted()
	}
	c.gate.targets.recordUnitTime(t.ID, time.Since(c.lastSentAt))
	h := c.w.Header()
	copyHeader(h, resp.Header)
	if complete {
		c.endAttempt()
		h.Set("Content-Length", strconv.Itoa(totalBytes(buffered)))
	}
	c.status = resp.Status
	c.runs++
	c.w.WriteHeader(resp.Status)
	if complete {
		err = u.write(buffered)
		c.truncated = errors.Is(err, errUnread)
		c.finishResponse(u, err)
		return outcomeForwarded
	}
	err = u.enqueue(buffered...)
	for p := rest; err == nil && len(p.b) > 0; {
		if err = u.add(c.r.Context(), p); err == nil {
			p, err = readPiece(resp.Body)
		}
	}
	c.endAttempt()
	if err != nil {
		c.truncated = true
		if !callerAtFault(err) && c.interruptedByTarget() {
			c.recordInterrupted(t)
		}
	}
	c.finishResponse(u, err)
	return outcomeForwarded
}

// buffer reads and holds up to responseBufferSize of a body, as far as there is room. complete
// is set if it has read the whole body; if not, rest is the piece that follows.
func (u *unreadResponse) buffer(body io.Reader) (buffered []piece, rest piece, complete bool, err error) {
	for total := 0; ; {
		p, err := readPiece(body)
		if err != nil || len(p.b) == 0 {
			return buffered, piece{}, err == nil, err
		}
		if total >= responseBufferSize || !u.hold(p, len(buffered) == 0) {
			return buffered, p, false, nil
		}
		total += len(p.b)
		buffered = append(buffered, p)
		if len(p.b) < pieceBytes {
			return buffered, piece{}, true, nil
		}
	}
}

// readPiece reads up to pieceBytes. A shorter piece is the last one.
func readPiece(r io.Reader) (piece, error) {
	b, err := io.ReadAll(io.LimitReader(r, pieceBytes))
	return piece{b: b, receivedAt: time.Now()}, err
}

func totalBytes(pieces []piece) int {
	total := 0
	for _, p := range pieces {
		total += len(p.b)
	}
	return total
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
