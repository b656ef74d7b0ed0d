package turns

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// TurnID identifies a turn within its client account.
type TurnID string

// Shard is the number of a shard, starting at 0. Every program belongs to one
// shard, which [ShardOf] returns.
type Shard uint32

// ShardCount is the number of shards, a power of two. It must never change,
// since [ShardOf] derives a program's shard from it.
const ShardCount = 16

// Turn is one step of a program on a stateful route. It is immutable.
type Turn struct {
	Account types.AccountID `json:"account"`
	ID      TurnID          `json:"id"`
	// Previous is the turn that this one continues. It is empty for the first
	// turn of a chain.
	Previous TurnID `json:"previous,omitempty"`
	// PreviousShard is the shard in which Previous is stored.
	PreviousShard Shard `json:"previousShard,omitempty"`
	// Shard is the shard in which the turn is stored.
	Shard Shard `json:"shard"`
	// Program is the program that the turn belongs to. Stores set it, so that the
	// program's claims are kept as long as the turn. It is empty if an earlier
	// build has written the turn.
	Program types.ProgramID `json:"program,omitempty"`
	Input   []byte          `json:"input"`
	Output  []byte          `json:"output"`
	// Target is the target that ran the turn and may still have it in its prompt
	// cache.
	Target types.TargetID `json:"target,omitempty"`
}

// ShardOf returns the shard that a program belongs to.
func ShardOf(account types.AccountID, program types.ProgramID) Shard {
	return Shard(xxhash.Sum64String(string(account)+"/"+string(program)) % ShardCount)
}

// Line names one line of turns of a program. The caller sends a turn of a line only once the attempt before has
// ended for it; sub-agents have lines of their own.
type Line string

// UnixMilli is a time in milliseconds since 1970.
type UnixMilli int64

// Hold is the state of a claim that is held in memory. The default is a durable claim.
type Hold uint8

// States of claims that are held.
const (
	// HoldPlaced is a claim that may have been granted, since all others that its host has seen fit beside it.
	HoldPlaced Hold = iota + 1
	// HoldWaiting is a claim that waits for others, and HoldGranted one that has waited and was granted.
	HoldWaiting
	HoldGranted
)

// Claim reserves a part of a program's budget for one attempt. Settling it
// replaces the reserved amount by the amount used.
type Claim struct {
	Attempt types.AttemptID `json:"attempt"`
	// MaxTokens is the number of tokens that the attempt may generate.
	MaxTokens types.Tokens `json:"most"`
	// Used is the number of tokens that the attempt generated, valid once
	// Settled is set.
	Used    types.Tokens `json:"used,omitempty"`
	Settled bool         `json:"settled,omitempty"`
	// Line is that of the attempt. It is empty if the caller names none, or an earlier build has settled the claim.
	Line Line `json:"line,omitempty"`
	// At is when the attempt began, by the clock of its host. It orders the attempts of a line, which follow each other by a
	// tenth of a second or more. Claims of earlier builds have none.
	At UnixMilli `json:"at,omitempty"`
	// Hold is not empty for a claim that stores keep in memory only, see [heldClaims]. If Settled is set as
	// well, they forget it. Stores of earlier builds do not know Hold, and write both to disk.
	Hold Hold `json:"hold,omitempty"`
}

// charge returns the number of tokens that the claim takes from the budget:
// the tokens used if it is settled, else the reserved maximum.
func (c Claim) charge() types.Tokens {
	if c.Settled {
		return c.Used
	}
	return c.MaxTokens
}

// Claims holds the claims on one program's budget by attempt. When replicas
// are merged, a claim counts as settled if any replica has it settled.
type Claims map[types.AttemptID]Claim

// Merge adds a claim and reports whether c changed. An existing claim is only
// replaced if it is not settled and the new one is.
func (c Claims) Merge(claim Claim) bool {
	old, ok := c[claim.Attempt]
	if ok && claim.Line == "" { // Stores and hosts of earlier builds leave it out.
		claim.Line, claim.At = old.Line, old.At
	}
	if ok && (old.Settled || !claim.Settled) {
		if !old.Settled && old.Line == "" {
			old.Line, old.At = claim.Line, claim.At
			c[claim.Attempt] = old
		}
		return false
	}
	c[claim.Attempt] = claim
	return true
}

// TotalCharge returns the number of tokens that all claims together take from
// the budget, or the largest number if there are more. Claims have the numbers
// that callers name.
func (c Claims) TotalCharge() types.Tokens { return c.ChargeFor(Budget{}) }

// ChargeFor is [Claims.TotalCharge] as far as it keeps a turn, whose claim is among them, from running. Claims of attempts that
// are over for their callers, and not settled, may be of hosts that were lost before they handed on anything. If all of them
// counted, callers could not repeat these turns. They are left out up to the largest of them that was granted: by the maximum of one
// turn a program may exceed its budget if these attempts have handed on their tokens.
func (c Claims) ChargeFor(b Budget) types.Tokens {
	over := c.over(b)
	largest := max(0, b.MaxTokens)
	for id := range over {
		if charge := c[id].charge(); charge <= b.Limit { // Larger ones were never granted.
			largest = max(largest, charge)
		}
	}
	return c.chargeWithout(over, largest)
}

// chargeWithoutOver is ChargeFor without any of the claims that it leaves out in part.
func (c Claims) chargeWithoutOver(b Budget) types.Tokens {
	return c.chargeWithout(c.over(b), math.MaxInt64)
}

// settledCharge returns the number of tokens that the settled claims take from the budget.
func (c Claims) settledCharge() types.Tokens {
	settled := Claims{}
	for id, claim := range c {
		if claim.Settled {
			settled[id] = claim
		}
	}
	return settled.TotalCharge()
}

// chargeWithout leaves out so many tokens of the given claims.
func (c Claims) chargeWithout(over map[types.AttemptID]bool, leftOut types.Tokens) types.Tokens {
	var sum types.Tokens
	for id, claim := range c {
		charge := max(0, claim.charge())
		if over[id] {
			n := min(charge, leftOut)
			charge, leftOut = charge-n, leftOut-n
		}
		if charge > math.MaxInt64-sum {
			return math.MaxInt64
		}
		sum += charge
	}
	return sum
}

// over returns the attempts that are not settled although they are over for their callers: the others of the turn's line, and
// those of other lines that a later attempt of the line has followed.
func (c Claims) over(b Budget) map[types.AttemptID]bool {
	latest := map[Line]UnixMilli{}
	for _, claim := range c {
		latest[claim.Line] = max(latest[claim.Line], claim.At)
	}
	over := map[types.AttemptID]bool{}
	for id, claim := range c {
		if id != b.Attempt && !claim.Settled && claim.Line != "" && (claim.Line == b.Line || claim.At > 0 && claim.At < latest[claim.Line]) {
			over[id] = true
		}
	}
	return over
}

// HasOtherUnsettled reports whether any attempt except the given one has an
// unsettled claim.
func (c Claims) HasOtherUnsettled(attempt types.AttemptID) bool {
	for id, claim := range c {
		if id != attempt && !claim.Settled {
			return true
		}
	}
	return false
}

// sorted returns the claims ordered by attempt.
func (c Claims) sorted() []Claim {
	list := make([]Claim, 0, len(c))
	for _, claim := range c {
		list = append(list, claim)
	}
	slices.SortFunc(list, func(a, b Claim) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return list
}
