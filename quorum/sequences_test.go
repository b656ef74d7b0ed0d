package quorum_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/banyanspur/banyanspur/quorum"
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

// TestRemovedVotersReturn guards against the loss of a command, two leaders, or hosts that
// are not voters at the end, when a group removes voters that are away and they return with
// their directories and an outdated membership. Faults of several hosts may overlap. At most
// one disk is lost, since a group that has removed two of five voters does not survive the
// loss of two disks.
func TestRemovedVotersReturn(t *testing.T) {
	removed := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "voters"))
		s.voterTimeout = 300 * time.Millisecond // Shorter than most faults.
		s.run(time.Second)
		lostDisk := false
		for range rapid.IntRange(2, 7).Draw(t, "faults") {
			f := rapid.SampledFrom(faults).Draw(t, "fault")
			if f.name == "lost disk" {
				if lostDisk {
					continue
				}
				lostDisk = true
			}
			s.faultStep = s.steps + rapid.IntRange(0, 50).Draw(t, "steps until injection")
			s.fault = f.inject
			s.run(time.Duration(rapid.IntRange(50, 3500).Draw(t, "ms")) * time.Millisecond)
		}
		s.fault = nil
		s.run(2 * recoveryTime) // Faults of faultDuration may just have begun.
		removed += s.removals()
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	})
	t.Logf("voters removed in all runs: %d", removed)
	if removed == 0 {
		t.Error("no voter was removed in any run")
	}
}

// removals returns the number of committed memberships that lack a voter of the one before.
func (s *sim) removals() int {
	removals := 0
	var previous quorum.Members
	for i := range s.lastCommitted() {
		m := s.committed[i+1].Members
		if m == nil {
			continue
		}
		for _, v := range previous.Voters {
			if !m.IsVoter(v.ID) {
				removals++
			}
		}
		previous = *m
	}
	return removals
}
