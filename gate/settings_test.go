package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/gate"
	"github.com/banyanspur/banyanspur/limit"
)

// TestMaxPlanStalenessChanges guards against a host that goes on with the bound on the age of
// keys with which it was started.
func TestMaxPlanStalenessChanges(t *testing.T) {
	b := newTestbed(t)
	b.addTarget("plain", respondOK)
	b.fleet.mu.Lock()
	b.fleet.staleness = 2 * time.Minute
	b.fleet.mu.Unlock()
	for _, c := range []struct {
		bound time.Duration
		want  int
	}{{3 * time.Minute, http.StatusOK}, {time.Minute, http.StatusServiceUnavailable}, {0, http.StatusOK}} {
		b.gate.Change(gate.Settings{MaxPlanStaleness: c.bound})
		if code, _ := b.send(testRequest{path: "/lookup/", key: "choir-key"}); code != c.want {
			t.Errorf("bound %v: status %d, want %d", c.bound, code, c.want)
		}
	}
}

// TestBacklogLimitChanges guards against a host that holds unread responses for the memory
// with which it was started.
func TestBacklogLimitChanges(t *testing.T) {
	b := gate.NewBacklog(1000)
	if !b.Take("choir", 0, 400) {
		t.Error("400 of 1000 bytes are not free")
	}
	b.SetLimit(500)
	if b.Take("band", 0, 200) {
		t.Error("200 bytes are free although 400 of 500 are held")
	}
	b.SetLimit(1000)
	if !b.Take("band", 0, 200) {
		t.Error("200 bytes are not free although 400 of 1000 are held")
	}
}

// TestColdBoundChangesOnHost guards against a host that limits cold targets by the bound with
// which it was started.
func TestColdBoundChangesOnHost(t *testing.T) {
	b, change := newColdTestbed(t)
	bound := limit.ColdBound{Over: 0.5}
	b.gate.Change(gate.Settings{ColdBound: bound})
	b.addTarget("plain", respondOK)
	change(func(list []fleet.Target) []fleet.Target {
		list[0].ColdLeft = 5 * time.Second
		return list
	})
	b.send(testRequest{path: "/charge/", key: "choir-key"})
	if want := fmt.Sprintf(`"limit":%v`, bound.Limit(coldRate).Rate); !strings.Contains(b.log.String(), want) {
		t.Errorf("the log does not contain %s:\n%s", want, b.log.String())
	}
}
