package turns

import (
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// HoldTime is how long a reservation, which stores hold in memory, counts after it was last requested. It covers the wait for
// the account's limit, 1.2 s at most. A turn that waits for longer, as for its chain, must be reserved again.
const HoldTime = 1500 * time.Millisecond

// heldClaim is a claim that counts until a time of the store's clock.
type heldClaim struct {
	Claim
	until types.Mono
}

// heldClaims are the claims of a program's turns that no target has yet, in the order of their arrival. They
// keep turns that are sent at the same time from exceeding the budget together. They are in memory only, so
// that an attempt whose host is lost before a target has got it leaves nothing behind: its claim is forgotten
// with the store, or after HoldTime. No turn hands on anything without a durable claim besides.
type heldClaims []heldClaim

// hold adds a claim, or lets one that is held already count until the given time, in its new state.
func (h heldClaims) hold(claim Claim, until types.Mono) heldClaims {
	if i := h.find(claim.Attempt); i >= 0 {
		h[i] = heldClaim{claim, until}
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
	if claim.Attempt != "" && claim.Hold == 0 {
		return x.addClaims(key, []Claim{claim}, retained)
	}
	program := x.addClaims(key, nil, retained)
	program.held = slices.DeleteFunc(program.held, func(c heldClaim) bool { return c.until <= now })
	switch _, durable := program.claims[claim.Attempt]; {
	case claim.Attempt == "" || durable:
	case claim.Settled:
		program.held = program.held.without(claim.Attempt)
		x.dropUnused(key, now)
	default:
		program.held = program.held.hold(claim, now.Add(HoldTime))
	}
	return program
}

// dropUnused removes a program that has neither claims nor turns. A program that is refused, or whose host is lost, before a target gets
// its first turn leaves nothing that counts as used capacity.
func (x *index) dropUnused(key programKey, now types.Mono) {
	program := x.programs[key]
	held := slices.ContainsFunc(program.held, func(c heldClaim) bool { return c.until > now })
	if len(program.claims) == 0 && !held && x.programTurns[key] == 0 {
		delete(x.programs, key)
	}
}

// programView is what a majority of the stores of a program's shard know of the claims on its budget.
type programView struct {
	claims Claims
	// held lists, for each store that has replied, the claims that it holds, in the order of their arrival.
	held [][]Claim
}

// others returns the held claims of other turns for which counts returns true. An earlier attempt of the same line is over
// for its caller, and no target has got it.
func (v programView) others(b Budget, counts func(Claim) bool) Claims {
	others := Claims{}
	for _, list := range v.held {
		for _, c := range list {
			_, durable := v.claims[c.Attempt]
			if !durable && c.Attempt != b.Attempt && (b.Line == "" || c.Line != b.Line) && counts(c) {
				others[c.Attempt] = c
			}
		}
	}
	return others
}

// mayBeGranted reports whether a turn may have been granted that does not count that of own: it has waited and was granted,
// or has not waited and its claim has reached one of the stores before.
func (v programView) mayBeGranted(c Claim, own types.AttemptID) bool {
	return c.Hold == HoldGranted || c.Hold == HoldPlaced && v.isBefore(c.Attempt, own)
}

// goesBefore reports whether a turn goes before that of b: it may have been granted, or it waits as well, has the
// smaller ID, and fits beside the durable claims. The order in which claims arrive would not do, since it differs between stores:
// three turns could each wait for another one.
func (v programView) goesBefore(c Claim, b Budget) bool {
	if v.mayBeGranted(c, b.Attempt) {
		return true
	}
	own := Budget{Attempt: c.Attempt, Limit: b.Limit, MaxTokens: c.MaxTokens, Line: c.Line, At: c.At}
	return c.Hold == HoldWaiting && c.Attempt < b.Attempt && v.chargeWith(nil, own) <= b.Limit
}

// isBefore reports whether the claim of one attempt has reached any of the stores before that of another.
func (v programView) isBefore(one, other types.AttemptID) bool {
	return slices.ContainsFunc(v.held, func(list []Claim) bool {
		i := slices.IndexFunc(list, func(c Claim) bool { return c.Attempt == one })
		j := slices.IndexFunc(list, func(c Claim) bool { return c.Attempt == other })
		return i >= 0 && (j < 0 || i < j)
	})
}

// addDurable adds durable claims that were seen at another time.
func (v programView) addDurable(claims Claims) {
	for _, c := range claims {
		v.claims.Merge(c)
	}
}

// chargeWith returns what the durable claims, further ones and that of an attempt itself take from its budget.
func (v programView) chargeWith(further Claims, b Budget) types.Tokens {
	all := Claims{}
	for _, claims := range []Claims{v.claims, further} {
		for _, c := range claims {
			all.Merge(c)
		}
	}
	all.Merge(b.claim())
	return all.ChargeFor(b)
}
