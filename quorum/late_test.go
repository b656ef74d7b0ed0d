package quorum_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
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

// TestElectionOnSlowDisks guards against groups that elect no leader while writes take long, as on
// disks that many processes share: before the votes for a candidate were durable, it or others had
// begun the next elections. With all voters up, candidates need not wait for the election timeout,
// so that each probe of a cold start began an election; with one down they do.
func TestElectionOnSlowDisks(t *testing.T) {
	const limit = 10 * time.Second
	for _, voters := range []int{3, 5} {
		for _, down := range []int{0, 1} {
			for _, writeMs := range []time.Duration{100, 130, 300, 600, 1000} {
				for seed := range uint64(20) {
					s := newSim(seed, voters)
					s.syncTime = writeMs * time.Millisecond
					for _, h := range s.hosts[voters-down:] {
						h.crash(true)
						h.restartAt = s.now.Add(time.Minute)
					}
					for s.run(time.Second); s.lastAck == 0 && s.now < types.Mono(limit); s.run(time.Second) {
					}
					if s.lastAck == 0 {
						t.Errorf("seed %d, %d of %d voters, %v for a write: no command was acknowledged within %v, %d leaders",
							seed, voters-down, voters, s.syncTime, limit, len(s.leaders))
					}
				}
			}
		}
	}
}

// TestRestartOnSlowDisks guards against a group without a leader after all voters have restarted at
// nearly the same time, as after a loss of power, onto disks that are slow from then on.
func TestRestartOnSlowDisks(t *testing.T) {
	const limit = 10 * time.Second
	for _, writeMs := range []time.Duration{100, 130, 300, 600, 1000} {
		for seed := range uint64(20) {
			s := newSim(seed, 3+2*int(seed%2))
			s.run(2 * time.Second)
			for _, h := range s.hosts {
				h.crash(false)
				h.restartAt = s.now.Add(restartDelay + time.Duration(s.rand.IntN(300))*time.Millisecond)
			}
			s.syncTime, s.lastAck = writeMs*time.Millisecond, 0
			for end := s.now.Add(limit); s.lastAck == 0 && s.now < end; s.run(100 * time.Millisecond) {
			}
			if s.lastAck == 0 {
				t.Errorf("seed %d, %v for a write: no command was acknowledged within %v", seed, s.syncTime, limit)
			}
			s.syncTime = 0 // The final state is that of replicas that keep up.
			s.run(4 * time.Second)
			if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
				t.Errorf("seed %d, %v ms for a write (-want +got):\n%s", seed, int(writeMs), diff)
			}
		}
	}
}

// beginWrite begins to make what is queued durable.
func (h *simHost) beginWrite() {
	out := h.queued
	h.writing, h.queued = &out, quorum.Output{}
	if out.HardState != nil || len(out.Entries) > 0 {
		h.stalledUntil = max(h.stalledUntil, h.sim.now.Add(h.sim.syncTime))
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

// TestRivalCandidatesOnSlowDisks guards against candidates that begin the next election before the
// votes of the present one are durable, after all voters have started at different times onto slow
// disks: a candidate whose own vote was durable asked for pre-votes again at once, since its deadline
// was set when it did not know how long a write takes, and the one that had won lost its term. Two
// elections of three writes each may be necessary, after an election timeout.
func TestRivalCandidatesOnSlowDisks(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for _, syncTime := range []time.Duration{600 * time.Millisecond, time.Second} {
			limit, longest := 6*syncTime+2*quorum.DefaultTiming.MinElectionTimeout, time.Duration(0)
			for seed := range uint64(80) {
				s := newSim(seed, voters)
				s.run(2 * time.Second)
				var last types.Mono
				for _, h := range s.hosts {
					h.crash(false)
					h.restartAt = s.now.Add(restartDelay + time.Duration(s.rand.IntN(800))*time.Millisecond)
					last = max(last, h.restartAt)
				}
				s.syncTime, s.lastAck = syncTime, 0
				for end := last.Add(2 * limit); s.lastAck == 0 && s.now < end; s.run(tickInterval) {
				}
				longest = max(longest, s.now.Sub(last))
			}
			t.Logf("%d voters, %v for a write: a command was acknowledged after %v at most", voters, syncTime, longest)
			if longest > limit {
				t.Errorf("%d voters, %v for a write: a command was acknowledged after %v, want at most %v", voters, syncTime, longest, limit)
			}
		}
	}
}
