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

// order returns an order that sets the rate of an account.
func order(id string, base types.Version, rate float64) admin.Order {
	return admin.Order{
		ID: types.OrderID(id), Operator: "o", Base: base, Summary: "rate",
		Change: config.Change{PutAccounts: []config.Account{{ID: "choir", Rate: types.PerSecond(rate), Burst: 1}}},
	}
}

// TestRacingOrders applies two orders with the same base version, in both
// sequences, and retries both. Only the order applied first may be accepted, and
// each retry must get the decision on its own order. Another order with a used ID
// must be rejected.
func TestRacingOrders(t *testing.T) {
	for _, first := range []string{"x", "y"} {
		var m admin.Machine
		second := strings.Trim("xy", first)
		for range 3 {
			accepted, refused := m.Apply(0, order(first, 0, 1)), m.Apply(0, order(second, 0, 2))
			if !accepted.Accepted || accepted.Version != 1 || refused.Accepted || refused.Reason == "" {
				t.Errorf("first order: %+v, second order: %+v", accepted, refused)
			}
		}
		if reused := m.Apply(0, order(first, 1, 3)); reused.Fault == nil || m.Version() != 1 {
			t.Errorf("another order with a used ID was not rejected: %+v", reused)
		}
		if diff := cmp.Diff(2, len(m.AuditRecords(0, 10))); diff != "" {
			t.Errorf("audit records (-want +got):\n%s", diff)
		}
	}
}

// TestRefusedChange checks that a change is refused as a whole if any part of it
// is invalid.
func TestRefusedChange(t *testing.T) {
	var m admin.Machine
	invalid := order("x", 0, -1)
	invalid.Change.PutAccounts = append(invalid.Change.PutAccounts, config.Account{ID: "fine", Rate: 1, Burst: 1})
	if d := m.Apply(0, invalid); d.Accepted || !strings.Contains(d.Reason, "accounts.choir.rate") || len(m.Fleet().Accounts) != 0 {
		t.Errorf("decision %+v, accounts %v", d, m.Fleet().Accounts)
	}
}

// TestChangesSinceYieldsCurrentConfiguration checks that the changes since any
// earlier version lead to the configuration in force, and that version 0 requires
// the whole configuration.
func TestChangesSinceYieldsCurrentConfiguration(t *testing.T) {
	var m admin.Machine
	versions := []config.Fleet{m.Fleet()}
	for i := range 30 {
		m.Apply(0, order(fmt.Sprint("order-", i), types.Version(i), float64(i+1)))
		versions = append(versions, m.Fleet())
	}
	for _, fleet := range versions[1:] {
		changes, ok := m.ChangesSince(fleet.Version)
		if !ok {
			t.Fatalf("no changes since version %d", fleet.Version)
		}
		for _, c := range changes {
			fleet.Apply(c)
		}
		if diff := cmp.Diff(m.Fleet(), fleet); diff != "" {
			t.Errorf("configuration (-want +got):\n%s", diff)
		}
	}
	if _, ok := m.ChangesSince(0); ok {
		t.Error("ChangesSince(0) returned changes, want the whole configuration to be required")
	}
}

// TestVerifyDetectsTampering checks that Verify reports modified, missing and
// reordered records.
func TestVerifyDetectsTampering(t *testing.T) {
	var m admin.Machine
	for i := range 5 {
		m.Apply(0, order(fmt.Sprint("order-", i), types.Version(i), 1))
	}
	trail := m.AuditRecords(0, 10)
	if err := audit.Verify(audit.Record{}, trail); err != nil {
		t.Fatal(err)
	}
	for name, tamper := range map[string]func([]audit.Record) []audit.Record{
		"change":  func(r []audit.Record) []audit.Record { r[2].Operator = "other"; return r },
		"gap":     func(r []audit.Record) []audit.Record { return append(r[:2], r[3:]...) },
		"swap":    func(r []audit.Record) []audit.Record { r[1], r[2] = r[2], r[1]; return r },
		"outcome": func(r []audit.Record) []audit.Record { r[4].Outcome = "refused"; return r },
	} {
		if audit.Verify(audit.Record{}, tamper(append([]audit.Record(nil), trail...))) == nil {
			t.Errorf("%s was not detected", name)
		}
	}
}
