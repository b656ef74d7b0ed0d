package ramp_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

const coldTime = 3 * time.Second

// at returns the time that many milliseconds after the start.
func at(ms int) types.Mono { return types.Mono(time.Duration(ms) * time.Millisecond) }

func list(ids ...types.TargetID) (entries []ramp.Entry) {
	for _, id := range ids {
		entries = append(entries, ramp.Entry{ID: id, Address: "10.0.0.1:80", Zone: "z1"})
	}
	return entries
}

// TestColdTargets guards against cold targets that get the share of warm ones, and against
// warm ones that are limited: after a start of the host itself the list decides, later a
// target is cold after it appears, returns under another address, turns cold while it is
// listed, is found to have started, or is in a zone that was returned.
func TestColdTargets(t *testing.T) {
	returned := map[types.ZoneID]types.Mono{}
	c := ramp.Cold{ZoneReturned: func(z types.ZoneID) (types.Mono, bool) { at, ok := returned[z]; return at, ok }}
	check := func(what string, ms int, want map[types.TargetID]int) {
		t.Helper()
		got := map[types.TargetID]int{}
		for _, id := range []types.TargetID{"a", "b", "c"} {
			if left := c.Left(id, coldTime, at(ms)); left > 0 {
				got[id] = int(left.Milliseconds())
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: cold targets, and for how many more ms (-want +got):\n%s", what, diff)
		}
	}
	c.Update(nil, at(0)) // The plan comes before the list.
	first := list("a", "b")
	first[1].ColdLeft = time.Second
	c.Update(first, at(0))
	check("first list", 0, map[types.TargetID]int{"b": 1000})
	c.Update(list("a", "b", "c"), at(1000))
	check("new target", 1500, map[types.TargetID]int{"c": 2500})
	moved := list("a", "b", "c")
	moved[0].Address = "10.0.0.2:80"
	moved[1].ColdLeft = 2 * time.Second
	c.Update(moved, at(5000))
	check("other address, and cold while listed", 5000, map[types.TargetID]int{"a": 3000, "b": 2000})
	if diff := cmp.Diff([]uint64{0, 1, 0}, []uint64{c.Revision("a"), c.Revision("b"), c.Revision("c")}); diff != "" {
		t.Errorf("revisions (-want +got):\n%s", diff)
	}
	moved[1].ColdLeft = 1100 * time.Millisecond
	if turned := c.Update(moved, at(6000)); len(turned) > 0 {
		t.Errorf("%v turned cold by a list that says the same as the one before", turned)
	}
	c.Started("c", at(6500))
	check("found to have started", 7500, map[types.TargetID]int{"a": 500, "c": 2000})
	found := c.Found(func(types.TargetID) time.Duration { return coldTime }, at(7500))
	if diff := cmp.Diff(map[types.TargetID]time.Duration{"c": 2 * time.Second}, found); diff != "" {
		t.Errorf("found by this host (-want +got):\n%s", diff)
	}
	c.Extend("b", 1500*time.Millisecond, at(10_000))
	check("told by another host", 10_500, map[types.TargetID]int{"b": 1000})
	returned["z1"] = at(12_000)
	check("zone returned", 14_000, map[types.TargetID]int{"a": 1000, "b": 1000, "c": 1000})
	check("later", 15_000, map[types.TargetID]int{})
}
