package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// idleEngines returns n idle engines, the first half of them in the host's zone.
func idleEngines(n int) []route.Option {
	var options []route.Option
	for i := range n {
		options = append(options, route.Option{ID: types.TargetID(fmt.Sprint("t", i)), SameZone: i < n/2, Slots: 12, Pace: 1, ReportAge: time.Hour})
	}
	return options
}

// typicalTurn is a turn with a shared prefix of typical size.
var typicalTurn = route.Work{Prompt: 14000, AffinityKey: "shared", ServiceTime: 300 * time.Millisecond}

func place(t *testing.T, options []route.Option, w route.Work) int {
	t.Helper()
	i := route.Place(options, w, route.DefaultPlacementCosts, nil)
	if i < 0 {
		t.Fatal("no option is chosen")
	}
	return i
}

func TestPlaceWithoutOptions(t *testing.T) {
	if diff := cmp.Diff(-1, route.Place(nil, typicalTurn, route.DefaultPlacementCosts, nil)); diff != "" {
		t.Errorf("place without options (-want +got):\n%s", diff)
	}
}

// TestSharedPrefixGoesToOneTarget checks that hosts without information about
// each other send prompts with the same prefix to the same target of their zone,
// and that prefixes spread over the targets.
func TestSharedPrefixGoesToOneTarget(t *testing.T) {
	targets := map[string]int{}
	for i := range 20 {
		w := typicalTurn
		w.AffinityKey = fmt.Sprint("shared ", i)
		a, b := place(t, idleEngines(12), w), place(t, idleEngines(12), w)
		if a != b || a >= 6 {
			t.Errorf("%s is placed on targets %d and %d", w.AffinityKey, a, b)
		}
		targets[fmt.Sprint(a)]++
	}
	if len(targets) < 4 {
		t.Errorf("20 shared prefixes are placed on only %d of 6 targets", len(targets))
	}
}

// TestProgramReturnsToCachedPrompt checks that a program returns to the target
// that has its prompt cached, even in another zone, unless that target is busy.
func TestProgramReturnsToCachedPrompt(t *testing.T) {
	options := idleEngines(12)
	options[9].Cached = typicalTurn.Prompt
	if diff := cmp.Diff(9, place(t, options, typicalTurn)); diff != "" {
		t.Errorf("place (-want +got):\n%s", diff)
	}
	options[9].InFlight = 11
	if got := place(t, options, typicalTurn); got == 9 {
		t.Error("the program is placed on a target whose queue costs more than a prefill of the prompt elsewhere")
	}
}

// TestSharedPrefixSpreadsUnderLoad adds requests with one prefix one by one. They
// must go to further targets before the slots of the first one are full.
func TestSharedPrefixSpreadsUnderLoad(t *testing.T) {
	options := idleEngines(12)
	used := map[int]bool{}
	for range 40 {
		i := place(t, options, typicalTurn)
		options[i].InFlight++
		options[i].Cached = 12600
		used[i] = true
		if options[i].InFlight > options[i].Slots {
			t.Fatalf("target %d gets request number %d while others are idle", i, options[i].InFlight)
		}
	}
	if len(used) < 4 || len(used) > 9 {
		t.Errorf("40 requests went to %d targets, want 4 to 9", len(used))
	}
}

func TestFailingSlowAndFullTargetsAreAvoided(t *testing.T) {
	for name, degrade := range map[string]func(o *route.Option){
		"failing": func(o *route.Option) { o.Failing = true },
		"slow":    func(o *route.Option) { o.Pace = 5 },
		"full":    func(o *route.Option) { o.Running, o.Waiting, o.ReportAge = 12, 4, 0 },
	} {
		options := idleEngines(6)
		preferred := place(t, options, typicalTurn)
		degrade(&options[preferred])
		if got := place(t, options, typicalTurn); got == preferred {
			t.Errorf("%s: the target is still selected", name)
		}
	}
}

// TestSlowTargetsAgainstMedian sets the paces of targets that differ slightly, of
// one that is four times slower, and of one without a measurement.
func TestSlowTargetsAgainstMedian(t *testing.T) {
	options := idleEngines(5)
	route.SetPaces(options, []float64{0.020, 0.024, 0.080, 0, 0.018})
	var got []float64
	for _, o := range options {
		got = append(got, o.Pace)
	}
	if diff := cmp.Diff([]float64{1, 1, 4, 1, 1}, got); diff != "" {
		t.Errorf("paces (-want +got):\n%s", diff)
	}
}

// TestStaleReportsAreIgnored checks that a report of many requests diverts a
// request while it is fresh, and no longer when it is old.
func TestStaleReportsAreIgnored(t *testing.T) {
	options := idleEngines(2)
	options[0].SameZone, options[1].SameZone = true, true
	calls := route.Work{ServiceTime: 30 * time.Millisecond}
	options[0].Running, options[0].ReportAge, options[1].InFlight = 12, 0, 3
	if diff := cmp.Diff(1, place(t, options, calls)); diff != "" {
		t.Errorf("place with a fresh report (-want +got):\n%s", diff)
	}
	options[0].ReportAge = time.Minute
	if diff := cmp.Diff(0, place(t, options, calls)); diff != "" {
		t.Errorf("place with an old report (-want +got):\n%s", diff)
	}
}

// BenchmarkPlace selects among the targets of one model, up to the number that the
// project is designed for.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 600} {
		options := idleEngines(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				route.Place(options, typicalTurn, route.DefaultPlacementCosts, nil)
			}
		})
	}
}

// TestNoRepeatedPrefillOnBusyEngine guards against a repeated prefill of a shared
// prefix that stalls a busy engine. The engine with the prefix cached is full and
// has a short queue. The request must wait there if the other engine is nearly
// full, since a prefill would stall all its requests, and go to the other engine
// if that is nearly idle.
func TestNoRepeatedPrefillOnBusyEngine(t *testing.T) {
	cached := route.Option{ID: "home", SameZone: true, Running: 14, Slots: 12, Cached: 12_600, Pace: 1}
	w := route.Work{Prompt: 13_600, AffinityKey: "part", ServiceTime: 300 * time.Millisecond}
	for _, c := range []struct {
		running int
		want    int
	}{{9, 0}, {1, 1}} {
		other := route.Option{ID: "other", SameZone: true, Running: c.running, Slots: 12, Pace: 1}
		if diff := cmp.Diff(c.want, route.Place([]route.Option{cached, other}, w, route.DefaultPlacementCosts, nil)); diff != "" {
			t.Errorf("place beside an engine that runs %d requests (-want +got):\n%s", c.running, diff)
		}
	}
}

// TestNoHerdingToIdleTarget guards against a herd effect: many hosts learn at the
// same time that one engine is idle, and none sees the requests of the others
// before the next exchange of load reports. Only some requests may go to that
// engine.
func TestNoHerdingToIdleTarget(t *testing.T) {
	options := idleEngines(12)
	for i := range options {
		options[i].Cached, options[i].Running, options[i].ReportAge = typicalTurn.Prompt, 6, 100*time.Millisecond
	}
	options[3].Running = 0
	intN := rand.New(rand.NewPCG(1, 1)).IntN
	sent := map[int]int{}
	for range 60 {
		sent[route.Place(options, typicalTurn, route.DefaultPlacementCosts, intN)]++
	}
	if sent[3] < 6 || sent[3] > 24 || len(sent) < 6 {
		t.Errorf("requests by target: %v, want 6 to 24 on target 3 and at least 6 targets", sent)
	}
}

// TestFullZoneOverflowsToOtherZone checks that requests go to the other zone when
// all targets of the host's zone are full.
func TestFullZoneOverflowsToOtherZone(t *testing.T) {
	options := idleEngines(12)
	for i := range options {
		options[i].Cached = typicalTurn.Prompt
		if options[i].SameZone {
			options[i].InFlight = 14
		}
	}
	intN := rand.New(rand.NewPCG(1, 1)).IntN
	otherZone := 0
	for range 60 {
		if i := route.Place(options, typicalTurn, route.DefaultPlacementCosts, intN); !options[i].SameZone {
			otherZone++
		}
	}
	if otherZone < 20 {
		t.Errorf("%d of 60 requests went to the other zone, want at least 20", otherZone)
	}
}

// TestCachedPromptsStayInZone checks that requests stay in their zone if the
// targets of both zones have the prompt cached, as traffic between zones is
// expensive.
func TestCachedPromptsStayInZone(t *testing.T) {
	options := idleEngines(12)
	for i := range options {
		options[i].Cached = typicalTurn.Prompt
	}
	intN := rand.New(rand.NewPCG(1, 1)).IntN
	sameZone := 0
	for range 60 {
		if options[route.Place(options, typicalTurn, route.DefaultPlacementCosts, intN)].SameZone {
			sameZone++
		}
	}
	if sameZone < 54 {
		t.Errorf("%d of 60 requests stayed in their zone, want at least 54", sameZone)
	}
}

// TestNoOptionForPrompt guards against a panic, and so a response that is missing, if no
// target can take a prompt.
func TestNoOptionForPrompt(t *testing.T) {
	intN := rand.New(rand.NewPCG(1, 1)).IntN
	if diff := cmp.Diff(-1, route.Place(nil, typicalTurn, route.DefaultPlacementCosts, intN)); diff != "" {
		t.Errorf("place without options (-want +got):\n%s", diff)
	}
}
