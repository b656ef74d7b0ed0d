package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// ratesOf returns the rates in notices, -1 for a lifted limit.
func ratesOf(notices fleet.TargetNotices) map[types.TargetID]float64 {
	rates := map[types.TargetID]float64{}
	for id, n := range notices {
		rates[id] = float64(n.Rate)
		if n.Lifted {
			rates[id] = -1
		}
	}
	return rates
}

// TestTargetLimitsReachAllHosts guards against limits of targets that only the hosts
// know to which the targets have named them: the leader tells all other hosts, each
// change once, and the newest notice counts whatever order the reports come in.
func TestTargetLimitsReachAllHosts(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	var cursor fleet.Cursor
	exchange := func(host types.HostID, notices fleet.TargetNotices) map[types.TargetID]float64 {
		req := fleet.LoadsRequest{Host: host, Notices: notices}
		if host == "entry-2" {
			req.NoticesSince = cursor
		}
		reply := exchangeLoads(ctx, t, c, req)
		if host == "entry-2" {
			cursor = reply.NoticesCursor
		}
		return ratesOf(reply.Notices)
	}
	check := func(what string, want, got map[types.TargetID]float64) {
		t.Helper()
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", what, diff)
		}
	}
	exchange("entry-1", fleet.TargetNotices{"t1": {Rate: 3}, "t2": {Rate: 5}})
	check("first exchange", map[types.TargetID]float64{"t1": 3, "t2": 5}, exchange("entry-2", nil))
	check("no change", map[types.TargetID]float64{}, exchange("entry-2", nil))
	exchange("entry-3", fleet.TargetNotices{"t1": {Lifted: true}, "t2": {Lifted: true, Ago: time.Minute / 2}})
	check("lifted, and an older notice", map[types.TargetID]float64{"t1": -1}, exchange("entry-2", nil))
}

// TestTargetLimitIsDividedAmongHosts guards against hosts that each take a target's
// whole limit: what one host takes is not there for the other one, and a host that
// does not know that the limit is lifted is told so.
func TestTargetLimitIsDividedAmongHosts(t *testing.T) {
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	demand := func(host types.HostID, waiting int, n fleet.TargetNotice) fleet.LimitsReply {
		var reply fleet.LimitsReply
		waitFor(t, "an allotment", func() bool {
			var err error
			reply, err = c.Limits(ctx, fleet.LimitsRequest{
				Host: host, TargetDemands: map[types.TargetID]limit.Demand{"t1": {Holder: limit.Holder(host), Rate: 1, Waiting: waiting}},
				TargetNotices: fleet.TargetNotices{"t1": n},
			})
			return err == nil
		})
		return reply
	}
	admitted := 0
	start := time.Now()
	for range 40 {
		time.Sleep(50 * time.Millisecond) // A new leader starts with an empty bucket.
		admitted += demand("entry-1", 3, fleet.TargetNotice{Rate: 2}).TargetAllotments["t1"].AdmitNow
		admitted += demand("entry-2", 3, fleet.TargetNotice{Rate: 2}).TargetAllotments["t1"].AdmitNow
	}
	if allowed := 2 + 2*time.Since(start).Seconds(); float64(admitted) > allowed || admitted == 0 {
		t.Errorf("%d requests were admitted, the limit allows %.1f", admitted, allowed)
	}
	exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-3", Notices: fleet.TargetNotices{"t1": {Lifted: true}}})
	reply := demand("entry-1", 1, fleet.TargetNotice{Rate: 2, Ago: time.Second})
	if diff := cmp.Diff(map[types.TargetID]float64{"t1": -1}, ratesOf(reply.TargetNotices)); diff != "" {
		t.Errorf("notices in reply to a demand (-want +got):\n%s", diff)
	}
}
