package gate

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/turns"
)

// errUnconfirmed marks the error of a turn whose claim on its program's budget is not durable, so that nothing that its
// target generates may be handed on.
var errUnconfirmed = errors.New("gate: the turn's claim on the program's budget is not durable")

// confirmation is the claim of a turn on its way to be durable.
type confirmation struct {
	done   chan struct{} // closed at the end; err is valid from then on
	err    error
	cancel context.CancelFunc
}

// confirmClaim begins to make the claim of the turn durable, unless it has begun before. It is called once a target
// gets the turn, so that the stores write the claim while the target reads the prompt.
func (c *call) confirmClaim() {
	if !c.turn.hasClaim || c.turn.confirmation != nil {
		return
	}
	ctx, cancel := withTimeout(context.WithoutCancel(c.r.Context()), c.gate.answersCtx, c.remaining())
	conf := &confirmation{done: make(chan struct{}), cancel: cancel}
	c.turn.confirmation = conf
	expected := admitTimeout(c.remaining(), c.turn.previous != "")
	c.gate.background.GoOrRun(func() {
		defer cancel()
		defer close(conf.done)
		conf.err = c.gate.Turns.Confirm(ctx, c.turn.budget, expected)
	})
}

// reason returns why the claim is not durable.
func (f *confirmation) reason() string {
	select {
	case <-f.done:
		if f.err != nil {
			return f.err.Error()
		}
	default:
	}
	return "the caller has left"
}

// awaitClaim waits until the claim of the turn is durable, and reports whether it was not so at once. Its error is
// marked with errUnconfirmed.
func (c *call) awaitClaim() (waited bool, err error) {
	conf := c.turn.confirmation
	if conf == nil {
		return false, nil
	}
	defer confirmWaitSeconds.UpdateDuration(time.Now())
	select {
	case <-conf.done:
	default:
		waited = true
		select {
		case <-conf.done:
		case <-c.r.Context().Done():
			return true, errors.Mark(c.r.Context().Err(), errUnconfirmed)
		}
	}
	if conf.err == nil {
		return waited, nil
	}
	if turns.BudgetTaken(conf.err) {
		c.gate.Log.Write(event.BudgetDecided, event.Fields{
			"request": c.id, "program": c.turn.budget.Program, "limit": c.turn.budget.Limit, "most": c.turn.budget.MaxTokens, "granted": false, "sent": true, "reason": conf.err.Error(),
		})
	}
	return waited, errors.Mark(conf.err, errUnconfirmed)
}

// lineOf returns the line of a turn whose caller names one in a header field, which may have any bytes and any size. Else it is
// that of a repeated turn: the same input that continues the same turn.
func lineOf(field string, previous turns.TurnID, input []byte) turns.Line {
	if field != "" {
		return turns.Line(strconv.FormatUint(xxhash.Sum64String(field), 36))
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(previous) + "/") // Never fails.
	_, _ = h.Write(input)
	return turns.Line("input/" + strconv.FormatUint(h.Sum64(), 36))
}
