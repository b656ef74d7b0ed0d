package ramp_test

import (
	"fmt"
	"testing"

	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

// BenchmarkExchange is what the leader does for one report of 300 hosts on 100 targets, with
// its part of the step.
func BenchmarkExchange(b *testing.B) {
	const hosts, targets = 300, 100
	var p ramp.Pace
	var members []ramp.Member
	for i := range targets {
		members = append(members, ramp.Member{ID: types.TargetID(fmt.Sprintf("t%d", i)), Service: "s"})
	}
	now := types.Mono(0)
	i := 0
	for b.Loop() {
		i++
		now = now.Add(ramp.StepInterval / hosts)
		for _, m := range members {
			p.Observe(m.ID, "entry-1", ramp.Report{Responses: 1, Failures: i % 50 / 49, UnitSeconds: 0.05}, now)
		}
		p.Step(members, now)
	}
}
