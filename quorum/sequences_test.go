package quorum_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for property-based tests unless -rapid.seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestFaultSequences injects several faults, which may overlap, into a group. At
// most one of them loses a disk, since a group of three does not survive the loss
// of two.
func TestFaultSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), 3)
		lostDisk := false
		for range rapid.IntRange(2, 5).Draw(t, "faults") {
			f := rapid.SampledFrom(faults).Draw(t, "fault")
			if f.name == "lost disk" {
				if lostDisk {
					continue
				}
				lostDisk = true
			}
			s.faultStep = s.steps + rapid.IntRange(0, 200).Draw(t, "steps until injection")
			s.fault = f.inject
			s.run(time.Duration(rapid.IntRange(50, 2500).Draw(t, "ms")) * time.Millisecond)
		}
		s.fault = nil
		s.run(recoveryTime)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
}
