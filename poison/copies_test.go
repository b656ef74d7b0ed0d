package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/poison"
	"github.com/banyanspur/banyanspur/types"
)

// fleetVerdicts records crashes that several hosts report and returns the lists of poisonous
// and watched requests at the given time in milliseconds.
func fleetVerdicts(table *poison.Table, at int, crashes ...poison.Crash) [2]fingerprints {
	now := types.Mono(at) * ms
	for _, c := range crashes {
		table.Record(c, now)
	}
	poisonous, watched := table.FleetVerdicts(zones, now)
	return [2]fingerprints{poisonous, watched}
}

// copyOf returns a crash of another attempt of the same request, which another caller sent
// at the same time.
func copyOf(c poison.Crash, caller string) poison.Crash {
	c.Attempt += types.AttemptID(caller)
	return c
}

// TestCopiesAtTheSameTimeCountEach guards against a request whose copies crash all targets
// that run them and count as one crash, since they run at the same time on several hosts.
func TestCopiesAtTheSameTimeCountEach(t *testing.T) {
	a, b, c := crash("p", "a", 0, 0, 20), crash("p", "b", 0, 3, 24), crash("p", "c", 0, 1, 21)
	again := crash("p", "a", 0, 2500, 2520)
	for _, test := range []struct {
		name    string
		at      int
		crashes []poison.Crash
		want    [2]fingerprints
	}{
		{"three copies on three targets", 1300, []poison.Crash{a, b, c}, [2]fingerprints{{"p"}, nil}},
		{"two copies on each of two targets", 1300, []poison.Crash{a, copyOf(a, "x"), b, copyOf(b, "x")}, [2]fingerprints{{"p"}, nil}},
		{"before all hosts have reported completions", 1000, []poison.Crash{a, b, c}, [2]fingerprints{nil, {"p"}}},
		{"reported twice", 1300, []poison.Crash{a, a, b, b}, [2]fingerprints{nil, {"p"}}},
		{"one end of one target proves nothing", 1300, []poison.Crash{a, copyOf(a, "x"), copyOf(a, "y")}, [2]fingerprints{nil, {"p"}}},
		{"two ends of the only target", 4000, []poison.Crash{a, copyOf(a, "x"), again, copyOf(again, "x")}, [2]fingerprints{{"p"}, nil}},
	} {
		var table poison.Table
		if diff := cmp.Diff(test.want, fleetVerdicts(&table, test.at, test.crashes...)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestCommonCauseBlamesNoCopies guards against blaming a request for targets that ended
// together with a target that did not run it, and, on a single host, for ends that other
// hosts may know to have a common cause.
func TestCommonCauseBlamesNoCopies(t *testing.T) {
	popular := []poison.Crash{crash("popular", "a", 0, 0, 50), crash("popular", "b", 0, 10, 52), crash("popular", "c", 0, 20, 55), crash("popular", "a", 1, 5, 300)}
	for _, endedAt := range []int{20, 55, 150} {
		var table poison.Table
		got := fleetVerdicts(&table, 5000, append(popular, crash("other", "c", 4, 0, endedAt))...)
		if diff := cmp.Diff([2]fingerprints{nil, nil}, got); diff != "" {
			t.Errorf("another target ended at %d ms (-want +got):\n%s", endedAt, diff)
		}
	}
	var table poison.Table
	if diff := cmp.Diff([2]fingerprints{nil, nil}, verdicts(&table, 5000, popular...)); diff != "" {
		t.Errorf("verdicts of a single host (-want +got):\n%s", diff)
	}
}

// TestCrashOfPartOfServiceBlamesNoRequest guards against blaming requests that run on many
// targets when 3 of 18 targets crash at the same moment, several times. Copies on the other
// targets complete, and the hosts report it.
func TestCrashOfPartOfServiceBlamesNoRequest(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		var table poison.Table
		for round := range 4 {
			at := 5000 * round
			completed := map[string]bool{}
			for i, target := range r.Perm(18) {
				zone, number := string(rune('a'+target/6)), target%6
				for request := range 5 {
					f := fmt.Sprint("request ", request)
					switch {
					case r.IntN(5) <= request: // Some are rare, some run on nearly all targets.
					case i < 3:
						table.Record(crash(f, zone, number, at-10*i-r.IntN(300), at+r.IntN(20)), types.Mono(at+400)*ms)
					default:
						completed[f] = true
					}
				}
			}
			for f := range completed {
				table.Clear(types.Fingerprint(f))
			}
			if poisonous, _ := table.FleetVerdicts(zones, types.Mono(at+3000)*ms); len(poisonous) > 0 {
				t.Fatalf("seed %d, round %d: %v are taken to be poisonous", seed, round, poisonous)
			}
		}
	}
}

// TestEndsReachAnotherTable guards against blaming a request for a common cause after a change
// of the leader: the new one would not know of targets whose other requests have completed.
func TestEndsReachAnotherTable(t *testing.T) {
	popular := []poison.Crash{crash("popular", "a", 0, 0, 50), crash("popular", "b", 0, 10, 52), crash("popular", "c", 0, 20, 55)}
	var first, second poison.Table
	verdicts(&first, 100, append(popular, crash("other", "c", 4, 0, 60))...)
	first.Clear("other")
	if diff := cmp.Diff([2]fingerprints{nil, nil}, fleetVerdicts(&second, 5000, append(first.Crashes(), first.Ends()...)...)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if n := len(second.Ends()); n != 0 {
		t.Errorf("%d ends are reported twice", n)
	}
}
