package turns_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// reserveInTurn reserves turns one after the other, each in a line and by a client of its own, as if the
// host of the one before were lost, and returns whether the budget covers each.
func reserveInTurn(t *testing.T, c *cluster, limit, most types.Tokens, lines ...turns.Line) (covered []bool) {
	t.Helper()
	for i, line := range lines {
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(fmt.Sprint(i)), Limit: limit, MaxTokens: most, Line: line}
		err := c.client().Reserve(withTimeout(t, stepTimeout), b)
		if err != nil && !types.IsCode(err, types.CodeBudgetExceeded) {
			t.Fatal(err)
		}
		covered = append(covered, err == nil)
	}
	return covered
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
