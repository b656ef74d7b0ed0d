package turns

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// Capacity is the space that a store may take for its turns and claims. A limit of 0
// means no limit.
type Capacity struct {
	// DiskBytes limits the journal. The free space of the file system limits it
	// as well.
	DiskBytes int64
	// MemoryBytes limits the index.
	MemoryBytes int64
	// FreeBytes returns the free space of the file system of the directory dir. The
	// default is [store.FreeBytes]. Tests set it.
	FreeBytes func(dir string) (int64, error)
}

const (
	// programShare is the part of the capacity from which on no programs are started.
	// The rest is for the turns of those that have begun: at 0.5 MB a second, a
	// quarter of 430 MB lasts for 3.5 minutes (docs/CAPACITY.md).
	programShare = 0.75
	// turnShare is the part of the capacity from which on no turns are written. The
	// rest is for rewriting turns and claims, so that segments can be removed: a
	// segment that is filled, and 1 MB of turns with each check.
	turnShare = 0.95

	// freeSpaceMaxAge is the age up to which the free space is not read again before a
	// request is refused. Reading it takes some microseconds.
	freeSpaceMaxAge = 100 * time.Millisecond

	// indexedTurnBytes and indexedClaimBytes are the memory that a turn and a
	// claim take in the index, including the maps.
	indexedTurnBytes  = 400
	indexedClaimBytes = 192
)

var (
	// errNoCapacity is returned for a claim that would start a program, and for a turn
	// that the store cannot keep.
	errNoCapacity = types.NewFault(types.CodeOverloaded, "the store has no capacity for more programs").WithRetryAfter(capacityRetryAfter)

	capacityUsed     = metrics.NewGauge("banyanspur_turns_capacity_used_ratio", nil)
	programsRefused  = metrics.NewCounter("banyanspur_turns_programs_refused_total")
	turnsRefusedFull = metrics.NewCounter("banyanspur_turns_refused_total")
)

// capacityRetryAfter is the retry delay of a program that is refused for lack of
// capacity: one check for expired turns.
const capacityRetryAfter = 2 * time.Second

// updateCapacity sets the limit of the journal by the free space of the file system
// and logs when the store begins or ceases to refuse programs.
func (s *Store) updateCapacity() {
	s.mu.Lock()
	s.updateDiskLimit()
	used := s.usedShare()
	full := used >= programShare
	changed := full != s.full
	s.full = full
	turns, claims, bytes := len(s.index.turns), s.index.claims, s.index.bytes
	s.mu.Unlock()
	capacityUsed.Set(used)
	if changed {
		s.Log.Write(event.StoreCapacity, event.Fields{"full": full, "used": used, "turns": turns, "claims": claims, "journalBytes": bytes})
	}
}

// updateDiskLimit sets the limit of the journal by the free space of the file system. The
// caller must hold mu.
func (s *Store) updateDiskLimit() {
	read := s.Capacity.FreeBytes
	if read == nil {
		read = store.FreeBytes
	}
	free, err := read(s.Dir)
	s.diskLimit, s.diskLimitAt = s.Capacity.DiskBytes, s.Clock()
	if available := s.index.bytes + free; err == nil && (s.diskLimit == 0 || available < s.diskLimit) {
		s.diskLimit = available
	}
}

// usedShare returns the part of the capacity that is used, of disk or memory,
// whichever is larger. The caller must hold mu.
func (s *Store) usedShare() float64 {
	used := 0.0
	if s.diskLimit > 0 {
		used = float64(s.index.bytes) / float64(s.diskLimit)
	}
	if s.Capacity.MemoryBytes > 0 {
		memory := indexedTurnBytes*len(s.index.turns) + indexedClaimBytes*s.index.claims
		used = max(used, float64(memory)/float64(s.Capacity.MemoryBytes))
	}
	return used
}

// checkCapacity returns a fault if the store has no capacity for a claim of a program
// that it does not know, or for a turn. The caller must hold mu.
//
// It refuses nothing by the free space that a check for expired turns has read, since the
// next check is seconds away: a disk that has room again would count as full while that of
// the next store fills up, and two of three stores would refuse.
func (s *Store) checkCapacity(program programKey, turn *Turn) error {
	used := s.usedShare()
	if used >= programShare && s.Clock().Sub(s.diskLimitAt) > freeSpaceMaxAge {
		s.updateDiskLimit()
		used = s.usedShare()
	}
	switch known := s.index.programs[program] != nil; {
	case turn != nil && used >= turnShare:
		turnsRefusedFull.Inc()
		return errNoCapacity
	case turn == nil && !known && used >= programShare:
		programsRefused.Inc()
		return errNoCapacity
	}
	return nil
}
