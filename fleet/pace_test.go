package fleet_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

// TestPaceOfTarget guards against a target that several hosts could not connect to and that
// gets its full share from each of them once they can, against a limit that never ends, and
// against one without the setting.
func TestPaceOfTarget(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		f := newFleet(t, 1)
		f.targetPace = enabled
		f.runAll()
		c, _ := f.client("entry-1")
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		waitFor(t, "the list", func() bool { return len(c.View().Targets) > 0 })
		// exchange reports a load of both hosts until the leader has the wanted limits.
		exchange := func(what string, l fleet.Load, want fleet.Paces) {
			t.Helper()
			var got fleet.Paces
			done := func() bool {
				for _, h := range []types.HostID{"entry-1", "entry-2"} {
					got = exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: h, Loads: map[types.TargetID]fleet.Load{"t1": l}}).Paces
				}
				return cmp.Equal(want, got)
			}
			waitFor(t, what, done)
		}
		if !enabled {
			exchange("no limit", fleet.Load{Unreachable: 1}, nil)
			exchange("no limit", fleet.Load{}, nil)
			continue
		}
		exchange("no limit while nobody can connect", fleet.Load{Unreachable: 1, Responses: 1}, nil)
		exchange("the limit of a target that accepts connections again", fleet.Load{}, fleet.Paces{"t1": {Rate: 4}})
		exchange("a higher limit", fleet.Load{Responses: 2}, fleet.Paces{"t1": {Rate: 8}})
		exchange("a lower limit after failures", fleet.Load{Failures: 1}, fleet.Paces{"t1": {Rate: 1}})
		exchange("the end of the limit", fleet.Load{Responses: 1}, nil)
	}
}

// TestNewLeaderAdoptsPace guards against a new leader that lets all hosts send their full
// share to a target that had just begun to recover.
func TestNewLeaderAdoptsPace(t *testing.T) {
	f := newFleet(t, 1)
	f.targetPace = true
	f.runAll()
	c, _ := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	want := fleet.Paces{"t1": ramp.Allowed{Rate: 2, Probe: true}}
	waitFor(t, "the limit of the leader before", func() bool {
		reply := exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", Paces: want})
		return cmp.Equal(want, reply.Paces)
	})
}
