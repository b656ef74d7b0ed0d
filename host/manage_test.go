package host_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
)

// TestConcurrentOrders submits several orders with the same base version
// concurrently, each three times as if the responses had been lost. Exactly one
// order must be accepted, every resend must get the same decision, and the audit
// trail must contain each order once.
func TestConcurrentOrders(t *testing.T) {
	f := newFleet(t, 3, 1, defaultEngine)
	var fleet config.Fleet
	if err := f.adminRequest(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil {
		t.Fatal(err)
	}
	const operators = 8
	decisions := make([][3]admin.Decision, operators)
	var g errgroup.Group
	for i := range decisions {
		body := manage.OrderBody{ID: types.OrderID(fmt.Sprint("race-", i)), Base: fleet.Version, Summary: "race"}
		body.Change.PutAccounts = []config.Account{{ID: "band", Rate: types.PerSecond(i + 1), Burst: 1}}
		for k := range decisions[i] {
			g.Go(func() error { return f.adminRequest(http.MethodPost, "/admin/v1/orders", body, &decisions[i][k]) })
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for _, d := range decisions {
		if diff := cmp.Diff(d[0], d[1]); diff != "" || d[1] != d[2] {
			t.Errorf("decisions on resends differ (-first +second):\n%s", diff)
		}
		if d[0].Accepted {
			accepted++
		}
	}
	if diff := cmp.Diff(1, accepted); diff != "" {
		t.Errorf("accepted orders (-want +got):\n%s", diff)
	}
	out, err := f.runAdmin("audit")
	if err != nil || strings.Count(out, "order race-") != operators || !strings.Contains(out, "the chain is whole") {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestInvalidAdminRequests sends invalid orders, uses a caller's key as an
// operator's and withdraws a key that does not exist. All must be rejected.
func TestInvalidAdminRequests(t *testing.T) {
	f := newFleet(t, 3, 1, defaultEngine)
	for name, body := range map[string]any{
		"no id":         map[string]any{"base": 1, "change": map[string]any{"dropKeys": []string{"x"}}},
		"no change":     map[string]any{"id": "a", "base": 1},
		"unknown field": map[string]any{"id": "a", "base": 1, "chance": 1},
	} {
		if err := f.adminRequest(http.MethodPost, "/admin/v1/orders", body, &struct{}{}); err == nil || !strings.Contains(err.Error(), "400") {
			t.Errorf("%s: %v", name, err)
		}
	}
	f.operatorKey = callerKey
	if err := f.adminRequest(http.MethodGet, "/admin/v1/configuration", nil, &struct{}{}); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("a caller's key: %v", err)
	}
	if _, err := f.runAdmin("withdraw", "--hash", "none"); err == nil {
		t.Error("the withdrawal of a key that does not exist succeeded")
	}
}
