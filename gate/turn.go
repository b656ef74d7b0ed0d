package gate

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// minAdmitTimeout and maxAdmitTimeout bound the timeout for fetching the chain and
	// claiming the budget of a turn. The first covers one change of the shard map.
	minAdmitTimeout = 900 * time.Millisecond
	maxAdmitTimeout = minCommitTimeout
	// admitShare is the part of its remaining time, as a divisor, that a turn may wait for
	// stores that are late. A turn that is refused before they reply is repeated by its caller,
	// and they do the work of each of its claims, and of their withdrawal. Writing the turn takes
	// them about as long as its claim, so after more than half of the time it could not be written
	// before the deadline.
	admitShare = 2
	// continueShare is the part of its remaining time, instead, that a turn may wait which continues
	// another one. Stores that are late by more than half of that time have mostly had a stall of their
	// disks, and write the turn at once after it. Its caller relies on the turn before.
	continueShare = 0.75
)

// admitTimeout returns the timeout for admitting a turn that has the given time left.
func admitTimeout(remaining time.Duration, continues bool) time.Duration {
	share, longest := remaining/admitShare, maxAdmitTimeout
	if continues {
		share, longest = time.Duration(continueShare*float64(remaining)), maxCommitTimeout
	}
	return min(remaining, max(minAdmitTimeout, min(share, longest)))
}

// admit concurrently deducts the request from the account's rate limit, fetches the
// chain of turns that the request continues, and claims the turn's part of the
// program's budget.
func (c *call) admit() *errorResponse {
	c.parseTurnHeaders()
	if r := c.chargeCopy(); r != nil {
		return r
	}
	if !c.turn.hasClaim && c.turn.previous == "" {
		return c.takeFromLimit()
	}
	timeout := admitTimeout(c.remaining(), c.turn.previous != "")
	ctx, cancel := withTimeout(c.r.Context(), c.gate.answersCtx, c.remaining())
	defer cancel()
	claimCtx, cancelClaim := context.WithCancel(ctx)
	defer cancelClaim()
	var limited *errorResponse
	var chainErr, budgetErr error
	var g errgroup.Group
	limitLast := c.limitAfterClaim()
	g.Go(func() error {
		if !limitLast {
			limited = c.takeFromLimit()
		}
		return nil
	})
	if c.turn.previous != "" {
		g.Go(func() error {
			defer chainFetchSeconds.UpdateDuration(time.Now())
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			c.turn.chain, chainErr = c.gate.Turns.ChainWithin(ctx, c.accountID(), c.turn.budget.Program, c.turn.previous, c.chargeChain)
			if chainErr != nil && ctx.Err() == nil {
				cancelClaim() // The turn is refused. If the stores are late, the reservation is to show it.
			}
			return nil
		})
	}
	if c.turn.hasClaim {
		g.Go(func() error {
			defer budgetClaimSeconds.UpdateDuration(time.Now())
			budgetErr = c.gate.Turns.ReserveWithin(claimCtx, c.turn.budget, timeout)
			c.turn.reservedAt = time.Now()
			return nil
		})
	}
	_ = g.Wait() // The errors are evaluated separately below.
	if n := len(c.turn.chain); n > 0 {
		c.turn.lastTarget = c.turn.chain[n-1].Target
	}
	if r := c.turnError(chainErr, budgetErr); r != nil {
		if limitLast {
			c.gate.limits.accounts.count(c.account.Name)
		}
		return r
	}
	if limitLast {
		limited = c.takeFromLimit()
	}
	if limited != nil {
		return limited
	}
	return c.renewClaim()
}

// renewClaim reserves the turn's part of the budget again if the wait for its chain or for the account's limit took so long that
// the stores may have forgotten the claim before a target gets the turn.
func (c *call) renewClaim() *errorResponse {
	if !c.turn.hasClaim || time.Since(c.turn.reservedAt) < turns.HoldTime/2 {
		return nil
	}
	ctx, cancel := withTimeout(c.r.Context(), c.gate.answersCtx, c.remaining())
	defer cancel()
	return c.turnError(nil, c.gate.Turns.ReserveWithin(ctx, c.turn.budget, admitTimeout(c.remaining(), c.turn.previous != "")))
}

// turnError returns the error response for the errors of fetching the chain and
// claiming the budget, or nil if there are none.
func (c *call) turnError(chainErr, budgetErr error) *errorResponse {
	if turns.NotSent(budgetErr) || turns.Withdrawn(budgetErr) {
		c.turn.settled = true // There is no claim, or the client withdraws it.
	}
	if types.IsCode(budgetErr, types.CodeBudgetExceeded) {
		c.turn.settled = true // The client withdraws the claim.
		c.gate.Log.Write(event.BudgetDecided, event.Fields{
			"request": c.id, "program": c.turn.budget.Program, "limit": c.turn.budget.Limit, "most": c.turn.budget.MaxTokens, "granted": false, "reason": types.AsFault(budgetErr).Message,
		})
	}
	switch {
	case chainErr != nil:
		return c.chainError(chainErr)
	case types.IsCode(budgetErr, types.CodeBudgetExceeded):
		return &errorResponse{status: http.StatusPaymentRequired, reason: "the program's budget does not cover this turn"}
	case budgetErr != nil:
		retryAfter := busyRetryAfter
		if turns.NotSent(budgetErr) {
			retryAfter = types.AsFault(budgetErr).RetryAfter
		}
		return &errorResponse{status: http.StatusServiceUnavailable, retryAfter: retryAfter, reason: "cannot reserve the program's budget: " + budgetErr.Error(), logFields: turns.QuorumFields(budgetErr)}
	}
	return nil
}

// chainError returns the error response for an error of fetching the chain.
func (c *call) chainError(err error) *errorResponse {
	if errors.Is(err, intake.ErrFull) {
		return noMemory()
	}
	fields := event.Fields{"previous": c.turn.previous, "viewAgeMs": c.gate.Fleet.Staleness().Milliseconds()}
	if types.IsCode(err, types.CodeNotFound) {
		return &errorResponse{status: http.StatusNotFound, reason: "there is no such turn", logFields: fields}
	}
	maps.Copy(fields, turns.QuorumFields(err))
	retryAfter := busyRetryAfter
	if turns.MayBeLost(err) {
		retryAfter = 0 // A retry finds the same stores without the turn.
	}
	return &errorResponse{
		status: http.StatusServiceUnavailable, retryAfter: retryAfter, logFields: fields,
		reason: "cannot fetch the chain of turns: " + err.Error(),
	}
}

// parseTurnHeaders sets the previous turn and the budget of the call from the
// request header. A turn without a program gets a program of its own.
func (c *call) parseTurnHeaders() {
	h, headers := c.r.Header, c.gate.HeaderNames
	if c.route.Stateful {
		c.turn.previous = turns.TurnID(h.Get(headers.PreviousTurn))
	}
	limit, err := strconv.ParseInt(h.Get(headers.Budget), 10, 64)
	hasBudget := err == nil
	if c.route.Kind != plan.Streaming || !hasBudget && !c.route.Stateful {
		return
	}
	_, maxTokens, _ := strings.Cut(h.Get(headers.Tokens), ",")
	n, _ := strconv.ParseInt(strings.TrimSpace(maxTokens), 10, 64) // If missing, only the events that are generated count against the budget.
	program := types.ProgramID(h.Get(headers.Program))
	if program == "" {
		program = types.ProgramID("turn/" + c.id)
	}
	c.turn.budget = turns.Budget{
		Account: c.accountID(), Program: program, Attempt: types.AttemptID(c.id), Limit: types.Tokens(limit), MaxTokens: types.Tokens(n), Continues: c.turn.previous != "",
		Line: lineOf(h.Get(headers.Line), c.turn.previous, c.body),
	}
	c.turn.hasClaim = hasBudget
}

// minCopyBytes is the size of an input from which on its copies are charged. Smaller ones are
// short-lived, and copied while few others are.
const minCopyBytes = 16 << 10

// chargeCopy charges the copy of the input that is sent to the stores, while the request can be
// refused. Once a target has run the turn, it must be stored.
func (c *call) chargeCopy() *errorResponse {
	if !c.route.Stateful || len(c.body) < minCopyBytes || c.received.Add(int64(len(c.body))) == nil {
		return nil
	}
	c.turn.settled = true // There is no claim yet.
	return noMemory()
}

// keepMemory lets the memory of the request stay charged until what it returns was called too, besides finish.
func (c *call) keepMemory() (release func()) {
	if c.received == nil {
		return nil
	}
	// The function must not keep the call, which has the body.
	held, users := c.received, new(atomic.Int32)
	users.Store(2)
	c.releaseMemory = func() {
		if users.Add(-1) == 0 {
			held.Close()
		}
	}
	return c.releaseMemory
}

// chargeChain charges a part of the chain that the request continues, until a target responds.
func (c *call) chargeChain(bytes int) error {
	if c.received == nil {
		c.received = c.gate.Received.Open(c.accountID(), func() {})
		c.received.SetClass(c.memoryClass())
		c.received.SetPhase(intake.Working)
	}
	if err := c.received.Add(int64(bytes)); err != nil {
		return err
	}
	c.turn.chainBytes += int64(bytes)
	return nil
}

// dropChain returns the memory of the chain. The request can't be sent to another target then.
func (c *call) dropChain() {
	if c.turn.chainBytes > 0 {
		c.turn.chain = nil
		c.received.Release(c.turn.chainBytes)
		c.turn.chainBytes = 0
	}
}

// promptPrefix returns what precedes the new input in the request body for the target: the
// inputs and outputs of all turns in the chain.
func (c *call) promptPrefix() [][]byte {
	var parts [][]byte
	for _, t := range c.turn.chain {
		for _, p := range [][]byte{t.Input, t.Output} {
			if len(p) > 0 {
				parts = append(parts, p)
			}
		}
	}
	return parts
}

// commitTurn stores the turn and settles its budget claim with the number of tokens
// used. The end of the stream must not be sent to the caller unless it returns nil.
func (c *call) commitTurn(output []byte, used types.Tokens) error {
	if !c.route.Stateful && !c.turn.hasClaim {
		return nil
	}
	defer turnWriteSeconds.UpdateDuration(time.Now())
	var turn *turns.Turn
	if c.route.Stateful {
		turn = &turns.Turn{
			Account: c.accountID(), ID: turns.TurnID(c.id), Previous: c.turn.previous,
			Shard: turns.ShardOf(c.turn.budget.Account, c.turn.budget.Program),
			Input: c.body, Output: output, Target: c.target,
		}
	}
	c.gate.commits.Add(1)
	defer func() {
		c.gate.committedAt.Store(time.Now().UnixNano())
		c.gate.commits.Add(-1)
	}()
	// What was sent to the caller counts even if the caller disconnected.
	ctx, cancel := withTimeout(context.WithoutCancel(c.r.Context()), c.gate.commitsCtx, c.commitTimeout())
	defer cancel()
	stores, err := c.gate.Turns.SettleOn(ctx, c.turn.budget, used, turn, c.keepMemory())
	c.turn.settled = err == nil
	fields := event.Fields{"request": c.id, "program": c.turn.budget.Program, "used": used, "bytes": len(output)}
	if len(stores) > 0 {
		fields["stores"] = stores
	}
	if err != nil {
		fields["error"] = err.Error()
		maps.Copy(fields, turns.QuorumFields(err))
	}
	c.gate.Log.Write(event.TurnDurable, fields)
	return err
}

const (
	// minCommitTimeout is the minimum timeout for storing a turn and settling its claim. It
	// covers a change of the shard map and a restart of all stores.
	minCommitTimeout = 3 * time.Second
	// maxCommitTimeout is the maximum. Stores count the age of a turn from when the first of
	// them has it, and their retention allows for 7 s until its caller has the end.
	maxCommitTimeout = 6 * time.Second
)

// commitTimeout returns the timeout for storing the turn. As long as its caller waits, the
// connection is not cut long before the deadline because stores are late: the target has
// completed the turn, and running it again would need the same stores.
func (c *call) commitTimeout() time.Duration {
	if c.r.Context().Err() != nil {
		return minCommitTimeout
	}
	return max(minCommitTimeout, min(c.remaining(), maxCommitTimeout))
}
