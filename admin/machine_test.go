package admin_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

func order(id string, base types.Version, rate float64) admin.Order {
	return admin.Order{
		ID: types.OrderID(id), Operator: "o", Base: base, Summary: "rate",
		Change: config.Change{PutAccounts: []config.Account{{ID: "choir", Rate: types.PerSecond(rate), Burst: 1}}},
	}
}

// TestRacingOrders gives two orders with equal base, in both sequences, and
// resends both: exactly the first wins, and every resend gets its own answer.
func TestRacingOrders(t *testing.T) {
	for _, first := range []string{"x", "y"} {
		var m admin.Machine
		second := strings.Trim("xy", first)
		for range 3 {
			won, lost := m.Apply(0, order(first, 0, 1)), m.Apply(0, order(second, 0, 2))
			if !won.Accepted || won.Version != 1 || lost.Accepted || lost.Reason == "" {
				t.Errorf("won %+v, lost %+v", won, lost)
			}
		}
		if reused := m.Apply(0, order(first, 1, 3)); reused.Fault == nil || m.Version() != 1 {
			t.Errorf("a used id was taken for another order: %+v", reused)
		}
		if diff := cmp.Diff(2, len(m.Trail(0, 10))); diff != "" {
			t.Errorf("audit records (-want +got):\n%s", diff)
		}
	}
}

// TestRefusedChange finds that a change with faults is refused whole.
func TestRefusedChange(t *testing.T) {
	var m admin.Machine
	bad := order("x", 0, -1)
	bad.Change.PutAccounts = append(bad.Change.PutAccounts, config.Account{ID: "fine", Rate: 1, Burst: 1})
	if d := m.Apply(0, bad); d.Accepted || !strings.Contains(d.Reason, "accounts.choir.rate") || len(m.Fleet().Accounts) != 0 {
		t.Errorf("decision %+v, accounts %v", d, m.Fleet().Accounts)
	}
}

// TestSinceEqualsFull catches up from every version by changes and finds the
// configuration that is in force.
func TestSinceEqualsFull(t *testing.T) {
	var m admin.Machine
	states := []config.Fleet{m.Fleet()}
	for i := range 30 {
		m.Apply(0, order(fmt.Sprint("order-", i), types.Version(i), float64(i+1)))
		states = append(states, m.Fleet())
	}
	for _, fleet := range states[1:] {
		changes, ok := m.Since(fleet.Version)
		if !ok {
			t.Fatalf("no changes since version %d", fleet.Version)
		}
		for _, c := range changes {
			fleet.Apply(c)
		}
		if diff := cmp.Diff(m.Fleet(), fleet); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
	if _, ok := m.Since(0); ok {
		t.Error("an entry host without a configuration gets changes only")
	}
}

// TestTrailShowsTampering changes, removes and swaps records.
func TestTrailShowsTampering(t *testing.T) {
	var m admin.Machine
	for i := range 5 {
		m.Apply(0, order(fmt.Sprint("order-", i), types.Version(i), 1))
	}
	whole := m.Trail(0, 10)
	if err := audit.Verify(audit.Record{}, whole); err != nil {
		t.Fatal(err)
	}
	for name, mangle := range map[string]func([]audit.Record) []audit.Record{
		"change":  func(r []audit.Record) []audit.Record { r[2].Operator = "other"; return r },
		"gap":     func(r []audit.Record) []audit.Record { return append(r[:2], r[3:]...) },
		"swap":    func(r []audit.Record) []audit.Record { r[1], r[2] = r[2], r[1]; return r },
		"outcome": func(r []audit.Record) []audit.Record { r[4].Outcome = "refused"; return r },
	} {
		if audit.Verify(audit.Record{}, mangle(append([]audit.Record(nil), whole...))) == nil {
			t.Errorf("%s does not show", name)
		}
	}
}
