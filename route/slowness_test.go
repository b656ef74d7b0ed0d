package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/route"
)

// TestSlownessCountsWhileItIsFresh guards against work that is sent to a target which has just
// reported that it is slow, and against a target that is avoided after that has ended.
func TestSlownessCountsWhileItIsFresh(t *testing.T) {
	for name, w := range map[string]route.Work{"turn": typicalTurn, "call": {ServiceTime: 30 * time.Millisecond}} {
		options := idleEngines(6)
		usual := place(t, options, w)
		options[usual].Slowness = 2.5
		for age, avoided := range map[time.Duration]bool{0: true, 200 * time.Millisecond: true, 600 * time.Millisecond: false, time.Hour: false} {
			options[usual].SlownessAge = age
			if diff := cmp.Diff(avoided, place(t, options, w) != usual); diff != "" {
				t.Errorf("%s, whether a target that was slow %v ago is avoided (-want +got):\n%s", name, age, diff)
			}
		}
	}
}

// TestAbsurdSlownessIsBounded guards against a target that attracts all requests by a report
// that its work takes no time: others must get a third of the requests at least.
func TestAbsurdSlownessIsBounded(t *testing.T) {
	options := idleEngines(4)
	for i := range options {
		options[i].Cached = typicalTurn.Prompt
	}
	options[1].Slowness = 0.01
	for range 24 {
		options[place(t, options, typicalTurn)].InFlight++
	}
	if n := options[1].InFlight; n > 16 {
		t.Errorf("the target got %d of 24 requests", n)
	}
}

// TestSlowTargetIsLeftForMany guards against a herd: when one target reports that it is slow,
// all hosts move to the same neighbor.
func TestSlowTargetIsLeftForMany(t *testing.T) {
	for name, w := range map[string]route.Work{"turn": typicalTurn, "call": {ServiceTime: 30 * time.Millisecond}} {
		options := idleEngines(12)
		for i := range options {
			options[i].Cached, options[i].Running, options[i].ReportAge = w.Prompt, 6, 100*time.Millisecond
		}
		options[3].Slowness = 2.5
		intN := rand.New(rand.NewPCG(1, 1)).IntN
		sent := map[int]int{}
		for range 60 {
			sent[route.Place(options, w, route.DefaultPlacementCosts, intN)]++
		}
		for i, n := range sent {
			if i == 3 || n > 24 {
				t.Errorf("%s: target %d got %d of 60 requests; target 3 is slow", name, i, n)
			}
		}
	}
}

// TestFinePaceCountsSmallDifferences guards against equal shares for targets whose steady
// speeds differ by less than the 1.6 times from which a target counts as slow.
func TestFinePaceCountsSmallDifferences(t *testing.T) {
	options := idleEngines(5)
	route.SetFinePaces(options, []float64{0.020, 0.025, 0.080, 0, 0.016})
	var got []float64
	for _, o := range options {
		got = append(got, o.FinePace)
	}
	if diff := cmp.Diff([]float64{1, 1.25, 4, 0, 0.8}, got); diff != "" {
		t.Errorf("fine paces (-want +got):\n%s", diff)
	}
	for i := range options {
		options[i].SameZone = true
	}
	if diff := cmp.Diff(4, place(t, options, route.Work{ServiceTime: 30 * time.Millisecond})); diff != "" {
		t.Errorf("place (-want +got):\n%s", diff)
	}
}
