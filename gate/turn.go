package gate

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// recallTimeout bounds how long a turn waits for its chain and its budget. It
// covers one change of the stores' map.
const recallTimeout = 900 * time.Millisecond

// recall takes a request of the account's limit, fetches the chain that a turn
// continues and reserves its share of the program's budget, all at once.
func (c *call) recall() *refusal {
	c.readTurn()
	if !c.turn.reserved && c.turn.previous == "" {
		return c.spend()
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), min(recallTimeout, c.left()))
	defer cancel()
	var limited *refusal
	var chainErr, budgetErr error
	var g errgroup.Group
	g.Go(func() error {
		limited = c.spend()
		return nil
	})
	if c.turn.previous != "" {
		g.Go(func() error {
			defer chainTime.UpdateDuration(time.Now())
			c.turn.chain, chainErr = c.gate.Turns.Chain(ctx, c.accountID(), c.turn.previous)
			return nil
		})
	}
	if c.turn.reserved {
		g.Go(func() error {
			defer claimTime.UpdateDuration(time.Now())
			budgetErr = c.gate.Turns.Reserve(ctx, c.turn.budget)
			return nil
		})
	}
	_ = g.Wait() // The errors are looked at one by one.
	if n := len(c.turn.chain); n > 0 {
		c.turn.last = c.turn.chain[n-1].Target
	}
	if r := c.judgeTurn(chainErr, budgetErr); r != nil {
		return r
	}
	return limited
}

// judgeTurn decides what the answers of the stores mean for the caller.
func (c *call) judgeTurn(chainErr, budgetErr error) *refusal {
	if types.IsCode(budgetErr, types.CodeBudgetExceeded) {
		c.turn.settled = true // The claim has been withdrawn.
		c.gate.Log.Write(event.BudgetDecided, event.Fields{
			"request": c.id, "program": c.turn.budget.Program, "limit": c.turn.budget.Limit, "most": c.turn.budget.Most, "granted": false,
		})
	}
	switch {
	case types.IsCode(chainErr, types.CodeNotFound):
		return &refusal{status: http.StatusNotFound, reason: "there is no such turn"}
	case chainErr != nil:
		return &refusal{status: http.StatusServiceUnavailable, after: busyPause, reason: "the turn's chain: " + chainErr.Error()}
	case types.IsCode(budgetErr, types.CodeBudgetExceeded):
		return &refusal{status: http.StatusPaymentRequired, reason: "the program's budget is spent"}
	case budgetErr != nil:
		return &refusal{status: http.StatusServiceUnavailable, after: busyPause, reason: "the program's budget: " + budgetErr.Error()}
	}
	return nil
}

// readTurn reads what the request says of its program.
func (c *call) readTurn() {
	h, names := c.r.Header, c.gate.Names
	if c.route.Stateful {
		c.turn.previous = turns.TurnID(h.Get(names.Previous))
	}
	limit, err := strconv.ParseInt(h.Get(names.Budget), 10, 64)
	hasBudget := err == nil
	if c.route.Kind != plan.Streaming || !hasBudget && !c.route.Stateful {
		return
	}
	_, most, _ := strings.Cut(h.Get(names.Tokens), ",")
	n, _ := strconv.ParseInt(strings.TrimSpace(most), 10, 64) // Without it, events alone are counted.
	program := types.ProgramID(h.Get(names.Program))
	if program == "" {
		program = types.ProgramID("turn/" + c.id)
	}
	c.turn.budget = turns.Budget{
		Account: c.accountID(), Program: program, Attempt: types.AttemptID(c.id), Limit: types.Tokens(limit), Most: types.Tokens(n),
	}
	c.turn.reserved = hasBudget
}

// prompt returns the body for the target: all inputs and outputs of the chain
// and then the new input.
func (c *call) prompt() []byte {
	if len(c.turn.chain) == 0 {
		return c.body
	}
	size := len(c.body)
	for _, t := range c.turn.chain {
		size += len(t.Input) + len(t.Output)
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	for _, t := range c.turn.chain {
		b.Write(t.Input)
		b.Write(t.Output)
	}
	b.Write(c.body)
	return b.Bytes()
}

// keep writes the turn and settles its budget. The caller gets the end of its
// answer only once this has returned nil.
func (c *call) keep(output []byte, used types.Tokens) error {
	if !c.route.Stateful && !c.turn.reserved {
		return nil
	}
	defer turnTime.UpdateDuration(time.Now())
	var turn *turns.Turn
	if c.route.Stateful {
		turn = &turns.Turn{
			Account: c.accountID(), ID: turns.TurnID(c.id), Previous: c.turn.previous,
			Shard: turns.ShardOf(c.turn.budget.Account, c.turn.budget.Program),
			Input: c.body, Output: output, Target: c.target,
		}
	}
	// The caller may be gone; what it was given still counts.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), keepTimeout)
	defer cancel()
	err := c.gate.Turns.Settle(ctx, c.turn.budget, used, turn)
	c.turn.settled = err == nil
	fields := event.Fields{"request": c.id, "program": c.turn.budget.Program, "used": used, "bytes": len(output)}
	if err != nil {
		fields["error"] = err.Error()
	}
	c.gate.Log.Write(event.TurnKept, fields)
	return err
}

// keepTimeout bounds the writing of a turn. It covers a change of the stores'
// map and a restart of all of them.
const keepTimeout = 3 * time.Second

// release settles a claim whose turn did not end whole by what the caller was
// given of it, without making the caller wait.
func (c *call) release() {
	if !c.turn.reserved || c.turn.settled {
		return
	}
	budget, handed := c.turn.budget, c.turn.handed
	c.gate.late.Go(func() error {
		ctx, cancel := context.WithTimeout(c.gate.lateCtx, keepTimeout)
		defer cancel()
		if err := c.gate.Turns.Settle(ctx, budget, handed, nil); err != nil {
			c.gate.Log.Write(event.TurnKept, event.Fields{"request": c.id, "program": budget.Program, "error": err.Error()})
		}
		return nil
	})
}
