package intake_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/banyanspur/banyanspur/intake"
	"github.com/banyanspur/banyanspur/types"
)

// fill opens connections, each with a request of bytes that is being handled, until one is refused,
// and returns how many requests are handled. The connection of a refused one is closed.
func fill(t *testing.T, b *intake.Budget, account types.AccountID, bytes int64) (n int) {
	t.Helper()
	const connBytes, most = 16 << 10, 10_000
	for ; n < most; n++ {
		conn, request := b.Open("", func() {}), b.Open(account, func() {})
		err := conn.Add(connBytes)
		if err == nil {
			err = request.Add(bytes)
		}
		if err != nil {
			conn.Close()
			request.Close()
			if !errors.Is(err, intake.ErrFull) {
				t.Error(err)
			}
			return n
		}
		conn.SetPhase(intake.Working)
		request.SetPhase(intake.Working)
		t.Cleanup(conn.Close)
		t.Cleanup(request.Close)
	}
	return n
}

// TestSmallRequestsOfOneAccountLeaveRoom guards against an account whose small requests take the whole
// budget while they are handled, so that those of all others are refused.
func TestSmallRequestsOfOneAccountLeaveRoom(t *testing.T) {
	for name, prepare := range map[string]func(b *intake.Budget){
		"alone": func(*intake.Budget) {},
		"beside large ones": func(b *intake.Budget) {
			for _, account := range []types.AccountID{"a", "b", "c", "d", "e", "f"} {
				fill(t, b, account, mib/2)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := intake.NewBudget(intake.Bytes(88))
			prepare(b)
			before := b.Used()
			if n := fill(t, b, "one", 60<<10); n < 40 {
				t.Errorf("one account has %d small requests, want at least 40", n)
			}
			free := b.Limit() - b.Used()
			t.Logf("%d bytes before, %d free after the requests of one account", before, free)
			for _, account := range []types.AccountID{"second", "third"} {
				if n := fill(t, b, account, 60<<10); n == 0 {
					t.Errorf("the %s account gets no request of 60 KiB", account)
				}
			}
			if n := fill(t, b, "fourth", 2<<10); n == 0 {
				t.Error("the fourth account gets no request of 2 KiB")
			}
		})
	}
}

// TestAccountAloneUsesTheHost guards against a part for each account that leaves memory unused while
// nobody else needs it.
func TestAccountAloneUsesTheHost(t *testing.T) {
	b := intake.NewBudget(intake.Bytes(88))
	fill(t, b, "one", 60<<10)
	if got, want := b.Used(), b.Limit()*3/4; got < want {
		t.Errorf("one account uses %d of %d bytes, want at least %d", got, b.Limit(), want)
	}
}

// TestManySmallRequestsEvictNobody guards against an account that has its part and makes others lose
// large requests that still arrive.
func TestManySmallRequestsEvictNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := intake.NewBudget(intake.Bytes(88))
		arriving := open(t, b, "other", mib)
		time.Sleep(100 * time.Millisecond)
		fill(t, b, "one", 60<<10)
		if arriving.evicted.Load() {
			t.Error("a request that still arrives has lost its memory")
		}
	})
}
