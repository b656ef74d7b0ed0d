package trial_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/trial"
)

func run(scenario, policy string, seed uint64) trial.Result {
	t := trial.Scenarios[scenario]
	t.Policy, t.Seed = trial.Policies[policy], seed
	return t.Run()
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	if diff := cmp.Diff(run("wide", "expected", 3), run("wide", "expected", 3)); diff != "" {
		t.Errorf("second run with the same seed (-first +second):\n%s", diff)
	}
}

// TestManyHostsInABurst runs a burst on engines near saturation, with many hosts
// that exchange their requests about three times a second. Evaluating a sample of
// the targets must meet more deadlines than evaluating all of them, and no fewer
// than each baseline that ignores the prompt caches' contents. Guards against
// herding: with stale load reports, hosts that evaluate all targets send to the
// same one.
func TestManyHostsInABurst(t *testing.T) {
	sampled, all := run("grown", "expected", 1), run("grown", "expectedOfAll", 1)
	if sampled.OnTime < all.OnTime+0.1 {
		t.Errorf("fraction of programs on time: %.3f with a sample of the targets, %.3f with all targets", sampled.OnTime, all.OnTime)
	}
	for _, policy := range []string{"leastLoaded", "sticky", "random"} {
		if base := run("grown", policy, 1); sampled.OnTime < base.OnTime {
			t.Errorf("fraction of programs on time: %.3f, with %s %.3f", sampled.OnTime, policy, base.OnTime)
		}
	}
}

// TestFewHostsInABurst runs the same burst on the users' current deployments. The
// production policy must meet at least as many deadlines as each baseline, and
// prefill no more tokens of shared prefixes than any baseline but sticky.
func TestFewHostsInABurst(t *testing.T) {
	for _, scenario := range []string{"small", "wide"} {
		ours := run(scenario, "expected", 1)
		for _, policy := range []string{"leastLoaded", "sticky", "random"} {
			if base := run(scenario, policy, 1); ours.OnTime < base.OnTime || ours.PrefilledShared > base.PrefilledShared && policy != "sticky" {
				t.Errorf("%s: %.3f of programs on time with %d tokens of shared prefixes prefilled, with %s %.3f and %d", scenario, ours.OnTime, ours.PrefilledShared, policy, base.OnTime, base.PrefilledShared)
			}
		}
	}
}

// TestUnevenTargets guards against turns and calls that go to targets which are slow at that
// moment, as when the reports of targets with a fourth figure are ignored, and against hosts
// that all flee from such a target to the same one.
func TestUnevenTargets(t *testing.T) {
	for scenario, load := range map[string]float64{"uneven": 1, "calls": 1.4} {
		onTime := map[string]float64{}
		for _, hints := range []string{"none", "own+slowness+fine"} {
			s := trial.Scenarios[scenario]
			s.Hints, s.Policy, s.Seed, s.ArrivalPeriod = trial.HintSets[hints], trial.Policies["expected"], 1, 10*time.Second
			s.Workload.ProgramRate *= load
			onTime[hints] = s.Run().OnTime
		}
		if onTime["own+slowness+fine"] < onTime["none"]+0.02 {
			t.Errorf("%s: fraction of programs on time by what hosts learn of targets: %v", scenario, onTime)
		}
	}
}
