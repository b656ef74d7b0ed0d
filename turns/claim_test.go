package turns_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// claim reserves a part of a budget and makes the claim durable, as for a turn that a target has got.
func claim(ctx context.Context, w *turns.Client, b turns.Budget) error {
	return claimWithin(ctx, w, b, time.Hour)
}

// claimWithin is claim with the time that each of the two steps is expected to take at most.
func claimWithin(ctx context.Context, w *turns.Client, b turns.Budget, timeout time.Duration) error {
	if err := w.ReserveWithin(ctx, b, timeout); err != nil {
		return err
	}
	return w.Confirm(ctx, b, timeout)
}

// turnOf returns the budget of an attempt of a program whose turns have up to 580 tokens.
func turnOf(id types.AttemptID, line turns.Line, limit types.Tokens) turns.Budget {
	return turns.Budget{Account: "choir", Program: "p", Attempt: id, Limit: limit, MaxTokens: 580, Line: line}
}

// TestAttemptsWithoutTargetLeaveNothing guards against turns that are refused, and programs that their callers give up, since
// the claims of attempts count that were lost with their hosts before a target got them, when all processes end at
// once: those of other lines, of turns of no line, and of repeated attempts.
func TestAttemptsWithoutTargetLeaveNothing(t *testing.T) {
	for _, lines := range [][]turns.Line{{"main", "helper 1", "helper 2"}, {"", "", ""}, {"main", "main", "main"}} {
		c := newCluster(t, 3)
		lost := c.client()
		for i, line := range lines {
			if err := lost.Reserve(withTimeout(t, stepTimeout), turnOf(types.AttemptID(fmt.Sprint("lost ", i)), line, 1800)); err != nil {
				t.Fatal(err)
			}
		}
		for i := range c.stores {
			c.stores[i].shutDown()
		}
		for i := range c.stores {
			c.restartStore(i)
		}
		w := c.client()
		var got []bool
		for i, line := range lines {
			got = append(got, claim(withTimeout(t, stepTimeout), w, turnOf(types.AttemptID(fmt.Sprint("again ", i)), line, 1800)) == nil)
		}
		if diff := cmp.Diff([]bool{true, true, true}, got); diff != "" {
			t.Errorf("turns of lines %q after the restart, whose budget covers three (-want +got):\n%s", lines, diff)
		}
	}
}

// TestClaimOfLostHostIsForgotten guards against a turn of another line that is refused for good, since a host was lost
// between its reservation and the target while the stores went on.
func TestClaimOfLostHostIsForgotten(t *testing.T) {
	c := newCluster(t, 3)
	for _, id := range []types.AttemptID{"lost 1", "lost 2"} {
		if err := c.client().Reserve(withTimeout(t, stepTimeout), turnOf(id, turns.Line(id), 1200)); err != nil {
			t.Fatal(err)
		}
	}
	w := c.client()
	for _, id := range []types.AttemptID{"next 1", "next 2"} {
		if err := claim(withTimeout(t, stepTimeout), w, turnOf(id, turns.Line(id), 1200)); err != nil {
			t.Errorf("%s: %v", id, err)
		}
	}
}

// TestWithdrawnClaimCountsNothing guards against turns that wait for the claim of one that was refused before a target got it.
func TestWithdrawnClaimCountsNothing(t *testing.T) {
	w := newCluster(t, 3).client()
	ctx := withTimeout(t, stepTimeout)
	b := turnOf("refused", "main", 600)
	if err := w.Reserve(ctx, b); err != nil {
		t.Fatal(err)
	}
	if err := w.Withdraw(ctx, b); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if err := w.Reserve(ctx, turnOf("next", "helper", 600)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the next turn has waited for %v", took)
	}
}

// TestAsManyTurnsAsBudgetCoversAreGranted guards against sub-agents that ask at the same time, through several hosts, and are all
// refused since each counts the claims of the others, though the budget covers some of them.
func TestAsManyTurnsAsBudgetCoversAreGranted(t *testing.T) {
	c := newCluster(t, 3)
	const rounds, agents, covered = 5, 10, 2
	for round := range rounds {
		var mu sync.Mutex
		granted := 0
		var g errgroup.Group
		for i := range agents {
			w := c.client()
			g.Go(func() error {
				b := turnOf(types.AttemptID(fmt.Sprint(i)), turns.Line(fmt.Sprint("helper ", i)), 1200)
				b.Program = types.ProgramID(fmt.Sprint("p", round))
				err := claim(withTimeout(t, stepTimeout), w, b)
				switch {
				case err == nil:
					mu.Lock()
					granted++
					mu.Unlock()
					return w.Settle(withTimeout(t, stepTimeout), b, b.MaxTokens, nil)
				case !types.IsCode(err, types.CodeBudgetExceeded):
					return err
				}
				return nil
			})
		}
		if err := g.Wait(); err != nil {
			t.Error(err)
		}
		if granted != covered {
			t.Errorf("round %d: %d of %d turns at the same time were granted, the budget covers %d", round, granted, agents, covered)
		}
	}
}

// TestLostMemoryExceedsNoBudget guards against a budget that is exceeded since all stores have lost the claims that they held
// while targets had the turns: what the second turn of those generates is not handed on.
func TestLostMemoryExceedsNoBudget(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	ctx := withTimeout(t, stepTimeout)
	first, second := turnOf("first", "main", 900), turnOf("second", "helper", 900)
	if err := w.Reserve(ctx, first); err != nil {
		t.Fatal(err)
	}
	for i := range c.stores {
		c.stores[i].shutDown()
		c.restartStore(i)
	}
	if err := w.Reserve(ctx, second); err != nil {
		t.Fatal(err)
	}
	for _, b := range []turns.Budget{second, first} {
		if err, want := w.Confirm(ctx, b, time.Hour), b.Attempt == "first"; turns.BudgetTaken(err) != want || !want && err != nil {
			t.Errorf("%s, confirmed after the second: %v", b.Attempt, err)
		}
	}
}

// TestReservationWaitsForNoDisk guards against turns that reach no target while the disks of all stores stall: what
// must be durable before they are sent is written already, and their claims while the target works.
func TestReservationWaitsForNoDisk(t *testing.T) {
	w, disks := newClientOfSlowDisks(t)
	const stall = 3 * time.Second
	for _, d := range disks {
		d.stall(stall)
	}
	start := time.Now()
	b := turnOf("a", "main", 900)
	if err := w.Reserve(withTimeout(t, stepTimeout), b); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took > stall/2 {
		t.Errorf("the reservation took %v", took)
	}
	if err := w.Confirm(withTimeout(t, stepTimeout), b, time.Hour); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < stall/2 {
		t.Errorf("the claim counts as durable after %v, beside disks that stall for %v", took, stall)
	}
}
