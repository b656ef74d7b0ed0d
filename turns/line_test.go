package turns_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// reserveInTurn reserves turns one after the other, each in a line and by a client of its own, as if the
// host of the one before were lost once a target had got the turn, and returns whether the budget covers each.
func reserveInTurn(t *testing.T, c *cluster, limit, most types.Tokens, lines ...turns.Line) (covered []bool) {
	t.Helper()
	for i, line := range lines {
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprint(i)), Limit: limit, MaxTokens: most, Line: line}
		err := claim(withTimeout(t, stepTimeout), c.client(), b)
		if err != nil && !types.IsCode(err, types.CodeBudgetExceeded) && !isOpen(err) {
			t.Fatal(err)
		}
		covered = append(covered, err == nil)
	}
	return covered
}

// isOpen reports whether a turn may be repeated once earlier attempts are settled.
func isOpen(err error) bool {
	return types.IsCode(err, types.CodeUnavailable) && strings.HasPrefix(types.AsFault(err).Message, "earlier attempts")
}

// TestTurnOfLostHostIsRepeated guards against a turn that is refused since the claim of its first attempt, whose host
// was lost before it sent the turn to a target, takes the part of the budget that it needs. Its caller
// gives up the program, and no turn of it reaches a target any more.
func TestTurnOfLostHostIsRepeated(t *testing.T) {
	got := reserveInTurn(t, newCluster(t, 3), 900, 580, "main", "main")
	if diff := cmp.Diff([]bool{true, true}, got); diff != "" {
		t.Errorf("a turn of 580 tokens and its repetition, with a budget of 900 (-want +got):\n%s", diff)
	}
}

// TestLostAttemptsExceedBudgetByOneTurn guards against a program that generates any number of tokens by
// attempts that are never settled: all but one turn of them count.
func TestLostAttemptsExceedBudgetByOneTurn(t *testing.T) {
	got := reserveInTurn(t, newCluster(t, 3), 1200, 580, "main", "main", "main", "main", "main")
	if diff := cmp.Diff([]bool{true, true, true, false, false}, got); diff != "" {
		t.Errorf("attempts of 580 tokens with a budget of 1200 (-want +got):\n%s", diff)
	}
}

// TestLargestTurnOfLineIsRefused guards against a turn of any size that is granted since the largest claims of its line
// are left out of a sum that cannot hold them.
func TestLargestTurnOfLineIsRefused(t *testing.T) {
	got := reserveInTurn(t, newCluster(t, 3), 900, math.MaxInt64, "main", "main")
	if diff := cmp.Diff([]bool{false, false}, got); diff != "" {
		t.Errorf("turns of the largest number of tokens with a budget of 900 (-want +got):\n%s", diff)
	}
}

// TestRefusedClaimLeavesNothingOut guards against a program that exceeds its budget by several turns, since a claim beyond any
// budget, which is refused and not withdrawn yet, is the largest of its line.
func TestRefusedClaimLeavesNothingOut(t *testing.T) {
	claims := turns.Claims{}
	for _, c := range []turns.Claim{{Attempt: "a", MaxTokens: 580}, {Attempt: "b", MaxTokens: 580}, {Attempt: "refused", MaxTokens: 5000}, {Attempt: "next", MaxTokens: 580}} {
		c.Line = "main"
		claims.Merge(c)
	}
	b := turns.Budget{Attempt: "next", Limit: 900, MaxTokens: 580, Line: "main"}
	if diff := cmp.Diff(types.Tokens(580+580+5000), claims.ChargeFor(b)); diff != "" {
		t.Errorf("charge (-want +got):\n%s", diff)
	}
}

// TestTurnsOfOtherLinesCount guards against a budget that is exceeded by sub-agents that run turns at the same
// time: the turn of one line says nothing of another one's.
func TestTurnsOfOtherLinesCount(t *testing.T) {
	for _, lines := range [][]turns.Line{{"main", "helper"}, {"", ""}} {
		got := reserveInTurn(t, newCluster(t, 3), 900, 580, lines...)
		if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
			t.Errorf("turns of 580 tokens of lines %q with a budget of 900 (-want +got):\n%s", lines, diff)
		}
	}
}

// TestOpenAttemptsDoNotSpendBudget guards against a program that its caller gives up, since it is told that its budget
// is spent while hosts have yet to settle the claims of several attempts that no target got.
func TestOpenAttemptsDoNotSpendBudget(t *testing.T) {
	c := newCluster(t, 3)
	attempt := func(id types.AttemptID, line turns.Line) turns.Budget {
		return turns.Budget{Account: "choir", Program: "p", Attempt: id, Limit: 900, MaxTokens: 580, Line: line}
	}
	w := c.client()
	ctx := withTimeout(t, stepTimeout)
	for _, id := range []types.AttemptID{"first", "second"} {
		if err := claim(ctx, w, attempt(id, "main")); err != nil {
			t.Fatal(err)
		}
	}
	if err := claim(ctx, w, attempt("third", "main")); !isOpen(err) {
		t.Errorf("while two attempts are not settled: %v", err)
	}
	if err := claim(ctx, w, attempt("helper", "helper")); !types.IsCode(err, types.CodeBudgetExceeded) {
		t.Errorf("in another line: %v, want code budgetExceeded", err)
	}
	if err := w.Settle(ctx, attempt("second", "main"), 0, nil); err != nil {
		t.Fatal(err)
	}
	if err := claim(ctx, w, attempt("fourth", "main")); err != nil {
		t.Errorf("once one of them is settled: %v", err)
	}
}

// TestSmallerTurnFollowsLostAttempt guards against a smaller turn that is refused for good since the claim of a lost attempt is
// larger than the turn itself: one turn's maximum is left out, and not that of the turn that asks.
func TestSmallerTurnFollowsLostAttempt(t *testing.T) {
	w := newCluster(t, 3).client()
	ctx := withTimeout(t, stepTimeout)
	attempt := func(id types.AttemptID, most types.Tokens) turns.Budget {
		return turns.Budget{Account: "choir", Program: "p", Attempt: id, Limit: 900, MaxTokens: most, Line: "main"}
	}
	for _, id := range []types.AttemptID{"lost", "again"} {
		if err := claim(ctx, w, attempt(id, 580)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Settle(ctx, attempt("again", 580), 400, nil); err != nil {
		t.Fatal(err)
	}
	if err := claim(ctx, w, attempt("next", 200)); err != nil {
		t.Errorf("400 of 900 tokens used, 580 held by a lost attempt, 200 asked for: %v", err)
	}
}
