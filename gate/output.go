package gate

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// freeOutputBytes is the size of a turn's output up to which it is kept whether or not the
	// host has room. Sound turns have some 4 KB, first ones 17 KB.
	freeOutputBytes = 64 << 10
	// outputCopies is how often a longer output counts: it is kept in a buffer that doubles,
	// and encoded for each store.
	outputCopies = 4
)

// errOutputTooLarge is returned for a turn whose output the host has no room for.
var errOutputTooLarge = errors.New("gate: no room for the output of the turn")

// holdOutput takes room for n more bytes of a turn's output. It waits up to maxStall for it.
func (s *streamForwarder) holdOutput(n int) error {
	c := s.call
	if !c.route.Stateful {
		return nil
	}
	size, account, backlog := int64(n), c.accountID(), c.gate.Backlog
	if int64(s.output.Len())+size <= freeOutputBytes {
		backlog.TakeAlways(account, size)
		s.outputHeld += size
		return nil
	}
	size *= outputCopies
	for start := time.Now(); !backlog.Take(account, s.outputHeld, size); {
		if time.Since(start) > maxStall {
			return errOutputTooLarge
		}
		select {
		case <-time.After(stallPollInterval):
		case <-c.r.Context().Done():
			return errCallerLost
		}
	}
	s.outputHeld += size
	return nil
}

// releaseOutput returns what holdOutput has taken.
func (s *streamForwarder) releaseOutput() {
	s.call.gate.Backlog.Release(s.call.accountID(), s.outputHeld)
	s.outputHeld = 0
}
