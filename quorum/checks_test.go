package quorum_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/quorum"
)

// reportf records a violation of the protocol's guarantees.
func (s *sim) reportf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
}

// checkLeader verifies that there is at most one leader per term.
func (s *sim) checkLeader(h *simHost) {
	term := h.core.Term()
	if other, ok := s.leaders[term]; ok && other != h.id {
		s.reportf("%s and %s are both leader in term %d", other, h.id, term)
	}
	s.leaders[term] = h.id
}

// checkCommitted verifies that all replicas apply the same entry at an index, and
// that log time neither decreases nor runs ahead of real time.
func (s *sim) checkCommitted(h *simHost, e quorum.Entry) {
	previous, ok := s.committed[e.Index]
	if ok && (previous.Term != e.Term || string(previous.Data) != string(e.Data)) {
		s.reportf("%s applied a different entry %d than another replica", h.id, e.Index)
	}
	if predecessor, ok := s.committed[e.Index-1]; ok && predecessor.Time > e.Time {
		s.reportf("log time decreases at entry %d", e.Index)
	}
	if float64(e.Time) > float64(s.now)*maxClockRate {
		s.reportf("log time %v of entry %d runs ahead of real time", time.Duration(e.Time), e.Index)
	}
	s.committed[e.Index] = e
}

// maxClockRate is the highest clock rate of any simulated host.
const maxClockRate = 1.1

// recordAck records that a command was acknowledged to its proposer.
func (s *sim) recordAck(command string) {
	if s.lastAck != 0 {
		s.maxAckGap = max(s.maxAckGap, s.now.Sub(s.lastAck))
	}
	s.lastAck = s.now
	s.acked[command] = true
}

// checkLeases verifies that at most one replica holds a leader lease and may serve
// reads from its own state.
func (s *sim) checkLeases() {
	var holders []string
	for _, h := range s.hosts {
		if h.core != nil && h.clock() < h.core.LeaseUntil(h.clock()) {
			holders = append(holders, string(h.id))
		}
	}
	if len(holders) > 1 {
		s.reportf("%s hold a lease at the same time", strings.Join(holders, " and "))
	}
}

// checkFinalState checks the guarantees that must hold after recovery from all
// faults, and returns all violations recorded during the run.
func (s *sim) checkFinalState() []string {
	committedCommands := map[string]bool{}
	for _, e := range s.committed {
		committedCommands[string(e.Data)] = true
	}
	for command := range s.acked {
		if !committedCommands[command] {
			s.reportf("%s was acknowledged but is lost", command)
		}
	}
	for _, h := range s.hosts {
		if h.core == nil || !h.core.Members().IsVoter(h.id) {
			s.reportf("%s is not a voter at the end", h.id)
		}
		if h.core != nil && h.applied+8 < s.lastCommitted() {
			s.reportf("%s has applied %d of %d entries", h.id, h.applied, s.lastCommitted())
		}
	}
	if s.now.Sub(s.lastAck) > time.Second {
		s.reportf("no command was acknowledged since %v", time.Duration(s.lastAck))
	}
	return s.violations
}

// lastCommitted returns the highest index that any replica has applied.
func (s *sim) lastCommitted() quorum.Index {
	var last quorum.Index
	for i := range s.committed {
		last = max(last, i)
	}
	return last
}
