package turns

import (
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// holdTime is how long a held claim counts after it was last requested. It covers the wait for the account's
// limit, 1.2 s at most, which is the longest between a reservation and the time when a target gets the turn.
const holdTime = 1500 * time.Millisecond

// heldClaim is a claim that counts until a time of the store's clock.
type heldClaim struct {
	Claim
	until types.Mono
}

// heldClaims are the claims of a program's turns that no target has yet, in the order of their arrival. They
// keep turns that are sent at the same time from exceeding the budget together. They are in memory only, so
// that an attempt whose host is lost before a target has got it leaves nothing behind: its claim is forgotten
// with the store, or after holdTime. No turn hands on anything without a durable claim besides.
type heldClaims []heldClaim

// hold adds a claim, or lets one that is held already count until the given time.
func (h heldClaims) hold(claim Claim, until types.Mono) heldClaims {
	if i := h.find(claim.Attempt); i >= 0 {
		h[i].until = until
		return h
	}
	return append(h, heldClaim{claim, until})
}

// without returns the claims except that of an attempt.
func (h heldClaims) without(id types.AttemptID) heldClaims {
	if i := h.find(id); i >= 0 {
		return slices.Delete(h, i, i+1)
	}
	return h
}

func (h heldClaims) find(id types.AttemptID) int {
	return slices.IndexFunc(h, func(c heldClaim) bool { return c.Attempt == id })
}

// list returns the claims.
func (h heldClaims) list(now types.Mono) []Claim {
	var list []Claim
	for _, c := range h {
		if c.until > now {
			list = append(list, c.Claim)
		}
	}
	return list
}

// addRequested adds the claim of a request, if it has one, and returns its program, which it creates if needed.
// A held claim changes nothing if the attempt has a durable one: messages may overtake each other.
func (x *index) addRequested(key programKey, claim Claim, retained, now types.Mono) *programClaims {
	if claim.Attempt != "" && !claim.Held {
		return x.addClaims(key, []Claim{claim}, retained)
	}
	program := x.addClaims(key, nil, retained)
	program.held = slices.DeleteFunc(program.held, func(c heldClaim) bool { return c.until <= now })
	switch _, durable := program.claims[claim.Attempt]; {
	case claim.Attempt == "" || durable:
	case claim.Settled:
		program.held = program.held.without(claim.Attempt)
	default:
		program.held = program.held.hold(claim, now.Add(holdTime))
	}
	return program
}

// programView is what a majority of the stores of a program's shard know of the claims on its budget.
type programView struct {
	claims Claims
	// held lists, for each store that has replied, the claims that it holds, in the order of their arrival.
	held [][]Claim
}

// ahead returns the held claims of other turns that go before that of an attempt. Of two turns, the one whose
// claim has reached more of the stores first goes first, so that as many as the budget covers are granted, and not
// none of them. An earlier attempt of the same line is over for its caller, and no target has got it.
func (v programView) ahead(b Budget) Claims {
	ahead := Claims{}
	for _, list := range v.held {
		for _, other := range list {
			_, durable := v.claims[other.Attempt]
			if durable || other.Attempt == b.Attempt || b.Line != "" && other.Line == b.Line {
				continue
			}
			if v.isAhead(other.Attempt, b.Attempt) {
				ahead[other.Attempt] = other
			}
		}
	}
	return ahead
}

// isAhead reports whether the claim of the attempt other goes before that of own. Where they have reached as many
// stores first, the smaller ID decides.
func (v programView) isAhead(other, own types.AttemptID) bool {
	lead := 0
	for _, list := range v.held {
		i := slices.IndexFunc(list, func(c Claim) bool { return c.Attempt == other })
		j := slices.IndexFunc(list, func(c Claim) bool { return c.Attempt == own })
		switch {
		case i == j: // Neither is held.
		case j < 0 || i >= 0 && i < j:
			lead++
		default:
			lead--
		}
	}
	return lead > 0 || lead == 0 && other < own
}

// chargeWith returns what the durable claims, further ones and that of an attempt itself take from its budget.
func (v programView) chargeWith(further Claims, b Budget) types.Tokens {
	all := Claims{}
	for _, claims := range []Claims{v.claims, further} {
		for _, c := range claims {
			all.Merge(c)
		}
	}
	all.Merge(Claim{Attempt: b.Attempt, MaxTokens: b.MaxTokens, Line: b.Line})
	return all.ChargeFor(b)
}
