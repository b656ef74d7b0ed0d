package fleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// TestAnnouncedDrainReachesAllHosts guards against announcements of targets that only the
// host keeps to which they were made: the leader shows the target as draining to all
// hosts at once, although the platform's list shows it as ready, and a new leader does so
// when the host reports again. Reports that the list has had the time to contradict, and
// those on targets that it does not contain, count for nothing.
func TestAnnouncedDrainReachesAllHosts(t *testing.T) {
	f := newFleet(t, 3)
	f.runAll()
	c, _ := f.client("entry-1")
	other, _ := f.client("entry-2")
	ready := []fleet.Target{{ID: "t1", Service: "models", Address: "127.0.0.1:1"}}
	announced := []fleet.Target{{ID: "t1", Service: "models", Address: "127.0.0.1:1", Draining: true, Announced: true}}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	report := func(ages map[types.TargetID]time.Duration) {
		exchangeLoads(ctx, t, c, fleet.LoadsRequest{Host: "entry-1", Draining: ages})
	}
	waitFor(t, "the list of targets", func() bool { return len(other.View().Targets) == 1 })
	report(map[types.TargetID]time.Duration{"t1": time.Minute, "t2": 0})
	time.Sleep(300 * time.Millisecond)
	if diff := cmp.Diff(ready, other.View().Targets); diff != "" {
		t.Errorf("targets after an old announcement and one of an unknown target (-want +got):\n%s", diff)
	}
	report(map[types.TargetID]time.Duration{"t1": 200 * time.Millisecond})
	waitFor(t, "the announcement at the other host", func() bool { return cmp.Equal(announced, other.View().Targets) })
	f.controls[0].stop()
	f.controls[1].stop()
	f.controls[0].run()
	f.controls[1].run()
	waitFor(t, "the announcement at the other host after a change of the leader", func() bool {
		report(map[types.TargetID]time.Duration{"t1": time.Second})
		return cmp.Equal(announced, other.View().Targets)
	})
}
