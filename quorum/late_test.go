package quorum_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

// TestElectionOnLateHosts guards against groups that elect no leader for as long as messages
// take more than a fraction of the election timeout, as on hosts that are scheduled late: a
// candidate gave up before the votes arrived, and so did the next one.
func TestElectionOnLateHosts(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 5)
		s.latency = 200 * time.Millisecond
		s.run(10 * time.Second)
		if len(s.leaders) == 0 {
			t.Errorf("seed %d: no leader was elected within 10 s", seed)
		}
	}
}

// TestLeaderThatWasHeldUpGoesOn guards against leaders that resign after their process was
// held up for about as long as the election timeout, though no other leader was elected.
func TestLeaderThatWasHeldUpGoesOn(t *testing.T) {
	kept := 0
	const seeds = 40
	for seed := range uint64(seeds) {
		s := newSim(seed, 5)
		s.run(2 * time.Second)
		leader := s.leaseHolder()
		terms := len(s.leaders)
		leader.suspendedUntil = s.now.Add(quorum.DefaultTiming.MinElectionTimeout + 2*tickInterval)
		s.run(3 * time.Second)
		if len(s.leaders) == terms && s.leaseHolder() == leader {
			kept++
		}
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
	// The others draw their election timeouts from MinElectionTimeout to twice that, counted
	// from the last heartbeat, so that some of them start an election before.
	if kept < seeds/2 {
		t.Errorf("%d of %d leaders went on, want half of them", kept, seeds)
	}
}
