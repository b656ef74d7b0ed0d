package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/types"
)

// putColdPlan puts a plan whose targets may get 20 requests per second while they are cold.
func putColdPlan(ctx context.Context, t *testing.T, c *fleet.Client) {
	t.Helper()
	p := plan.Plan{Version: 1, Services: []plan.Service{{Name: "models", ColdTime: 3 * time.Second, ColdRate: 20}}}
	if _, err := c.Put(ctx, fleet.PutPlan{Document: fleet.Document{Body: []byte("1"), Plan: p}}); err != nil {
		t.Fatal(err)
	}
}

// TestColdTargetsReachAllHosts guards against hosts that take a cold target for warm. If the
// platform's list says so, all hosts must get the list again, though nothing else in it has
// changed, and once only, though the time left differs in each fetch. If a host has found
// it, all others must learn it with their loads, and the leader must divide the limit.
func TestColdTargetsReachAllHosts(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	putColdPlan(ctx, t, c)
	left := func() time.Duration {
		for _, target := range c.View().Targets {
			return target.ColdLeft
		}
		return 0
	}
	waitFor(t, "the list", func() bool { return len(c.View().Targets) > 0 })
	warm := c.View().Versions.Targets
	if diff := cmp.Diff(time.Duration(0), left()); diff != "" {
		t.Errorf("cold time in the first list (-want +got):\n%s", diff)
	}
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", Cold: fleet.ColdTargets{"t1": 2 * time.Second}})
	cold := exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-2"}).Cold["t1"]
	if cold < time.Second || cold > 2*time.Second {
		t.Errorf("another host is told that the target is cold for %v, want almost 2 s", cold)
	}
	f.coldUntil.Store(time.Now().Add(20 * time.Second).UnixNano())
	waitFor(t, "the list with the cold target", func() bool { return left() > 18*time.Second })
	turned := c.View().Versions.Targets
	if turned == warm {
		t.Error("the checksum has not changed")
	}
	time.Sleep(2500 * time.Millisecond) // Two fetches of the list.
	if diff := cmp.Diff(turned, c.View().Versions.Targets); diff != "" {
		t.Errorf("checksum of the list after it said the same once more (-want +got):\n%s", diff)
	}
}

// TestColdLimitIsDivided guards against hosts that each send what a cold target may get from
// all of them, and against a limit that the leader grants only if its own list shows it.
func TestColdLimitIsDivided(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	putColdPlan(ctx, t, c)
	waitFor(t, "the list", func() bool { return len(c.View().Targets) > 0 })
	admitted := 0
	start := time.Now()
	for time.Since(start) < 2*time.Second {
		for _, host := range []types.HostID{"entry-1", "entry-2"} {
			waitFor(t, "an allotment", func() bool {
				reply, err := c.Limits(ctx, fleet.LimitsRequest{
					Host: host, TargetDemands: map[types.TargetID]limit.Demand{"t1": {Holder: limit.Holder(host), Rate: 1, Waiting: 50}},
					TargetsCold: fleet.ColdTargets{"t1": 3 * time.Second},
				})
				admitted += reply.TargetAllotments["t1"].AdmitNow
				return err == nil
			})
		}
		time.Sleep(10 * time.Millisecond)
	}
	l := limit.ColdBound{}.Limit(20) // The default of fleet.Control.
	if allowed := float64(l.Burst) + float64(l.Rate)*time.Since(start).Seconds() + 1; float64(admitted) > allowed || admitted < 5 {
		t.Errorf("%d requests were admitted, the limit allows %.1f", admitted, allowed)
	}
}
