package quorum_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

// failoverTarget is the stated bound on the time without a working leader.
const failoverTarget = 2 * time.Second

// faults are injected into the host that is about to carry out a step.
var faults = []struct {
	name   string
	inject func(h *simHost)
}{
	{"kill before sync", func(h *simHost) { h.dieAt = dieBeforeSync }},
	{"kill after sync", func(h *simHost) { h.dieAt = dieAfterSync }},
	{"lost disk", func(h *simHost) { h.dieAt = dieWithDisk }},
	{"full disk", func(h *simHost) { h.dieAt = dieBeforeSync; h.restart = h.s.now.Add(faultTime) }},
	{"freeze", func(h *simHost) { h.frozen = h.s.now.Add(faultTime) }},
	{"stop", func(h *simHost) { h.stops = true }},
	{"cut in", func(h *simHost) { h.cutIn = h.s.now.Add(faultTime) }},
	{"cut out", func(h *simHost) { h.cutOut = h.s.now.Add(faultTime) }},
	{"cut both", func(h *simHost) {
		h.cutIn = h.s.now.Add(faultTime)
		h.cutOut = h.cutIn
	}},
	{"drop", func(h *simHost) { h.mangle = func([]packet) []packet { return nil } }},
	{"duplicate", func(h *simHost) { h.mangle = func(p []packet) []packet { return append(slices.Clone(p), p...) } }},
	{"delay", func(h *simHost) { h.mangle = late(300 * time.Millisecond) }},
	{"reorder", func(h *simHost) { h.mangle = late(3 * quantum) }},
}

func late(d time.Duration) func([]packet) []packet {
	return func(p []packet) []packet {
		for i := range p {
			p[i].due = p[i].due.Add(d)
		}
		return p
	}
}

const (
	matrixSeed = 1
	// matrixSpan is the time whose every step gets each fault: the first election
	// and some replication.
	matrixSpan = 1500 * time.Millisecond
	// matrixRest is the time for recovery.
	matrixRest = 4 * time.Second
)

// TestFaultMatrix injects into every step of an election and of replication
// every fault, and checks that one leader at a time is elected, that nothing
// acknowledged is lost, that leases exclude each other, that log time holds,
// and that the group works again in time.
func TestFaultMatrix(t *testing.T) {
	uninjected := newSim(matrixSeed, 3)
	uninjected.run(matrixSpan)
	steps := uninjected.steps
	var failed atomic.Int64
	t.Run("inject", func(t *testing.T) {
		for _, f := range faults {
			t.Run(f.name, func(t *testing.T) {
				t.Parallel()
				for at := range steps {
					if diff := cmp.Diff([]string(nil), inject(at, f.inject)); diff != "" {
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

// inject runs a group with one fault and returns what did not hold.
func inject(at int, fault func(*simHost)) []string {
	s := newSim(matrixSeed, 3)
	s.at, s.fault = at, fault
	s.run(matrixSpan + matrixRest)
	problems := s.finish()
	if s.maxGap > failoverTarget {
		problems = append(problems, "failover took "+s.maxGap.String())
	}
	return problems
}

// TestClockRates runs replicas whose clocks differ by a fifth.
func TestClockRates(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3)
		s.hosts[0].rate, s.hosts[1].rate = 0.9, maxClockRate
		s.run(2 * time.Second)
		s.hosts[int(seed)%3].cutOut = s.now.Add(faultTime)
		s.run(matrixRest)
		if diff := cmp.Diff([]string(nil), s.finish()); diff != "" {
			t.Errorf("seed %d (-want +got):\n%s", seed, diff)
		}
	}
}

// TestRepeatable runs the same faults twice and finds the same steps.
func TestRepeatable(t *testing.T) {
	run := func() map[quorum.Index]quorum.Entry {
		s := newSim(matrixSeed, 5)
		s.at, s.fault = 300, func(h *simHost) { h.dieAt = dieWithDisk }
		s.run(matrixSpan + matrixRest)
		return s.committed
	}
	if diff := cmp.Diff(run(), run()); diff != "" {
		t.Errorf("(-first +second):\n%s", diff)
	}
}
