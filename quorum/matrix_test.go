package quorum_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

// maxFailover is the documented limit on the time without a working leader.
const maxFailover = 2 * time.Second

// faults are injected into the host that is about to handle an output.
var faults = []struct {
	name   string
	inject func(h *simHost)
}{
	{"crash before sync", func(h *simHost) { h.crashAt = crashBeforeSync }},
	{"crash after sync", func(h *simHost) { h.crashAt = crashAfterSync }},
	{"lost disk", func(h *simHost) { h.crashAt = crashWithDiskLoss }},
	{"full disk", func(h *simHost) { h.crashAt = crashBeforeSync; h.restartAt = h.sim.now.Add(faultDuration) }},
	{"stalled disk", func(h *simHost) { h.stalledUntil = h.sim.now.Add(faultDuration) }},
	{"stalled disk and crash", func(h *simHost) {
		h.stalledUntil, h.crashAt = h.sim.now.Add(faultDuration), crashBeforeSync
	}},
	{"stalled disk and crash after sync", func(h *simHost) {
		h.stalledUntil, h.crashAt = h.sim.now.Add(faultDuration), crashAfterSync
	}},
	{"stalled disk and stop", func(h *simHost) { h.stalledUntil, h.stopAfterStep = h.sim.now.Add(faultDuration), true }},
	{"freeze", func(h *simHost) { h.suspendedUntil = h.sim.now.Add(faultDuration) }},
	{"stop", func(h *simHost) { h.stopAfterStep = true }},
	{"inbound partition", func(h *simHost) { h.inboundPartitionUntil = h.sim.now.Add(faultDuration) }},
	{"outbound partition", func(h *simHost) { h.outboundPartitionUntil = h.sim.now.Add(faultDuration) }},
	{"full partition", func(h *simHost) {
		h.inboundPartitionUntil = h.sim.now.Add(faultDuration)
		h.outboundPartitionUntil = h.inboundPartitionUntil
	}},
	{"drop", func(h *simHost) { h.alterPackets = func([]packet) []packet { return nil } }},
	{"duplicate", func(h *simHost) { h.alterPackets = func(p []packet) []packet { return append(slices.Clone(p), p...) } }},
	{"delay", func(h *simHost) { h.alterPackets = delayBy(300 * time.Millisecond) }},
	{"reorder", func(h *simHost) { h.alterPackets = delayBy(3 * tickInterval) }},
}

// delayBy returns a function that delays packets by d.
func delayBy(d time.Duration) func([]packet) []packet {
	return func(p []packet) []packet {
		for i := range p {
			p[i].due = p[i].due.Add(d)
		}
		return p
	}
}

const (
	matrixSeed = 1
	// matrixFaultWindow is the simulated time in which each fault is injected at
	// every step. It covers the first election and some replication.
	matrixFaultWindow = 1500 * time.Millisecond
	// recoveryTime is the simulated time that a group has to recover from faults.
	recoveryTime = 4 * time.Second
)

// TestFaultMatrix injects each fault at every step of an election and of
// replication. It checks that there is one leader per term, that no acknowledged
// command is lost, that leases do not overlap, that log time stays monotonic and
// within real time, and that the group recovers within maxFailover.
func TestFaultMatrix(t *testing.T) {
	faultless := newSim(matrixSeed, 3)
	faultless.run(matrixFaultWindow)
	steps := faultless.steps
	var failed atomic.Int64
	t.Run("inject", func(t *testing.T) {
		for _, f := range faults {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel()
				for at := range steps {
					if diff := cmp.Diff([]string(nil), runWithFault(at, f.inject)); diff != "" {
						failed.Add(1)
						t.Errorf("step %d (-want +got):\n%s", at, diff)
					}
				}
			})
		}
	})
	runs := int64(len(faults) * steps)
	t.Logf("fault matrix: %d faults x %d steps = %d runs, %d held, %d failed, 0 not run",
		len(faults), steps, runs, runs-failed.Load(), failed.Load())
}

// runWithFault runs a group with a fault injected at the given step and returns
// all violations.
func runWithFault(at int, fault func(*simHost)) []string {
	s := newSim(matrixSeed, 3)
	s.faultStep, s.fault = at, fault
	s.run(matrixFaultWindow + recoveryTime)
	violations := s.checkFinalState()
	if s.maxAckGap > maxFailover {
		violations = append(violations, "failover took "+s.maxAckGap.String())
	}
	return violations
}

// TestClockDrift checks the guarantees when clock rates differ by a fifth and one
// replica cannot send for faultDuration.
func TestClockDrift(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.hosts[0].clockRate, s.hosts[1].clockRate = 0.9, maxClockRate
		s.run(2 * time.Second)
		s.hosts[int(seed)%3].outboundPartitionUntil = s.now.Add(faultDuration)
		s.run(recoveryTime)
		if diff := cmp.Diff([]string(nil), s.checkFinalState()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// TestSimulationIsDeterministic checks that two runs with the same seed and fault
// commit the same entries.
func TestSimulationIsDeterministic(t *testing.T) {
	run := func() map[quorum.Index]quorum.Entry {
		s := newSim(matrixSeed, 5)
		s.faultStep, s.fault = 300, func(h *simHost) { h.crashAt = crashWithDiskLoss }
		s.run(matrixFaultWindow + recoveryTime)
		return s.committed
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Errorf("(-first +second):\n%s", diff)
	}
}
