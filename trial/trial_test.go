package trial_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/trial"
)

func run(shape, chooser string, seed uint64) trial.Result {
	t := trial.Shapes[shape]
	t.Choose, t.Seed = trial.Choosers[chooser], seed
	return t.Run()
}

func TestSameSeedSamePlay(t *testing.T) {
	if diff := cmp.Diff(run("wide", "expected", 3), run("wide", "expected", 3)); diff != "" {
		t.Errorf("second play of a seed (-first +second):\n%s", diff)
	}
}

// TestManyHostsInABurst plays a burst on engines that are nearly full, with many
// hosts that hear of each other three times a second. Looking at some of the
// targets must do better than looking at all, and both better than what does not
// know what targets hold.
func TestManyHostsInABurst(t *testing.T) {
	some, all := run("grown", "expected", 1), run("grown", "expectedOfAll", 1)
	if some.InAim < all.InAim+0.1 {
		t.Errorf("in aim: %.3f looking at some, %.3f looking at all", some.InAim, all.InAim)
	}
	for _, name := range []string{"leastLoaded", "sticky", "random"} {
		if base := run("grown", name, 1); some.InAim < base.InAim {
			t.Errorf("in aim: %.3f, with %s %.3f", some.InAim, name, base.InAim)
		}
	}
}

// TestFewHostsInABurst plays the same on the deployments of today.
func TestFewHostsInABurst(t *testing.T) {
	for _, shape := range []string{"small", "wide"} {
		ours := run(shape, "expected", 1)
		for _, name := range []string{"leastLoaded", "sticky", "random"} {
			if base := run(shape, name, 1); ours.InAim < base.InAim || ours.Reread > base.Reread && name != "sticky" {
				t.Errorf("%s: in aim %.3f with %d tokens read again, with %s %.3f and %d", shape, ours.InAim, ours.Reread, name, base.InAim, base.Reread)
			}
		}
	}
}
