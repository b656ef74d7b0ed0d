package intake_test

import (
	"fmt"
	"testing"

	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

// fillClass opens requests of a class and size that are being handled, of 77 accounts in turn, until all
// of them are refused, and returns how many are handled.
func fillClass(t *testing.T, b *intake.Budget, class intake.Class, bytes int64) (n int) {
	const accounts = 77
	refused := 0
	for i := 0; refused < accounts; i++ {
		h := b.Open(types.AccountID(fmt.Sprint("account", i%accounts)), func() {})
		h.SetClass(class)
		h.SetPhase(intake.Working)
		t.Cleanup(h.Close)
		if h.Add(bytes) != nil {
			refused++
			continue
		}
		refused, n = 0, n+1
	}
	return n
}

// TestContinuingRequestsGoFirst guards against turns that continue others and are refused for lack of
// memory, since their chains are large, while first turns are served.
func TestContinuingRequestsGoFirst(t *testing.T) {
	const chain, input = 100_000, 17_000
	t.Run("after many that continue others", func(t *testing.T) {
		b := intake.NewBudget(intake.Bytes(184))
		continuing := fillClass(t, b, intake.Continuing, chain)
		first := fillClass(t, b, intake.First, input)
		t.Logf("%d requests that continue others, then %d first ones", continuing, first)
		if first > 0 {
			t.Errorf("%d first requests are handled while one that continues another is refused", first)
		}
		if n := fillClass(t, b, intake.Ordinary, input); n == 0 {
			t.Error("no other small request is handled")
		}
	})
	t.Run("after many first ones", func(t *testing.T) {
		b := intake.NewBudget(intake.Bytes(184))
		first := fillClass(t, b, intake.First, input)
		continuing := fillClass(t, b, intake.Continuing, chain)
		t.Logf("%d first requests, then %d that continue others", first, continuing)
		if continuing < 20 {
			t.Errorf("%d requests that continue others are handled beside first ones, want at least 20", continuing)
		}
	})
	t.Run("small ones of one account", func(t *testing.T) {
		b := intake.NewBudget(intake.Bytes(184))
		continuing := fill(t, b, "one", input)
		first := fillClass(t, b, intake.First, input)
		h := b.Open("one", func() {})
		defer h.Close()
		h.SetClass(intake.Continuing)
		if err := h.Add(input); err != nil {
			t.Errorf("beside %d requests of its account and %d first ones, a small request that continues another: %v", continuing, first, err)
		}
	})
}
