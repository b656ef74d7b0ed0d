package gate

import (
	"net/http"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/panics"
)

// end ends a call whose response was written, perhaps in part.
func (c *call) end() {
	c.finish()
	if c.truncated {
		abortResponse(c.r)
		panic(http.ErrAbortHandler) // A truncated response must not look complete.
	}
}

// recoverPanic must be deferred. It recovers a panic of the filters: the caller gets an error
// response if none has begun, and what the call holds is released.
func (c *call) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	begun := c.status != 0
	c.mayHaveRun = c.mayHaveRun || !c.lastSentAt.IsZero() // The attempt may have ended by the panic.
	panics.ReportRequest(c.gate.Log, c.r, event.Fields{"request": c.id, "answered": begun, "sent": c.mayHaveRun}, v)
	if c.finished {
		panic(http.ErrAbortHandler)
	}
	if c.unread != nil {
		_ = c.unread.finish(true) // The response is cut off in any case.
	}
	c.truncated = begun
	if !begun {
		clear(c.w.Header())
		c.w.Header().Set("Connection", "close") // The rest of the body was perhaps not read.
		c.writeError(c.dispatchError("the request failed on this host"))
	}
	c.end()
}
