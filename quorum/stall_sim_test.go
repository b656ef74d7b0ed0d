package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

// TestStalledDisksWithOtherFaults guards against two leases, lost commands and log entries that
// differ, when disks stall at random, at up to all replicas at a time, while replicas crash, are
// suspended or cut off.
func TestStalledDisksWithOtherFaults(t *testing.T) {
	for seed := range *coldSeeds {
		s := newSim(seed, 3+2*int(seed%2))
		r := rand.New(rand.NewPCG(seed, 11))
		s.hosts[0].clockRate, s.hosts[1].clockRate = 0.95, 1.05
		s.run(time.Second)
		for range 12 {
			for range 1 + r.IntN(3) {
				s.hosts[r.IntN(len(s.hosts))].stalledUntil = s.now.Add(time.Duration(r.IntN(2000)) * time.Millisecond)
			}
			if r.IntN(2) == 0 {
				injectRandomFault(s, r)
			}
			s.run(time.Duration(r.IntN(700)) * time.Millisecond)
		}
		s.run(6 * time.Second)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// TestStalledMinorityKeepsLeader guards against a change of leader while the disks of the leader
// and of another of five replicas stall for 2 s, whenever the stall begins.
func TestStalledMinorityKeepsLeader(t *testing.T) {
	for seed := range *coldSeeds {
		s := newSim(seed, 5)
		s.run(2*time.Second + time.Duration(s.rand.IntN(200))*time.Millisecond)
		leader := s.leaseHolder()
		if leader == nil {
			t.Fatalf("seed %d: no replica holds a leader lease", seed)
		}
		term := leader.core.Term()
		leader.stalledUntil = s.now.Add(faultDuration)
		s.hosts[(int(leader.name[1]-'0')+1)%5].stalledUntil = leader.stalledUntil
		s.maxAckGap = 0
		s.run(faultDuration + time.Second)
		if leader.core.Role() != quorum.Leader || leader.core.Term() != term {
			t.Errorf("seed %d: the leader of term %d was lost", seed, term)
		}
		if s.maxAckGap > quorum.DefaultTiming.MinElectionTimeout {
			t.Errorf("seed %d: no command was acknowledged for %v", seed, s.maxAckGap)
		}
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}
