package quorum_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/quorum"
)

func (s *sim) problem(format string, args ...any) {
	s.problems = append(s.problems, fmt.Sprintf("at %v: ", time.Duration(s.now))+fmt.Sprintf(format, args...))
}

func (s *sim) noteLeader(h *simHost) {
	term := h.core.Term()
	if other, ok := s.terms[term]; ok && other != h.id {
		s.problem("%s and %s both lead in term %d", other, h.id, term)
	}
	s.terms[term] = h.id
}

func (s *sim) noteCommitted(h *simHost, e quorum.Entry) {
	old, ok := s.committed[e.Index]
	if ok && (old.Term != e.Term || string(old.Data) != string(e.Data)) {
		s.problem("%s applied another entry %d", h.id, e.Index)
	}
	if before, ok := s.committed[e.Index-1]; ok && before.Time > e.Time {
		s.problem("log time runs backwards at entry %d", e.Index)
	}
	if float64(e.Time) > float64(s.now)*maxClockRate {
		s.problem("log time %v of entry %d runs ahead of real time", time.Duration(e.Time), e.Index)
	}
	s.committed[e.Index] = e
}

// maxClockRate is the rate of the fastest clock in a run.
const maxClockRate = 1.1

func (s *sim) noteAck(command string) {
	if s.lastAck != 0 {
		s.maxGap = max(s.maxGap, s.now.Sub(s.lastAck))
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
		s.problem("%s hold a lease at once", strings.Join(holders, " and "))
	}
}

// finish checks what must hold once all faults are over.
func (s *sim) finish() []string {
	stored := map[string]bool{}
	for _, e := range s.committed {
		stored[string(e.Data)] = true
	}
	for command := range s.acked {
		if !stored[command] {
			s.problem("%s was acknowledged and is lost", command)
		}
	}
	for _, h := range s.hosts {
		if h.core == nil || !h.core.Members().IsVoter(h.id) {
			s.problem("%s is no voter at the end", h.id)
		}
		if h.core != nil && h.applied+8 < s.highest() {
			s.problem("%s has applied %d of %d entries", h.id, h.applied, s.highest())
		}
	}
	if s.now.Sub(s.lastAck) > time.Second {
		s.problem("nothing was acknowledged since %v", time.Duration(s.lastAck))
	}
	return s.problems
}

func (s *sim) highest() quorum.Index {
	var top quorum.Index
	for i := range s.committed {
		top = max(top, i)
	}
	return top
}
