package turns

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// A turn claims its part of its program's budget in two steps. [Client.ReserveWithin], before a target gets the
// turn, places a claim that the stores hold in memory; it decides whether the budget covers the turn.
// [Client.Confirm], before anything that the target generates is handed on, makes the claim durable, while the
// target works. So an attempt that reaches no target leaves no claim behind if its host is lost, and a turn waits for no
// disk before it is sent.

var (
	// errAttemptsOpen is returned for a turn that the budget covers beside what the program has used, but not beside the maxima of attempts
	// whose claims are not settled: they go on, or their hosts are lost. The client withdraws the claim.
	errAttemptsOpen = types.NewFault(types.CodeUnavailable, "other attempts of the program are not settled, which may use the rest of its budget")
	// errClaimsAhead is returned for a turn that the budget covers unless targets get other turns of the program, whose
	// claims were placed before. The client withdraws the claim.
	errClaimsAhead = types.NewFault(types.CodeUnavailable, "other turns of the program that have not begun yet hold the rest of its budget")
	// errBudgetTaken is returned for a turn that a target has, and that its program's budget does not cover any more: stores have
	// lost its claim, which they held, and another turn was granted meanwhile.
	errBudgetTaken = types.NewFault(types.CodeConflict, "other turns of the program have taken the part of its budget that the turn had reserved").WithRan(types.MayHaveRun)
)

// Budget describes a program's budget and the part of it that one turn
// reserves.
type Budget struct {
	Account types.AccountID
	Program types.ProgramID
	Attempt types.AttemptID
	// The maximum numbers of tokens that all turns of the program together, and
	// this turn alone, may generate.
	Limit, MaxTokens types.Tokens
	// Continues is set if the turn continues another one. While the stores are too slow for all
	// turns, such turns go before others.
	Continues bool
	// Line is the line of turns that the turn belongs to. An earlier attempt of the same line does not keep the
	// turn from being repeated. The default is a turn of no line.
	Line Line
	// At is when the attempt began, by the clock of its host, see [Claim.At]. The default is an unknown time.
	At UnixMilli
}

// claim returns the claim of the turn.
func (b Budget) claim() Claim {
	return Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Line: b.Line, At: b.At}
}

// request returns a request about a claim on the budget.
func (b Budget) request(claim Claim) ClaimRequest {
	return ClaimRequest{Shard: ShardOf(b.Account, b.Program), Account: b.Account, Program: b.Program, Claim: claim}
}

// Reserve is [Client.ReserveWithin] for a reservation that may take until ctx ends.
func (c *Client) Reserve(ctx context.Context, b Budget) error {
	return c.ReserveWithin(ctx, b, forever)
}

// forever is longer than the time that any caller waits.
const forever = time.Hour

// ReserveWithin claims a turn's part of its program's budget, before a target gets the turn. A majority of the stores
// hold the claim in memory when it returns. If the budget does not cover the turn beside the claims that are settled,
// ReserveWithin withdraws the claim in the background and returns a budgetExceeded fault. Claims of other turns
// that are not settled, or that are held and were placed before, are waited for.
//
// While the stores are too slow, ReserveWithin returns an overloaded fault for which [NotSent] is
// true: at once, or for a turn that continues another one after it has waited for a third of the time
// until ctx ends. Once the reservation is admitted, it may take for timeout.
func (c *Client) ReserveWithin(ctx context.Context, b Budget, timeout time.Duration) error {
	if !c.admit(ctx, b) {
		reservationsRefused.Inc()
		return errStoresSlow
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, err := c.hold(ctx, b, HoldPlaced)
	result := c.outcomeOf(ctx, ShardOf(b.Account, b.Program), err)
	if result == inTime {
		result = unknown // Stores hold claims whatever their disks do; [Client.Confirm] shows how slow these are.
	}
	c.admission.end(result, begun) // Turns that wait for others of their program keep out none of other programs.
	if err != nil {
		return err
	}
	return c.awaitGrant(ctx, b, v)
}

// admissionShare is the part of its remaining time, as a divisor, that a reservation may wait for its
// admission. One that is admitted with hardly any time left is given up before the stores can reply,
// makes them work for nothing, and counts as one that they were too late for.
const admissionShare = 3

// admit reports whether a reservation is admitted, and waits for it as [Client.ReserveWithin] does.
func (c *Client) admit(ctx context.Context, b Budget) bool {
	if b.Continues {
		defer admissionSeconds.UpdateDuration(time.Now())
	}
	if deadline, ok := ctx.Deadline(); ok {
		limited, cancel := context.WithTimeout(ctx, time.Until(deadline)/admissionShare)
		defer cancel()
		ctx = limited
	}
	return c.admission.begin(ctx, b.Continues)
}

// outcomeOf returns what a reservation that has ended with err shows of the stores.
func (c *Client) outcomeOf(ctx context.Context, shard Shard, err error) outcome {
	switch {
	case !isFault(err, errNoQuorum):
		return inTime
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknown // The caller has left.
	}
	return c.lateness(shard)
}

// lateness returns what it shows of the stores that those of a shard have not replied in time.
func (c *Client) lateness(shard Shard) outcome {
	m := c.Map()
	p := m.Placement(shard)
	connected := func(id StoreID) bool { return c.Peers.Link(m.Members[id].Address).IsConnected() }
	if len(p.Current) == 0 || !p.HasQuorum(connected) {
		return unknown
	}
	return late
}

// settleWait is how long a reservation waits at most for attempts that are over for their callers. A host settles their claims in
// one round trip to the stores, unless it was lost.
const settleWait = time.Second

// minQuorumWait is how long the stores have not replied at least when a reservation that has waited for other turns ends because
// of them. Its time may end just after it has asked them again.
const minQuorumWait = 2 * maxRetryInterval

// awaitGrant returns once a turn is granted whose claim was placed with the reply v. It is granted at once if the budget covers
// it beside all claims that a majority of the stores know. Otherwise it waits until it is its turn, see [programView.goesBefore], and
// is granted once no other that may have been granted meanwhile takes what it needs: two that were granted at the same time see
// each other, and try again. Claims that are durable and not settled are waited for as well, since most turns use less than
// their maximum. Only settled claims spend the budget.
func (c *Client) awaitGrant(ctx context.Context, b Budget, v programView) error {
	if v.chargeWith(v.others(b, func(Claim) bool { return true }), b) <= b.Limit {
		return nil
	}
	begun := time.Now()
	heardAt := begun
	for delay := retryInterval; ; delay = min(2*delay, maxRetryInterval) {
		if v.isSpent(b) {
			c.withdraw(ctx, b)
			return budgetExceeded(b, v.claims)
		}
		granted, seen, err := c.tryGrant(ctx, b)
		switch {
		case granted:
			return nil
		case err == nil:
			v, heardAt = seen, time.Now()
		case ctx.Err() == nil || time.Since(heardAt) > minQuorumWait: // The stores are the reason, and not the other turns.
			return err
		}
		claimsAwaited.Inc()
		if v.lacksOnlyOver(b) && time.Since(begun) > settleWait || !types.Sleep(ctx, delay/2+rand.N(delay)) {
			c.withdraw(ctx, b)
			return v.reasonToWait(b)
		}
	}
}

// tryGrant grants a turn that waits if it is its turn. It returns what the stores have replied last.
func (c *Client) tryGrant(ctx context.Context, b Budget) (granted bool, v programView, err error) {
	v, err = c.hold(ctx, b, HoldWaiting)
	if err != nil || v.chargeWith(v.others(b, func(o Claim) bool { return v.goesBefore(o, b) }), b) > b.Limit {
		return false, v, err
	}
	v, err = c.hold(ctx, b, HoldGranted)
	if err != nil {
		return false, v, err
	}
	return v.chargeWith(v.others(b, func(o Claim) bool { return v.mayBeGranted(o, b.Attempt) }), b) <= b.Limit, v, nil
}

// hold places a held claim in a state, and lets it count for longer.
func (c *Client) hold(ctx context.Context, b Budget, state Hold) (programView, error) {
	claim := b.claim()
	claim.Hold = state
	if !b.Continues {
		ctx = wire.WithLowPrecedence(ctx)
	}
	return c.sendClaim(ctx, b.request(claim))
}

// isSpent reports whether the settled claims alone leave too little of the budget for the turn.
func (v programView) isSpent(b Budget) bool {
	settled := v.claims.settledCharge()
	return settled > b.Limit || b.MaxTokens > b.Limit-settled
}

// lacksOnlyOver reports whether the budget would cover the turn without the claims of attempts that are over for their callers.
func (v programView) lacksOnlyOver(b Budget) bool {
	all := maps.Clone(v.claims)
	all.Merge(b.claim())
	return all.ChargeFor(b) > b.Limit && all.chargeWithoutOver(b) <= b.Limit
}

// reasonToWait returns the fault of a turn that has waited in vain for other claims.
func (v programView) reasonToWait(b Budget) error {
	if v.chargeWith(nil, b) > b.Limit {
		return errAttemptsOpen
	}
	return errClaimsAhead
}

// withdraw withdraws a held claim in the background.
func (c *Client) withdraw(ctx context.Context, b Budget) {
	c.background.Go(func() error { return c.Withdraw(context.WithoutCancel(ctx), b) })
}

// withdrawTimeout limits the withdrawal of a held claim, which ends by itself after HoldTime.
const withdrawTimeout = 2 * time.Second

// Withdraw lets the stores forget the claim of a turn that was reserved and not confirmed, and that no target gets. It
// returns once a majority has.
func (c *Client) Withdraw(ctx context.Context, b Budget) error {
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	_, err := c.sendClaim(ctx, b.request(Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Hold: HoldPlaced, Settled: true}))
	return err
}

// Confirm makes the claim of a turn durable that was reserved. Nothing that a target generates for the turn may be handed on
// unless Confirm returns nil. It tries until ctx ends. While the stores take longer than expected, fewer reservations are
// admitted.
//
// Concurrent turns cannot exceed the budget together: of any set of confirmed claims, the one that was
// written last has read the claims of all others. Confirm reads the claims a second time only if the
// first reply has an unsettled claim of another attempt. Without one this is
// not needed, since every concurrent claim missing from the reply has
// read this claim. The attempts of one line that were never settled are the exception, see [Budget.Line]:
// with them, a program may exceed its budget by the maximum of one turn.
func (c *Client) Confirm(ctx context.Context, b Budget, expected time.Duration) error {
	begun, shard := time.Now(), ShardOf(b.Account, b.Program)
	defer confirmSeconds.UpdateDuration(begun)
	c.admission.enter()
	var once sync.Once
	end := func(o outcome) { once.Do(func() { c.admission.end(o, begun) }) }
	overdue := time.AfterFunc(expected, func() { end(c.lateness(shard)) })
	defer overdue.Stop()
	err := c.confirm(ctx, b)
	end(c.outcomeOf(ctx, shard, err))
	return err
}

func (c *Client) confirm(ctx context.Context, b Budget) error {
	v, err := c.sendClaim(ctx, b.request(b.claim()))
	if err == nil && v.claims.HasOtherUnsettled(b.Attempt) {
		var again programView
		again, err = c.sendClaim(ctx, b.request(Claim{}))
		v.addDurable(again.claims) // What was seen before may not yet be on a majority.
	}
	switch {
	case err != nil:
		return err
	case v.claims.ChargeFor(b) > b.Limit:
		confirmsRefused.Inc()
		return errBudgetTaken
	}
	return nil
}

// budgetExceeded returns the fault of a turn that the budget does not cover. It is only returned after a
// majority of the shard's stores has replied with its claims. It names the attempts whose claims are not settled.
func budgetExceeded(b Budget, claims Claims) error {
	var used types.Tokens
	var open []types.AttemptID
	for _, claim := range claims.sorted() {
		switch {
		case claim.Settled:
			used += claim.Used
		case claim.Attempt != b.Attempt:
			open = append(open, claim.Attempt)
		}
	}
	return types.NewFault(types.CodeBudgetExceeded, "the program's budget of %d tokens does not cover another %d: %d used, not settled: %d %v",
		b.Limit, b.MaxTokens, used, len(open), open[:min(len(open), maxOpenNamed)])
}

// maxOpenNamed is how many attempts a fault names.
const maxOpenNamed = 4

// sendClaim sends req to the stores of its shard and returns what a majority knows of the
// program's claims. If the claim in req is empty, the claims are only read.
func (c *Client) sendClaim(ctx context.Context, req ClaimRequest) (programView, error) {
	v := programView{claims: Claims{}}
	replies, err := callShard[ClaimReply](ctx, c, req.Shard, KindClaim, func(store StoreID, epoch Epoch) (head, tail []byte) {
		to := req // Several stores are sent to at the same time.
		to.To, to.Epoch, to.Within = store, epoch, within(ctx)
		return types.Encode(to), nil
	}, nil)
	for _, reply := range replies {
		v.held = append(v.held, reply.Held)
		for _, claim := range reply.Claims {
			v.claims.Merge(claim)
		}
	}
	return v, err
}

// isFault reports whether err is the given fault, perhaps received from another host.
func isFault(err error, fault *types.Fault) bool {
	got := types.AsFault(err)
	return err != nil && got.Code == fault.Code && got.Message == fault.Message
}

// Withdrawn reports whether err is the fault of a reservation whose claim the client withdraws itself, though the budget may
// cover the turn later.
func Withdrawn(err error) bool {
	return isFault(err, errAttemptsOpen) || isFault(err, errClaimsAhead)
}

// BudgetTaken reports whether err is the fault of a turn that its program's budget does not cover any more, though a
// target has it.
func BudgetTaken(err error) bool { return isFault(err, errBudgetTaken) }
