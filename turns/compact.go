package turns

import (
	"cmp"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// sparseShare is the part of a segment, as a divisor, below which its live
	// turns are rewritten, so that the journal takes at most about twice the
	// space of the live turns.
	sparseShare = 2
	// maxRewriteBytes is the size of live turns from which on a compaction rewrites no more.
	maxRewriteBytes = 1 << 20
	// claimsShare is the part of the retention, as a divisor, for which a segment
	// without live turns is kept. It limits how often the claims in it are
	// rewritten.
	claimsShare = 4
)

var (
	storedTurns  = metrics.NewGauge("banyanspur_turns_stored", nil)
	journalBytes = metrics.NewGauge("banyanspur_turns_journal_bytes", nil)
	rewritten    = metrics.NewCounter("banyanspur_turns_rewritten_bytes_total")
)

// compact starts a new segment if the current one is old, rewrites the live
// turns of the sparsest other segment, up to [maxRewriteBytes] of them, and
// the claims in the segments that have no live turns. It returns these segments, which are to be
// removed with [Store.removeSegments]. It must be called from the goroutine of [Store.Run], whose
// writes wait meanwhile.
func (s *Store) compact() (unused []uint64) {
	unused, err := s.compactJournal()
	if err != nil {
		s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "compact"})
	}
	return unused
}

func (s *Store) compactJournal() (unused []uint64, err error) {
	s.mu.Lock()
	now, retention := s.retained, s.retention
	if retention > 0 {
		s.index.evictIdlePrograms(now, retention)
	}
	s.mu.Unlock()
	if s.journal.Size() > 0 && now.Sub(s.rotatedAt) >= segmentInterval {
		if err := s.rotate(); err != nil {
			return nil, err
		}
	}
	if retention == 0 {
		return nil, nil
	}
	s.mu.RLock()
	sparsest := s.index.sparsestTurns(s.journal.Segment())
	s.mu.RUnlock()
	return s.vacateSegments(now.Add(-retention/claimsShare), sparsest)
}

// rotate starts a new journal segment.
func (s *Store) rotate() error {
	if err := s.journal.Rotate(); err != nil {
		return err
	}
	s.wantSpare()
	s.mu.RLock()
	defer s.mu.RUnlock()
	s.rotatedAt = s.retained
	return nil
}

// sparsestTurns returns the live turns of the segment before current that has
// the lowest share of them, or nothing if this is no less than 1/sparseShare.
func (x *index) sparsestTurns(current uint64) []turnKey {
	var sparsest *segment
	var number uint64
	for n, seg := range x.segments {
		if n >= current || seg.live == 0 || sparseShare*seg.live >= seg.bytes {
			continue
		}
		if sparsest == nil || seg.live*sparsest.bytes < sparsest.live*seg.bytes {
			sparsest, number = seg, n
		}
	}
	if sparsest == nil {
		return nil
	}
	var keys []turnKey
	size := 0
	for _, key := range sparsest.keys {
		if t := x.turns[key]; t != nil && t.location.Segment == number && size < maxRewriteBytes {
			keys = append(keys, key)
			size += int(t.location.Length)
		}
	}
	return keys
}

// rewriteTurns returns the first of some turns as they are to be written again, up to a size but at least one, and the
// others.
func (s *Store) rewriteTurns(keys []turnKey, most int) (rewrites []rewrite, rest []turnKey, err error) {
	size := 0
	for i, key := range keys {
		if size >= most {
			return rewrites, keys[i:], nil
		}
		s.mu.RLock()
		t := s.index.turns[key]
		var location store.Location
		if t != nil {
			location = t.location
		}
		s.mu.RUnlock()
		if t == nil {
			continue
		}
		b, err := s.journal.Read(location)
		if err != nil {
			return nil, nil, err
		}
		size += len(b)
		rewritten.Add(len(b))
		rewrites = append(rewrites, rewrite{encoded: b, moved: func(to store.Location) {
			s.index.addBytes(to, s.retained)
			s.index.moveTurn(key, to)
		}})
	}
	return rewrites, nil, nil
}

// vacateSegments returns the segments that have no live turns and were last
// written before a time, after it has written the claims in them again, and the given turns. What one batch rewrites is
// bounded like copies. The requests that wait meanwhile share the batches.
func (s *Store) vacateSegments(before types.Mono, keys []turnKey) ([]uint64, error) {
	segments, err := s.journal.Segments()
	if err != nil {
		return nil, err
	}
	current := s.journal.Segment()
	s.mu.RLock()
	segments = slices.DeleteFunc(segments, func(n uint64) bool {
		seg := s.index.segments[n]
		return n >= current || seg != nil && (seg.live > 0 || seg.lastRecordAt >= before)
	})
	programs := s.index.programsIn(segments)
	storedTurns.Set(float64(len(s.index.turns)))
	journalBytes.Set(float64(s.index.bytes))
	s.mu.RUnlock()
	for len(keys) > 0 || len(programs) > 0 {
		rewrites, rest, err := s.rewriteTurns(keys, s.diskTimes.copyBytes(maxRewriteBytes, true))
		if err != nil {
			return nil, err
		}
		if keys = rest; len(keys) == 0 {
			chunk := programs[:min(len(programs), programsPerBatch)]
			programs = programs[len(chunk):]
			rewrites = append(rewrites, s.rewritePrograms(chunk)...)
		}
		if len(rewrites) == 0 {
			continue // The turns are gone.
		}
		if err := s.writeBatch(s.collectBatch(rewrites), rewrites); err != nil {
			return nil, err
		}
	}
	return segments, nil
}

// removeSegments removes segments that [Store.compact] has returned. Writes go on meanwhile.
func (s *Store) removeSegments(segments []uint64) {
	defer s.updateCapacity()
	if err := s.journal.Remove(segments...); err != nil {
		s.Log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "compact"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range segments {
		s.index.removeSegment(n)
	}
}

// programsPerBatch is the number of programs that are rewritten with one sync,
// some 500 KB with nine claims each.
const programsPerBatch = 500

// programsIn returns the programs that may have records in any of the segments,
// which are in ascending order.
func (x *index) programsIn(segments []uint64) []programKey {
	var keys []programKey
	for key, program := range x.programs {
		i, _ := slices.BinarySearch(segments, program.first)
		if program.first > 0 && i < len(segments) && segments[i] <= program.last {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b programKey) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.program, b.program))
	})
	return keys
}

// rewritePrograms returns all claims of programs as they are to be written again. No other record of
// these programs may be written before.
func (s *Store) rewritePrograms(keys []programKey) (rewrites []rewrite) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, key := range keys {
		program := s.index.programs[key]
		encoded := types.Encode(record{Program: &Program{Account: key.account, Program: key.program, Claims: program.claims.sorted()}})
		rewrites = append(rewrites, rewrite{encoded: encoded, moved: func(to store.Location) {
			program.first, program.last = to.Segment, to.Segment
			s.index.addBytes(to, s.retained)
		}})
	}
	return rewrites
}

// segmentInterval is how often a new segment is started. A segment is removed
// only as a whole.
const segmentInterval = 15 * time.Second
