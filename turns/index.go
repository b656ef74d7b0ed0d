package turns

import (
	"time"

	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// turnKey identifies a turn across all accounts.
type turnKey struct {
	account types.AccountID
	id      TurnID
}

// programKey identifies a program across all accounts.
type programKey struct {
	account types.AccountID
	program types.ProgramID
}

// index is the in-memory state of a store: the location of each turn and the
// claims of each program. It is not safe for concurrent use.
type index struct {
	turns    map[turnKey]indexedTurn
	programs map[programKey]*programClaims
	segments map[uint64]*segment
}

// indexedTurn is the journal location and the shard of a turn.
type indexedTurn struct {
	location store.Location
	shard    Shard
}

// programClaims holds the claims of one program.
type programClaims struct {
	claims     Claims
	lastAccess types.Mono // by a request or a journal record
}

// segment lists the turns of one journal segment in the order of their records.
type segment struct {
	keys         []turnKey
	lastRecordAt types.Mono // when its last record was written, or replayed at startup
}

func newIndex() index {
	return index{turns: map[turnKey]indexedTurn{}, programs: map[programKey]*programClaims{}, segments: map[uint64]*segment{}}
}

// add indexes a journal record. A turn that is already indexed keeps its
// first location.
func (x *index) add(r record, location store.Location, now types.Mono) {
	seg := x.segments[location.Segment]
	if seg == nil {
		seg = &segment{}
		x.segments[location.Segment] = seg
	}
	seg.lastRecordAt = now
	if t := r.Turn; t != nil {
		key := turnKey{t.Account, t.ID}
		if _, ok := x.turns[key]; !ok {
			x.turns[key] = indexedTurn{location: location, shard: t.Shard}
			seg.keys = append(seg.keys, key)
		}
	}
	if p := r.Program; p != nil {
		x.addClaims(programKey{p.Account, p.Program}, p.Claims, now)
	}
}

// hasTurn reports whether the turn is indexed, and so durable.
func (x *index) hasTurn(t Turn) bool {
	_, ok := x.turns[turnKey{t.Account, t.ID}]
	return ok
}

// addClaims merges claims into those of a program, which it creates if needed,
// and returns the result.
func (x *index) addClaims(key programKey, claims []Claim, now types.Mono) *programClaims {
	program := x.programs[key]
	if program == nil {
		program = &programClaims{claims: Claims{}}
		x.programs[key] = program
	}
	program.lastAccess = now
	for _, c := range claims {
		program.claims.Merge(c)
	}
	return program
}

// retentionFactor multiplies the configured retention of turns and claims,
// because the clocks of hosts differ and a program may continue for as long as
// its last turn is stored.
const retentionFactor = 2

// evictIdlePrograms removes the programs that have not been accessed for
// retentionFactor times the retention, and returns the others.
func (x *index) evictIdlePrograms(now types.Mono, retention time.Duration) []Program {
	var live []Program
	for key, program := range x.programs {
		if now.Sub(program.lastAccess) > retentionFactor*retention {
			delete(x.programs, key)
			continue
		}
		live = append(live, Program{Account: key.account, Program: key.program, Claims: program.claims.sorted()})
	}
	return live
}

// dropExpiredSegments removes the segments whose turns have expired from the
// index and returns the number of the oldest one that remains, or the maximum
// uint64 if none does. Ages count from when this process replayed or wrote a
// segment, so a clock that jumps expires nothing.
func (x *index) dropExpiredSegments(now types.Mono, retention time.Duration) uint64 {
	oldest := ^uint64(0)
	for n, seg := range x.segments {
		if now.Sub(seg.lastRecordAt) <= retentionFactor*retention {
			oldest = min(oldest, n)
		}
	}
	for n, seg := range x.segments {
		if n >= oldest {
			continue
		}
		for _, key := range seg.keys {
			delete(x.turns, key)
		}
		delete(x.segments, n)
	}
	return oldest
}
