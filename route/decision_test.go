package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// BenchmarkDecision selects one of 100 targets that report their slowness, as for each
// request. It must stay below 50 us; neither accounts nor hosts are among its inputs.
func BenchmarkDecision(b *testing.B) {
	intN := rand.New(rand.NewPCG(1, 1)).IntN
	options, unitTimes := make([]route.Option, 100), make([]float64, 100)
	for name, w := range map[string]route.Work{"turn": typicalTurn, "call": {ServiceTime: 30 * time.Millisecond}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for i := range options {
					unitTimes[i] = 0.02 + float64(i%7)/1000
					options[i] = route.Option{
						ID: types.TargetID(engineNames[i]), SameZone: i%4 == 0, Slots: 16, Pace: 1, Running: i % 16, ReportAge: 100 * time.Millisecond,
						Slowness: 1 + route.Slowness(i%3), SlownessAge: 100 * time.Millisecond, Cached: types.Tokens(i % 2 * 13000),
					}
				}
				if route.AnySlowness(options) {
					route.SetFinePaces(options, unitTimes)
				}
				route.Place(options, w, route.DefaultPlacementCosts, intN)
			}
		})
	}
}

var engineNames = func() (names [100]string) {
	for i := range names {
		names[i] = fmt.Sprint("engine-", i)
	}
	return names
}()
