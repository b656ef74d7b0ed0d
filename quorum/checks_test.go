package quorum_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/quorum"
)

func (s *sim) reportf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
}

func (s *sim) checkLeader(h *simHost) {
	term := h.core.Term()
	if other, ok := s.leaders[term]; ok && other != h.id {
		s.reportf("%s and %s both lead in term %d", other, h.id, term)
	}
	s.leaders[term] = h.id
}

func (s *sim) checkCommitted(h *simHost, e quorum.Entry) {
	old, ok := s.committed[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.reportf("%s applied another entry %d", h.id, e.Index)
	}
	if before, ok := s.committed[e.Index-1]; ok && before.Time > e.Time {
		s.reportf("log time runs backwards at entry %d", e.Index)
	}
	if float64(e.Time) > float64(s.now)*maxClockRate {
		s.reportf("log time %v of entry %d runs ahead of real time", time.Duration(e.Time), e.Index)
	}
	s.committed[e.Index] = e
}

// maxClockRate is the rate of the fastest clock in a run.
const maxClockRate = 1.1

func (s *sim) recordAck(command string) {
	if s.lastAck != 0 {
		s.maxAckGap = max(s.maxAckGap, s.now.Sub(s.lastAck))
	}
	s.lastAck = s.now
	s.acked[command] = true
}

// checkLeases finds two replicas that may both answer from their own state.
func (s *sim) checkLeases() {
	var holders []string
	for _, h := range s.hosts {
		if h.core != nil && h.clock() < h.core.LeaseUntil(h.clock()) {
			holders = append(holders, string(h.id))
		}
	}
	if len(holders) > 1 {
		s.reportf("%s hold a lease at once", strings.Join(holders, " and "))
	}
}

// checkFinalState checks what must hold once all faults are over.
func (s *sim) checkFinalState() []string {
	stored := map[string]bool{}
	for _, e := range s.committed {
		stored[string(e.Data)] = true
	}
	for command := range s.acked {
		if !stored[command] {
			s.reportf("%s was acknowledged and is lost", command)
		}
	}
	for _, h := range s.hosts {
		if h.core == nil || !h.core.Members().IsVoter(h.id) {
			s.reportf("%s is no voter at the end", h.id)
		}
		if h.core != nil && h.applied+8 < s.lastCommitted() {
			s.reportf("%s has applied %d of %d entries", h.id, h.applied, s.lastCommitted())
		}
	}
	if s.now.Sub(s.lastAck) > time.Second {
		s.reportf("nothing was acknowledged since %v", time.Duration(s.lastAck))
	}
	return s.violations
}

func (s *sim) lastCommitted() quorum.Index {
	var top quorum.Index
	for i := range s.committed {
		top = max(top, i)
	}
	return top
}
