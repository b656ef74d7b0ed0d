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

// TestOperatorsRace gives many orders with equal base at once, each of them
// three times as if its answers had been lost. Exactly one is accepted, every
// resend gets the same answer, and the trail tells all of it.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t, 3, 1, idleEngine)
	var fleet config.Fleet
	if err := f.operate(http.MethodGet, "/admin/v1/configuration", nil, &fleet); err != nil {
		t.Fatal(err)
	}
	const operators = 8
	decisions := make([][3]admin.Decision, operators)
	var g errgroup.Group
	for i := range decisions {
		body := manage.OrderBody{ID: types.OrderID(fmt.Sprint("race-", i)), Base: fleet.Version, Summary: "race"}
		body.Change.PutAccounts = []config.Account{{ID: "band", Rate: types.PerSecond(i + 1), Burst: 1}}
		for k := range decisions[i] {
			g.Go(func() error { return f.operate(http.MethodPost, "/admin/v1/orders", body, &decisions[i][k]) })
		}
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	for _, d := range decisions {
		if diff := cmp.Diff(d[0], d[1]); diff != "" || d[1] != d[2] {
			t.Errorf("resends differ (-first +second):\n%s", diff)
		}
		if d[0].Accepted {
			accepted++
		}
	}
	if diff := cmp.Diff(1, accepted); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
	out, err := f.admins("audit")
	if err != nil || strings.Count(out, "order race-") != operators || !strings.Contains(out, "the chain is whole") {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestOperatorsInput gives orders that cannot be taken.
func TestOperatorsInput(t *testing.T) {
	f := newFleet(t, 3, 1, idleEngine)
	for name, body := range map[string]any{
		"no id":         map[string]any{"base": 1, "change": map[string]any{"dropKeys": []string{"x"}}},
		"no change":     map[string]any{"id": "a", "base": 1},
		"unknown field": map[string]any{"id": "a", "base": 1, "chance": 1},
	} {
		if err := f.operate(http.MethodPost, "/admin/v1/orders", body, &struct{}{}); err == nil || !strings.Contains(err.Error(), "400") {
			t.Errorf("%s: %v", name, err)
		}
	}
	f.operator = callerKey
	if err := f.operate(http.MethodGet, "/admin/v1/configuration", nil, &struct{}{}); err == nil || !strings.Contains(err.Error(), "401") {
		t.Errorf("a caller's key: %v", err)
	}
	if _, err := f.admins("withdraw", "--hash", "none"); err == nil {
		t.Error("a key that is not there was withdrawn")
	}
}
