package quorum_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

var coldSeeds = flag.Uint64("coldseeds", 40, "seeds of the tests of groups that start at once")

// leaseHolder returns the host that leads and may answer, or nil.
func (s *sim) leaseHolder() *simHost {
	for _, h := range s.hosts {
		if h.core != nil && h.clock() < h.core.LeaseUntil(h.clock()) {
			return h
		}
	}
	return nil
}

// TestColdStartElectsWithoutElectionTimeout kills all replicas and starts them within
// a tenth of a second: nobody can hold a promise to a leader, so none is waited
// for.
func TestColdStartElectsWithoutElectionTimeout(t *testing.T) {
	for seed := range *coldSeeds {
		s := newSim(seed, 5)
		s.run(2 * time.Second)
		for _, h := range s.hosts {
			h.crash(false)
			h.restartAt = s.now.Add(restartDelay + time.Duration(s.rand.IntN(100))*time.Millisecond)
		}
		s.run(restartDelay + 100*time.Millisecond)
		s.run(quorum.DefaultTiming.ElectionMin * 3 / 5)
		if s.leaseHolder() == nil {
			t.Errorf("seed %d: nobody leads", seed)
		}
		s.run(2 * time.Second)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// TestColdStartWithOtherFaults kills all or some replicas at random moments,
// again while they elect, with disks lost, hosts frozen and cut off one way, and
// clocks that differ: no two replicas hold a lease at once, and nothing that was
// acknowledged is lost.
func TestColdStartWithOtherFaults(t *testing.T) {
	for seed := range *coldSeeds {
		s := newSim(seed, 3+2*int(seed%2))
		r := rand.New(rand.NewPCG(seed, 5))
		s.hosts[0].clockRate, s.hosts[1].clockRate = 0.95, 1.05
		s.run(time.Second)
		for range 12 {
			injectRandomFault(s, r)
			s.run(time.Duration(r.IntN(500)) * time.Millisecond)
		}
		s.run(4 * time.Second)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// injectRandomFault lets one fault happen.
func injectRandomFault(s *sim, r *rand.Rand) {
	soon := func() time.Duration { return time.Duration(r.IntN(300)) * time.Millisecond }
	some := s.hosts[r.IntN(len(s.hosts))]
	switch r.IntN(6) {
	case 0, 1:
		for _, h := range s.hosts {
			h.crash(false)
			h.restartAt = s.now.Add(soon())
		}
	case 2:
		some.crash(false)
		some.restartAt = s.now.Add(soon())
	case 3:
		some.frozenUntil = s.now.Add(soon())
	case 4:
		some.inboundCutUntil = s.now.Add(soon())
	case 5:
		some.outboundCutUntil = s.now.Add(soon())
	}
}
