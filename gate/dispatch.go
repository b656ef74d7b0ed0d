package gate

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

// verdict is what became of one send to a target.
type verdict uint8

const (
	// answered: the caller has its answer, or as much of it as there will be.
	answered verdict = iota
	// notRun: the target has not run the request and will not.
	notRun
	// mayHaveRun: the target did not answer, or not properly.
	mayHaveRun
	// outOfTime: the time of the request is over.
	outOfTime
)

const (
	// maxRejections is how many targets may reject a request before the caller
	// is told to come back.
	maxRejections = 4
)

// dispatch sends the request to a target, and to others as long as that is
// safe and allowed.
func (c *call) dispatch() *refusal {
	c.gate.retries.Earn()
	service := c.view.Plan.Service(c.route.Backend(c.point()))
	if service == nil {
		return &refusal{status: http.StatusServiceUnavailable, after: busyPause, reason: "the route has no service"}
	}
	tried := map[types.TargetID]bool{}
	rejected := 0
	for {
		chosen, ok := c.pick(service, tried)
		if !ok || rejected >= maxRejections {
			return c.giveUp("no target takes the request")
		}
		tried[chosen.ID] = true
		switch c.send(service, chosen, c.anotherThan(tried, service)) {
		case answered:
			return nil
		case outOfTime:
			return c.giveUp("the request's time is over")
		case notRun:
			rejected++
		case mayHaveRun:
			c.runs++
			if !c.route.Repeatable() || c.runs >= max(1, c.route.Attempts) || c.r.Context().Err() != nil {
				return c.giveUp("the target did not answer properly")
			}
		}
	}
}

// giveUp returns the final answer for a request that nobody has answered.
func (c *call) giveUp(reason string) *refusal {
	switch {
	case !c.sent:
		return &refusal{status: http.StatusServiceUnavailable, after: busyPause, reason: reason}
	case c.left() <= 0:
		return &refusal{status: http.StatusGatewayTimeout, reason: reason}
	}
	return &refusal{status: http.StatusBadGateway, reason: reason}
}

// point is the request's place among the weights of its route: the same for
// all requests of a program.
func (c *call) point() uint64 {
	key := c.r.Header.Get(c.gate.Names.Program)
	if key == "" {
		key = c.id
	}
	return xxhash.Sum64String(key)
}

// send sends the request to one target and passes the answer on; others tells
// whether there are further targets for it.
func (c *call) send(service *plan.Service, chosen choice, others bool) verdict {
	t, left := chosen.Target, c.left()
	if left <= 0 {
		return outOfTime
	}
	c.target, c.sentAt = t.ID, time.Now()
	ctx, settled, cancel := c.attemptContext(left, others)
	defer cancel()
	c.gate.loads.begin(t.ID)
	defer c.gate.loads.end(t.ID)
	resp, err := c.gate.pool.Do(ctx, t.Address, &fetch.Request{
		Method: c.r.Method, Target: c.requestTarget(), Host: c.r.Host, Header: c.header(t, left), Body: c.prompt(),
		ID: c.id, IDField: c.gate.Names.RequestID,
	})
	fields := event.Fields{
		"request": c.id, "service": service.Name, "leftMs": left.Milliseconds(), "answered": err == nil,
		"bytes": len(c.body), "account": c.accountID(), "planVersion": c.view.Have.Version, "targetsSum": c.view.Have.Targets,
	}
	chosen.note(fields)
	c.gate.Log.Write(event.RequestSent, fields)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errAttemptTimeout) {
			err = errors.CombineErrors(err, cause)
		}
		return c.judgeError(t, err)
	}
	defer resp.Close()
	if v, rejected := c.judgeHead(t, resp); rejected {
		return v
	}
	c.sent = true
	c.gate.loads.answered(t.ID, resp.Header.Get(c.gate.Names.Load))
	if c.route.Kind == plan.Streaming && resp.Status < http.StatusMultipleChoices {
		return c.stream(service, t, resp)
	}
	return c.reply(t, resp, settled)
}

// judgeError decides what a failure to get an answer means.
func (c *call) judgeError(t fleet.Target, err error) verdict {
	var failure *fetch.Error
	sent := !errors.As(err, &failure) || failure.Sent
	c.sent = c.sent || sent
	gone := c.r.Context().Err() != nil && c.route.Kind != plan.NonIdempotent
	if !gone && c.left() > 0 {
		c.gate.loads.failed(t.ID)
		c.gate.Log.Write(event.TargetFailed, event.Fields{"request": c.id, "target": t.ID, "sent": sent, "error": err.Error()})
	}
	switch {
	case !sent && c.left() > 0 && !gone:
		return notRun
	case c.left() <= 0 || gone:
		return outOfTime
	}
	return mayHaveRun
}

// judgeHead looks for an answer that says that the request was not run.
func (c *call) judgeHead(t fleet.Target, resp *fetch.Response) (v verdict, rejected bool) {
	if resp.Header.Get(c.gate.Names.NotRun) == "" && resp.Status != http.StatusMisdirectedRequest {
		return answered, false
	}
	if resp.Status == http.StatusMisdirectedRequest {
		c.gate.loads.failed(t.ID) // Another target has the address now.
	} else {
		c.gate.loads.answered(t.ID, resp.Header.Get(c.gate.Names.Load))
	}
	c.gate.Log.Write(event.TargetFailed, event.Fields{"request": c.id, "target": t.ID, "sent": true, "status": resp.Status, "notRun": true})
	return notRun, true
}

// hopFields concern one connection only.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length",
}

// header returns the header for a target: what the caller sent, less what
// concerns its connection, its key, and what only hosts of ours may set.
func (c *call) header(t fleet.Target, left time.Duration) http.Header {
	names := c.gate.Names
	h := c.r.Header.Clone()
	for _, list := range c.r.Header["Connection"] {
		for _, field := range strings.Split(list, ",") {
			h.Del(textproto.TrimString(field))
		}
	}
	for _, field := range hopFields {
		h.Del(field)
	}
	for _, field := range names.Internal {
		h.Del(field)
	}
	h.Del(names.Credential)
	h.Del(names.Account)
	if c.account != nil {
		h.Set(names.Account, string(c.account.Name))
	}
	h.Set(names.Target, string(t.ID))
	h.Set(names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if names.Priority != "" {
		h.Set(names.Priority, strconv.Itoa(min(maxPriority, c.priority())))
	}
	return h
}

// maxPriority is the least urgent rank that targets know.
const maxPriority = 9
