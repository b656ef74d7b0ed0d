package turns_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestOpenClaimsAreAwaited guards against a turn that is refused for good, and a program that its caller gives up, since the maxima of
// turns of other lines that go on exceed the budget, though what they use does not.
func TestOpenClaimsAreAwaited(t *testing.T) {
	w := newCluster(t, 3).client()
	ctx := withTimeout(t, stepTimeout)
	open := []turns.Budget{turnOf("open 1", "helper 1", 1300), turnOf("open 2", "helper 2", 1300)}
	for _, b := range open {
		if err := claim(ctx, w, b); err != nil {
			t.Fatal(err)
		}
	}
	var g errgroup.Group
	g.Go(func() error { return claim(ctx, w, turnOf("next", "helper 3", 1300)) })
	time.Sleep(300 * time.Millisecond)
	for i, b := range open {
		if err := w.Settle(ctx, b, types.Tokens(300*i), nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := g.Wait(); err != nil {
		t.Errorf("a turn of 580 tokens beside two that have used 300 of 1300: %v", err)
	}
}

// TestSettledClaimsSpendBudget guards against turns that wait although the budget cannot cover them any more.
func TestSettledClaimsSpendBudget(t *testing.T) {
	w := newCluster(t, 3).client()
	ctx := withTimeout(t, stepTimeout)
	used, open := turnOf("used", "helper 1", 1300), turnOf("open", "helper 2", 1300)
	for _, b := range []turns.Budget{used, open} {
		if err := claim(ctx, w, b); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Settle(ctx, used, 721, nil); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	err := claim(ctx, w, turnOf("next", "helper 3", 1300))
	if took := time.Since(begun); !types.IsCode(err, types.CodeBudgetExceeded) || took > refusalTime {
		t.Errorf("a turn of 580 tokens after 721 of 1300: %v after %v", err, took)
	}
}

// TestWaitForClaimsIsNoLackOfStores guards against a turn whose time ends while it waits for others of its program, and that is
// reported as one that the stores have not replied to: its last question to them had just begun.
func TestWaitForClaimsIsNoLackOfStores(t *testing.T) {
	c := newCluster(t, 3)
	var g errgroup.Group
	for i := range 60 {
		w := c.client()
		g.Go(func() error {
			ctx := withTimeout(t, stepTimeout)
			first, next := turnOf("first", "helper 1", 600), turnOf("next", "helper 2", 600)
			first.Program = types.ProgramID(fmt.Sprint("p", i))
			next.Program = first.Program
			if err := w.Reserve(ctx, first); err != nil {
				return err
			}
			if err := w.ReserveWithin(ctx, next, time.Duration(500+5*i)*time.Millisecond); !turns.Withdrawn(err) {
				return fmt.Errorf("program %d: %w", i, err)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

// TestLargeTurnHoldsUpNoSmallerOne guards against a turn that waits until its time ends, though the budget covers it, for another one
// that is larger than what the budget has left.
func TestLargeTurnHoldsUpNoSmallerOne(t *testing.T) {
	c := newCluster(t, 3)
	ctx := withTimeout(t, stepTimeout)
	if err := claim(ctx, c.client(), turnOf("open", "helper 1", 900)); err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	g.Go(func() error {
		if err := claimWithin(ctx, c.client(), turnOf("a large", "helper 2", 900), refusalTime); !isOpen(err) {
			return fmt.Errorf("the larger turn: %w", err)
		}
		return nil
	})
	time.Sleep(200 * time.Millisecond)
	begun := time.Now()
	small := turnOf("b small", "helper 3", 900)
	small.MaxTokens = 200
	err := claim(ctx, c.client(), small)
	if took := time.Since(begun); err != nil || took > refusalTime/2 {
		t.Errorf("the smaller turn: %v after %v", err, took)
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}
