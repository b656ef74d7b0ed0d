package route_test

import (
	"math"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/route"
)

// TestAbsurdLoadIsNotIdle guards against a target that reports numbers near the largest that
// can be held: their sum is negative, or their queueing time is, and the target looks idle.
func TestAbsurdLoadIsNotIdle(t *testing.T) {
	for name, w := range map[string]route.Work{"turn": typicalTurn, "call": {ServiceTime: 30 * time.Millisecond}} {
		for report, load := range map[string][2]int{"sum": {math.MaxInt, math.MaxInt}, "running": {math.MaxInt, 0}, "waiting": {1, math.MaxInt}} {
			options := idleEngines(2)
			options[0].SameZone, options[1].SameZone = true, true
			absurd := place(t, options, w)
			options[absurd].Running, options[absurd].Waiting, options[absurd].ReportAge = load[0], load[1], 0
			if place(t, options, w) == absurd {
				t.Errorf("%s, %s: the target is selected", name, report)
			}
			if q := route.DefaultPlacementCosts.QueueTime(options[absurd], w); q < time.Minute {
				t.Errorf("%s, %s: expected queueing time of %v", name, report, q)
			}
		}
	}
}
