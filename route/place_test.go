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

// engines returns idle engines, the first half of them in the own zone.
func engines(n int) []route.Option {
	var list []route.Option
	for i := range n {
		list = append(list, route.Option{ID: types.TargetID(fmt.Sprint("t", i)), SameZone: i < n/2, Slots: 12, Pace: 1, Age: time.Hour})
	}
	return list
}

// prompt is a turn whose shared part is as large as usual.
var prompt = route.Work{Prompt: 14000, Home: "shared", Service: 300 * time.Millisecond}

func place(t *testing.T, list []route.Option, w route.Work) int {
	t.Helper()
	i := route.Place(list, w, route.DefaultPrices, nil)
	if i < 0 {
		t.Fatal("no option is chosen")
	}
	return i
}

func TestNoOptionNoPlace(t *testing.T) {
	if diff := cmp.Diff(-1, route.Place(nil, prompt, route.DefaultPrices, nil)); diff != "" {
		t.Errorf("place among none (-want +got):\n%s", diff)
	}
}

// TestEqualPromptsMeet has hosts that know nothing of each other send prompts
// that share a part to the same target of their zone.
func TestEqualPromptsMeet(t *testing.T) {
	homes := map[string]int{}
	for i := range 20 {
		w := prompt
		w.Home = fmt.Sprint("shared ", i)
		a, b := place(t, engines(12), w), place(t, engines(12), w)
		if a != b || a >= 6 {
			t.Errorf("%s goes to target %d and to %d", w.Home, a, b)
		}
		homes[fmt.Sprint(a)]++
	}
	if len(homes) < 4 {
		t.Errorf("20 shared parts live on %d of 6 targets", len(homes))
	}
}

// TestSessionStaysWithItsPrompt has a session come back whose prompt lies in
// another zone; it goes there unless that target is busy.
func TestSessionStaysWithItsPrompt(t *testing.T) {
	list := engines(12)
	list[9].Held = prompt.Prompt
	if diff := cmp.Diff(9, place(t, list, prompt)); diff != "" {
		t.Errorf("place (-want +got):\n%s", diff)
	}
	list[9].Own = 11
	if got := place(t, list, prompt); got == 9 {
		t.Error("the session goes to a target whose queue costs more than its prompt")
	}
}

// TestHomesGrowWithTheirLoad adds requests one by one: the home fills first,
// and the others take part before its slots are full.
func TestHomesGrowWithTheirLoad(t *testing.T) {
	list := engines(12)
	used := map[int]bool{}
	for range 40 {
		i := place(t, list, prompt)
		list[i].Own++
		list[i].Held = 12600
		used[i] = true
		if list[i].Own > list[i].Slots {
			t.Fatalf("target %d gets its request number %d while others are idle", i, list[i].Own)
		}
	}
	if len(used) < 4 || len(used) > 9 {
		t.Errorf("40 requests went to %d targets", len(used))
	}
}

func TestFailingAndSlowTargetsAreAvoided(t *testing.T) {
	for name, spoil := range map[string]func(o *route.Option){
		"failing": func(o *route.Option) { o.Failing = true },
		"slow":    func(o *route.Option) { o.Pace = 5 },
		"full":    func(o *route.Option) { o.Running, o.Waiting, o.Age = 12, 4, 0 },
	} {
		list := engines(6)
		home := place(t, list, prompt)
		spoil(&list[home])
		if got := place(t, list, prompt); got == home {
			t.Errorf("%s: the home is chosen all the same", name)
		}
	}
}

// TestPacesAgainstTheUsual has targets that differ a little, one that is four
// times slower, and one that nobody has tried.
func TestPacesAgainstTheUsual(t *testing.T) {
	list := engines(5)
	route.SetPaces(list, []float64{0.020, 0.024, 0.080, 0, 0.018})
	var got []float64
	for _, o := range list {
		got = append(got, o.Pace)
	}
	if diff := cmp.Diff([]float64{1, 1, 4, 1, 1}, got); diff != "" {
		t.Errorf("paces (-want +got):\n%s", diff)
	}
}

// TestOldReportsCountForLess has a target that reported many requests a while
// ago.
func TestOldReportsCountForLess(t *testing.T) {
	list := engines(2)
	list[0].SameZone, list[1].SameZone = true, true
	calls := route.Work{Service: 30 * time.Millisecond}
	list[0].Running, list[0].Age, list[1].Own = 12, 0, 3
	if diff := cmp.Diff(1, place(t, list, calls)); diff != "" {
		t.Errorf("place by a fresh report (-want +got):\n%s", diff)
	}
	list[0].Age = time.Minute
	if diff := cmp.Diff(0, place(t, list, calls)); diff != "" {
		t.Errorf("place by an old report (-want +got):\n%s", diff)
	}
}

// BenchmarkPlace chooses among the targets of one model at the size aimed for.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{18, 600} {
		list := engines(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				route.Place(list, prompt, route.DefaultPrices, nil)
			}
		})
	}
}

// TestBusyEnginesAreNotMadeToReadAgain has a burst of prompts that share their
// first part. Its home is full and a few wait there; the other engine is nearly
// full. Reading the part again there would hold up all who generate.
func TestBusyEnginesAreNotMadeToReadAgain(t *testing.T) {
	home := route.Option{ID: "home", SameZone: true, Running: 14, Slots: 12, Held: 12_600, Pace: 1}
	w := route.Work{Prompt: 13_600, Home: "part", Service: 300 * time.Millisecond}
	for _, c := range []struct {
		running int
		want    int
	}{{9, 0}, {1, 1}} {
		other := route.Option{ID: "other", SameZone: true, Running: c.running, Slots: 12, Pace: 1}
		if diff := cmp.Diff(c.want, route.Place([]route.Option{home, other}, w, route.DefaultPrices, nil)); diff != "" {
			t.Errorf("beside an engine that runs %d (-want +got):\n%s", c.running, diff)
		}
	}
}

// TestHostsDoNotRushToTheIdleTarget has many hosts hear at the same time that
// one engine is idle; none sees the others' requests before the next exchange.
func TestHostsDoNotRushToTheIdleTarget(t *testing.T) {
	list := engines(12)
	for i := range list {
		list[i].Held, list[i].Running, list[i].Age = prompt.Prompt, 6, 100*time.Millisecond
	}
	list[3].Running = 0
	draw := rand.New(rand.NewPCG(1, 1)).IntN
	sent := map[int]int{}
	for range 60 {
		sent[route.Place(list, prompt, route.DefaultPrices, draw)]++
	}
	if sent[3] < 6 || sent[3] > 24 || len(sent) < 6 {
		t.Errorf("requests by target: %v", sent)
	}
}

// TestOtherZonesHelpWhenOneIsFull has callers crowd in one zone.
func TestOtherZonesHelpWhenOneIsFull(t *testing.T) {
	list := engines(12)
	for i := range list {
		list[i].Held = prompt.Prompt
		if list[i].SameZone {
			list[i].Own = 14
		}
	}
	draw := rand.New(rand.NewPCG(1, 1)).IntN
	elsewhere := 0
	for range 60 {
		if i := route.Place(list, prompt, route.DefaultPrices, draw); !list[i].SameZone {
			elsewhere++
		}
	}
	if elsewhere < 20 {
		t.Errorf("%d of 60 requests went to the other zone", elsewhere)
	}
}

// TestPromptsStayInTheirZone has holders in both zones: bytes between zones are
// dear.
func TestPromptsStayInTheirZone(t *testing.T) {
	list := engines(12)
	for i := range list {
		list[i].Held = prompt.Prompt
	}
	draw := rand.New(rand.NewPCG(1, 1)).IntN
	same := 0
	for range 60 {
		if list[route.Place(list, prompt, route.DefaultPrices, draw)].SameZone {
			same++
		}
	}
	if same < 54 {
		t.Errorf("%d of 60 requests stayed", same)
	}
}
