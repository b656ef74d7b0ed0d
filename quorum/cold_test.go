package quorum_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

var coldSeeds = flag.Uint64("coldseeds", 40, "number of seeds for the cold-start tests")

// leaseHolder returns a host whose replica holds the leader lease, or nil.
func (s *sim) leaseHolder() *simHost {
	for _, h := range s.hosts {
		if h.core != nil && h.clock() < h.core.LeaseUntil(h.clock()) {
			return h
		}
	}
	return nil
}

// TestColdStartElectsWithoutElectionTimeout restarts all replicas within 100 ms of
// each other. No leader can rely on a promise that they made before, so the group
// must elect one without waiting for MinElectionTimeout.
func TestColdStartElectsWithoutElectionTimeout(t *testing.T) {
	for seed := range *coldSeeds {
		s := newSim(seed, 5)
		s.run(2 * time.Second)
		for _, h := range s.hosts {
			h.crash(false)
			h.restartAt = s.now.Add(restartDelay + time.Duration(s.rand.IntN(100))*time.Millisecond)
		}
		s.run(restartDelay + 100*time.Millisecond)
		s.run(quorum.DefaultTiming.MinElectionTimeout * 3 / 5)
		if s.leaseHolder() == nil {
			t.Errorf("seed %d: no replica holds a leader lease", seed)
		}
		s.run(2 * time.Second)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// TestColdStartWithOtherFaults crashes all or some replicas at random times, also
// during elections, and combines this with suspended hosts, one-way partitions,
// different clock rates and, in half of the seeds, slow writes. No two replicas may
// hold a lease at the same time, and no acknowledged command may be lost.
func TestColdStartWithOtherFaults(t *testing.T) {
	for seed := range *coldSeeds {
		s := newSim(seed, 3+2*int(seed%2))
		r := rand.New(rand.NewPCG(seed, 5))
		s.hosts[0].clockRate, s.hosts[1].clockRate = 0.95, 1.05
		s.run(time.Second)
		if seed%4 >= 2 {
			s.syncTime = time.Duration(r.IntN(400)) * time.Millisecond
		}
		for range 12 {
			injectRandomFault(s, r)
			s.run(time.Duration(r.IntN(500)) * time.Millisecond)
		}
		s.syncTime = 0 // The final state is that of replicas that keep up.
		s.run(4 * time.Second)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// injectRandomFault injects one fault at random into one or all hosts.
func injectRandomFault(s *sim, r *rand.Rand) {
	delay := func() time.Duration { return time.Duration(r.IntN(300)) * time.Millisecond }
	host := s.hosts[r.IntN(len(s.hosts))]
	switch r.IntN(6) {
	case 0, 1:
		for _, h := range s.hosts {
			h.crash(false)
			h.restartAt = s.now.Add(delay())
		}
	case 2:
		host.crash(false)
		host.restartAt = s.now.Add(delay())
	case 3:
		host.suspendedUntil = s.now.Add(delay())
	case 4:
		host.inboundPartitionUntil = s.now.Add(delay())
	case 5:
		host.outboundPartitionUntil = s.now.Add(delay())
	}
}

// TestColdStartOnLateHosts guards against cold starts that never elect a leader while messages take
// longer than the time between two probes, as on processors that many processes share: each probe
// replaced the last one before that was confirmed. A leader must be elected before voters grant
// votes in the ordinary way.
func TestColdStartOnLateHosts(t *testing.T) {
	for _, latencyMs := range []time.Duration{20, 40, 60} {
		for seed := range *coldSeeds {
			s := newSim(seed, 3+2*int(seed%2))
			s.latency = latencyMs * time.Millisecond
			s.run(4 * time.Second)
			before := len(s.leaders)
			for _, h := range s.hosts {
				h.crash(false)
			}
			s.run(restartDelay + quorum.DefaultTiming.MinElectionTimeout)
			if len(s.leaders) == before {
				t.Errorf("seed %d, %v for a message: no leader was elected", seed, s.latency)
			}
			latency := s.latency
			s.latency = 0 // The final state is that of replicas that keep up.
			s.run(2 * time.Second)
			if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
				t.Errorf("seed %d, %v for a message (-want +got):\n%s", seed, latency, diff)
			}
		}
	}
}
