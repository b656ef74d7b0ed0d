package intake_test

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

const mib = 1 << 20

// peer is a holder of a test that is closed when it is evicted.
type peer struct {
	*intake.Holder
	evicted atomic.Bool
}

// open returns a peer that has n bytes.
func open(t *testing.T, b *intake.Budget, account types.AccountID, n int64) *peer {
	t.Helper()
	p := &peer{}
	p.Holder = b.Open(account, func() {
		p.evicted.Store(true)
		p.Close()
	})
	t.Cleanup(p.Close)
	if err := p.Add(n); err != nil {
		t.Fatalf("add %d bytes: %v", n, err)
	}
	p.Received(n)
	return p
}

// TestStalledPeersGiveWay guards against peers that stop short of the end of a body and keep the
// memory of all others.
func TestStalledPeersGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(16 * mib)
		stalled, trickling := open(t, b, "a", 3*mib), open(t, b, "b", 2*mib)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			trickling.Received(100)
		}
		steady := open(t, b, "c", 4*mib)
		large := open(t, b, "d", 7*mib)
		got := []bool{stalled.evicted.Load(), trickling.evicted.Load(), steady.evicted.Load(), large.evicted.Load()}
		if diff := cmp.Diff([]bool{true, true, false, false}, got); diff != "" {
			t.Errorf("evicted: stalled, trickling, steady, large (-want +got):\n%s", diff)
		}
		if err := stalled.Add(1); !errors.Is(err, intake.ErrEvicted) {
			t.Errorf("an evicted holder gets %v, want %v", err, intake.ErrEvicted)
		}
	})
}

// TestCompleteRequestsAreNotEvicted guards against requests that may have run and lose their
// memory, and so their response, to others.
func TestCompleteRequestsAreNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(16 * mib)
		working := open(t, b, "a", 5*mib)
		working.SetPhase(intake.Working)
		time.Sleep(time.Minute)
		p := b.Open("b", func() {})
		defer p.Close()
		if err := p.Add(8 * mib); !errors.Is(err, intake.ErrFull) {
			t.Errorf("without memory: %v, want %v", err, intake.ErrFull)
		}
		if working.evicted.Load() || working.Held() != 5*mib {
			t.Error("a complete request has lost its memory")
		}
	})
}

// TestNoAccountTakesAll guards against one account that takes the memory of all others.
func TestNoAccountTakesAll(t *testing.T) {
	b := intake.NewBudget(16 * mib)
	ofOne := int64(0)
	for range 32 {
		p := b.Open("one", func() {})
		defer p.Close()
		if p.Add(mib) == nil {
			p.SetPhase(intake.Working)
			ofOne += mib
		}
	}
	if want := int64(8 * mib); ofOne > want || ofOne < want/2 {
		t.Errorf("one account has %d bytes, want up to %d", ofOne, want)
	}
	open(t, b, "other", 3*mib)
	open(t, b, "", 64<<10) // Small ones are served beside all that.
}

// TestAccountsDoNotEvictInVain guards against an account that is at its own limit and makes others
// lose their memory, although that does not help it.
func TestAccountsDoNotEvictInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(16 * mib)
		open(t, b, "one", 5*mib).SetPhase(intake.Working)
		other, silent := open(t, b, "other", mib), open(t, b, "", 16<<10)
		time.Sleep(time.Second)
		p := b.Open("one", func() {})
		defer p.Close()
		if err := p.Add(3 * mib); !errors.Is(err, intake.ErrFull) {
			t.Errorf("beyond the limit of the account: %v, want %v", err, intake.ErrFull)
		}
		if other.evicted.Load() || silent.evicted.Load() {
			t.Error("others were evicted")
		}
	})
}

// TestNewConnectionsOutliveLargeBodies guards against a host that is late to read from new
// connections, and closes them instead of refusing large bodies.
func TestNewConnectionsOutliveLargeBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(16 * mib)
		caller := open(t, b, "", 16<<10)
		time.Sleep(time.Second)
		for _, account := range []types.AccountID{"a", "b", "c", "d"} {
			open(t, b, account, 2900<<10)
		}
		for range 300 {
			open(t, b, "", 16<<10)
		}
		if caller.evicted.Load() {
			t.Error("the connection of a caller was evicted for large bodies")
		}
	})
}

// TestSmallRequestsAreServedBesideLarge guards against ordinary requests that are refused while
// large ones hold what there is.
func TestSmallRequestsAreServedBesideLarge(t *testing.T) {
	b := intake.NewBudget(16 * mib)
	for _, account := range []types.AccountID{"a", "b", "c", "d", "e", "f"} {
		for range 20 {
			p := b.Open(account, func() {})
			defer p.Close()
			if p.Add(mib/2) == nil {
				p.SetPhase(intake.Working)
			}
		}
	}
	for range 60 {
		open(t, b, "a", 64<<10).SetPhase(intake.Working)
	}
}

// TestSilentConnectionsGiveWay guards against connections that send nothing, or nothing more,
// and leave no memory to callers.
func TestSilentConnectionsGiveWay(t *testing.T) {
	for _, phase := range []intake.Phase{intake.Receiving, intake.Idle} {
		synctest.Test(t, func(t *testing.T) {
			b := intake.NewBudget(mib)
			for range mib / (16 << 10) {
				open(t, b, "", 16<<10).SetPhase(phase)
			}
			time.Sleep(time.Second)
			open(t, b, "", 16<<10)
		})
	}
}

// TestPeersAreNotBlamedForTheWait guards against holders that count as slow while they wait for
// memory themselves.
func TestPeersAreNotBlamedForTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(16 * mib)
		leaving := b.Open("a", func() {}) // It doesn't release its memory when it is evicted.
		if err := leaving.Add(12 * mib); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		first := b.Open("b", func() { t.Error("a holder that waits was evicted") })
		done := make(chan error)
		go func() { done <- first.Add(2 * mib) }()
		time.Sleep(700 * time.Millisecond)
		second := b.Open("c", func() {})
		defer second.Close()
		go func() { done <- second.Add(2 * mib) }()
		time.Sleep(100 * time.Millisecond)
		leaving.Close()
		for range 2 {
			if err := <-done; err != nil {
				t.Errorf("after the memory was released: %v", err)
			}
		}
		first.Close()
		second.Close()
		if diff := cmp.Diff(int64(0), b.Used()); diff != "" {
			t.Errorf("used at the end: %s", diff)
		}
	})
}

// TestWaitForMemoryIsBounded guards against requests that wait for memory without an end.
func TestWaitForMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(16 * mib)
		stuck := b.Open("a", func() {})
		defer stuck.Close()
		if err := stuck.Add(12 * mib); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		p := b.Open("b", func() {})
		defer p.Close()
		start := time.Now()
		if err := p.Add(2 * mib); !errors.Is(err, intake.ErrFull) || time.Since(start) > time.Second {
			t.Errorf("%v after %v, want %v after a second", err, time.Since(start), intake.ErrFull)
		}
	})
}

// BenchmarkHolder measures what the budget costs for a connection that carries small requests.
func BenchmarkHolder(b *testing.B) {
	budget := intake.NewBudget(16 * mib)
	h := budget.Open("", func() {})
	defer h.Close()
	for b.Loop() {
		h.SetPhase(intake.Receiving)
		h.Received(500)
		_ = h.Add(1000)
		h.SetPhase(intake.Working)
		h.Release(1000)
		h.SetPhase(intake.Idle)
	}
}

// TestLargeRequestIsServedBesideIdleConnections guards against a turn that is refused each time,
// though nothing large is held beside it, since idle connections have a part of the room but less
// than the reserve: an input of 4 MiB, its copy for the stores, and a chain with a turn of 4 MiB.
func TestLargeRequestIsServedBesideIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const connBytes, conns, bodyBytes = 16 << 10, 320, 4 * mib
		b := intake.NewBudget(intake.Bytes(88))
		var idle []*peer
		for range conns {
			p := open(t, b, "", connBytes)
			p.SetPhase(intake.Idle)
			idle = append(idle, p)
		}
		time.Sleep(time.Second)
		turn := open(t, b, "a", bodyBytes)
		turn.SetPhase(intake.Working)
		for _, n := range []int64{bodyBytes, bodyBytes + 64<<10} {
			if err := turn.Add(n); err != nil {
				t.Errorf("add %d bytes: %v", n, err)
			}
		}
		evicted := 0
		for _, p := range idle {
			if p.evicted.Load() {
				evicted++
			}
		}
		if evicted > conns/4 {
			t.Errorf("%d of %d idle connections are closed", evicted, conns)
		}
	})
}
