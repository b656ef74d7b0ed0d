package turns

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// TurnID names a turn within its client account.
type TurnID string

// Shard numbers a part of all programs.
type Shard uint32

// Shards is the number of shards. It is a power of two and the same for good.
const Shards = 16

// Turn is one step of a program on a stateful route. It never changes.
type Turn struct {
	Account types.AccountID `json:"account"`
	ID      TurnID          `json:"id"`
	// Previous is the turn that this one continues, or empty at the start.
	Previous TurnID `json:"previous,omitempty"`
	// PreviousShard is the shard that holds Previous.
	PreviousShard Shard `json:"previousShard,omitempty"`
	// Shard is the shard that holds the turn.
	Shard  Shard  `json:"shard"`
	Input  []byte `json:"input"`
	Output []byte `json:"output"`
	// Target ran the turn and may still have it in memory.
	Target types.TargetID `json:"target,omitempty"`
}

// ShardOf returns the shard of a program.
func ShardOf(account types.AccountID, program types.ProgramID) Shard {
	return Shard(xxhash.Sum64String(string(account)+"/"+string(program)) % Shards)
}

// Claim is what one attempt takes of its program's budget.
type Claim struct {
	Attempt types.AttemptID `json:"attempt"`
	// Most is what the attempt may generate.
	Most types.Tokens `json:"most"`
	// Used is what it did generate, once Settled is set.
	Used    types.Tokens `json:"used,omitempty"`
	Settled bool         `json:"settled,omitempty"`
}

// spent returns what the claim takes of the budget.
func (c Claim) spent() types.Tokens {
	if c.Settled {
		return c.Used
	}
	return c.Most
}

// Claims are the claims on one program's budget, by attempt. A claim that is
// settled in any copy is settled.
type Claims map[types.AttemptID]Claim

// Add merges one claim in and reports whether that changed anything.
func (c Claims) Add(n Claim) bool {
	old, ok := c[n.Attempt]
	if ok && (old.Settled || !n.Settled) {
		return false
	}
	c[n.Attempt] = n
	return true
}

// Spent returns what all claims take together.
func (c Claims) Spent() types.Tokens {
	var sum types.Tokens
	for _, claim := range c {
		sum += claim.spent()
	}
	return sum
}

// Rival reports whether an attempt other than the given one is under way.
func (c Claims) Rival(own types.AttemptID) bool {
	for id, claim := range c {
		if id != own && !claim.Settled {
			return true
		}
	}
	return false
}

func (c Claims) list() []Claim {
	list := make([]Claim, 0, len(c))
	for _, claim := range c {
		list = append(list, claim)
	}
	slices.SortFunc(list, func(a, b Claim) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return list
}
