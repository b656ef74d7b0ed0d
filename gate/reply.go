package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
)

// replyBuffer is how much of an answer is read before the caller gets any of
// it: an answer that fits can still be asked for elsewhere if it breaks off.
const replyBuffer = 256 << 10

// reply passes an answer on that is no stream. It calls settled once as much of
// the answer is there as is read before the caller gets any of it.
func (c *call) reply(t fleet.Target, resp *fetch.Response, settled func() bool) verdict {
	if v, bad := c.checkSignature(t, resp); bad {
		return v
	}
	start, err := io.ReadAll(io.LimitReader(resp.Body, replyBuffer))
	if err != nil {
		return c.judgeError(t, err)
	}
	settled()
	whole := len(start) < replyBuffer
	c.gate.loads.worked(t.ID, time.Since(c.sentAt))
	h := c.w.Header()
	copyHeader(h, resp.Header)
	if whole {
		h.Set("Content-Length", strconv.Itoa(len(start)))
	}
	c.status = resp.Status
	c.runs++
	c.w.WriteHeader(resp.Status)
	if _, err := c.w.Write(start); err != nil || whole {
		return answered
	}
	if _, err := io.Copy(c.w, resp.Body); err != nil {
		c.broken = true
	}
	return answered
}

// checkSignature refuses a success that does not bear the target's proof.
func (c *call) checkSignature(t fleet.Target, resp *fetch.Response) (v verdict, bad bool) {
	if resp.Status >= http.StatusMultipleChoices {
		return answered, false
	}
	proof := resp.Header.Get(c.gate.Names.Signature)
	if proof != "" && resp.Header.Get(c.gate.Names.RequestID) == c.id {
		return answered, false
	}
	c.gate.loads.failed(t.ID)
	c.gate.Log.Write(event.TargetFailed, event.Fields{"request": c.id, "target": t.ID, "sent": true, "status": resp.Status, "signed": proof != ""})
	return mayHaveRun, true
}

// copyHeader copies an answer's header, less what concerns the target's
// connection.
func copyHeader(to, from http.Header) {
	connection := to["Connection"]
	for name, values := range from {
		to[name] = values
	}
	for _, field := range hopFields {
		to.Del(field)
	}
	if connection != nil {
		to["Connection"] = connection
	}
}
