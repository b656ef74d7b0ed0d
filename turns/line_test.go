package turns_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// reserveInTurn reserves turns one after the other, each in a line and by a client of its own, as if the
// host of the one before were lost once a target had got the turn, and returns whether the budget covers each.
func reserveInTurn(t *testing.T, c *cluster, limit, most types.Tokens, lines ...turns.Line) (covered []bool) {
	t.Helper()
	for i, line := range lines {
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprint(i)), Limit: limit, MaxTokens: most, Line: line}
		err := claimWithin(withTimeout(t, stepTimeout), c.client(), b, refusalTime)
		if err != nil && !types.IsCode(err, types.CodeBudgetExceeded) && !isOpen(err) {
			t.Fatal(err)
		}
		covered = append(covered, err == nil)
	}
	return covered
}

// refusalTime is how long a reservation waits for claims that nobody settles.
const refusalTime = 2 * time.Second

// isOpen reports whether a turn may be repeated once other attempts are settled.
func isOpen(err error) bool {
	return types.IsCode(err, types.CodeUnavailable) && strings.HasPrefix(types.AsFault(err).Message, "other attempts")
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
	if err := claimWithin(ctx, w, attempt("helper", "helper"), refusalTime); !isOpen(err) {
		t.Errorf("in another line: %v", err)
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

// TestLostAttemptsOfOtherLinesAreFollowed guards against a turn that is refused for good, though the budget covers it beside what
// the program has used, since attempts of several other lines were lost after they had got to targets: their lines have
// gone on. While these are open, the caller is told to try again.
func TestLostAttemptsOfOtherLinesAreFollowed(t *testing.T) {
	w := newCluster(t, 3).client()
	ctx := withTimeout(t, stepTimeout)
	at := turns.UnixMilli(1)
	attempt := func(id types.AttemptID, line turns.Line) turns.Budget {
		at++
		return turns.Budget{Account: "choir", Program: "p", Attempt: id, Limit: 300, MaxTokens: 64, Line: line, At: at}
	}
	lines := []turns.Line{"helper 1", "helper 2", "helper 3"}
	for _, line := range lines {
		if err := claim(ctx, w, attempt("lost "+types.AttemptID(line), line)); err != nil {
			t.Fatal(err)
		}
	}
	var again []turns.Budget
	for _, line := range lines[:2] {
		again = append(again, attempt("again "+types.AttemptID(line), line))
		if err := claim(ctx, w, again[len(again)-1]); err != nil {
			t.Fatal(err)
		}
	}
	fourth := attempt("first of helper 4", "helper 4")
	if err := w.ReserveWithin(ctx, fourth, refusalTime); !isOpen(err) {
		t.Errorf("while three lost and two open attempts hold the budget: %v", err)
	}
	for _, b := range again {
		if err := w.Settle(ctx, b, 32, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := claim(ctx, w, fourth); err != nil {
		t.Errorf("once the open ones are settled with 32 tokens each: %v", err)
	}
}

// TestFollowedAttemptsExceedBudgetByOneTurn guards against a program that generates any number of tokens by attempts of several
// lines that are never settled: all but one turn of them count.
func TestFollowedAttemptsExceedBudgetByOneTurn(t *testing.T) {
	w := newCluster(t, 3).client()
	ctx := withTimeout(t, stepTimeout)
	const attempts, limit, most = 40, 320, 64
	granted := make([]bool, attempts)
	attempt := func(i int) bool {
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprint(i)), Limit: limit, MaxTokens: most, Line: turns.Line(fmt.Sprint(i % 4)), At: turns.UnixMilli(i + 1)}
		granted[i] = claimWithin(ctx, w, b, refusalTime) == nil
		return granted[i]
	}
	first := 0
	for attempt(first) {
		first++
	}
	var g errgroup.Group
	for i := first + 1; i < attempts; i++ { // Each one waits in vain.
		g.Go(func() error {
			attempt(i)
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
	n := 0
	for _, ok := range granted {
		if ok {
			n++
		}
	}
	if want := limit/most + 1; n != want {
		t.Errorf("%d attempts of 64 tokens were granted with a budget of 320, want %d", n, want)
	}
}
