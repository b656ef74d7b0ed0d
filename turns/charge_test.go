package turns_test

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestChargesBeyondAnyBudget guards against callers who name a number of tokens that is
// negative or near the largest that can be held: the sum of the claims would be negative, so
// that a spent budget covers more turns.
func TestChargesBeyondAnyBudget(t *testing.T) {
	for name, c := range map[string]struct {
		claims turns.Claims
		want   types.Tokens
	}{
		"negative": {turns.Claims{"a": {Attempt: "a", MaxTokens: -1000}, "b": {Attempt: "b", MaxTokens: 10}}, 10},
		"largest":  {turns.Claims{"a": {Attempt: "a", MaxTokens: math.MaxInt64}, "b": {Attempt: "b", MaxTokens: math.MaxInt64}}, math.MaxInt64},
		"settled":  {turns.Claims{"a": {Attempt: "a", MaxTokens: math.MaxInt64, Used: 20, Settled: true}, "b": {Attempt: "b", MaxTokens: 40}}, 60},
	} {
		if diff := cmp.Diff(c.want, c.claims.TotalCharge()); diff != "" {
			t.Errorf("%s: charge (-want +got):\n%s", name, diff)
		}
	}
}
