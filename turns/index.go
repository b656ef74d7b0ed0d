package turns

import (
	"slices"
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
// claims of each program. It is not safe for concurrent use. Its times are
// those of [Store.retained], which only advances between expiry checks.
type index struct {
	turns map[turnKey]*indexedTurn
	// children lists the indexed turns that continue a turn, which itself may
	// be indexed only on other stores.
	children map[turnKey][]turnKey
	programs map[programKey]*programClaims
	// programTurns is the number of indexed turns of each program that has any.
	programTurns map[programKey]int
	segments     map[uint64]*segment
	bytes        int64 // size of all records of segments
	claims       int   // number of claims of all programs
}

// indexedTurn is what a store has in memory of a turn.
type indexedTurn struct {
	location store.Location
	shard    Shard
	previous TurnID
	program  types.ProgramID // empty if an earlier build has written the turn
	// lastUsed is when the turn, or the last turn that is known to continue its
	// chain, was written or replayed. It is never before that of an indexed turn
	// that continues this one.
	lastUsed types.Mono
}

// programClaims holds the claims of one program.
type programClaims struct {
	claims     Claims
	held       heldClaims
	lastAccess types.Mono // by a request or a journal record
	// All journal records of the program that are still needed are in segments
	// from first to last. Both are 0 before the first record is durable.
	first, last uint64
}

// segment lists the turns of one journal segment in the order of their records.
type segment struct {
	keys []turnKey // including turns that have expired or were rewritten since
	// bytes is the size of all records, live of those of indexed turns whose
	// location is in the segment.
	bytes, live  int64
	lastRecordAt types.Mono // when its last record was written, or replayed at startup
}

func newIndex() index {
	return index{
		turns: map[turnKey]*indexedTurn{}, children: map[turnKey][]turnKey{},
		programs: map[programKey]*programClaims{}, programTurns: map[programKey]int{}, segments: map[uint64]*segment{},
	}
}

// add indexes a journal record. A turn that is already indexed keeps its first
// location.
func (x *index) add(r record, location store.Location, now types.Mono) {
	x.addBytes(location, now)
	if r.Turn != nil {
		x.addTurn(r.Turn, location, now.Add(-r.age))
	}
	if p := r.Program; p != nil {
		program := x.addClaims(programKey{p.Account, p.Program}, p.Claims, now)
		program.last = location.Segment
		if program.first == 0 {
			program.first = location.Segment
		}
	}
}

// addBytes records that a segment has a record at a location.
func (x *index) addBytes(location store.Location, now types.Mono) {
	seg := x.segment(location.Segment)
	seg.bytes += int64(location.Length)
	seg.lastRecordAt = now
	x.bytes += int64(location.Length)
}

// removeSegment removes a segment, which must have no live turns.
func (x *index) removeSegment(n uint64) {
	if seg := x.segments[n]; seg != nil {
		x.bytes -= seg.bytes
		delete(x.segments, n)
	}
}

func (x *index) segment(n uint64) *segment {
	seg := x.segments[n]
	if seg == nil {
		seg = &segment{}
		x.segments[n] = seg
	}
	return seg
}

// addTurn indexes a turn that was used at a time, unless it is indexed already,
// and marks the turns before it as used.
func (x *index) addTurn(t *Turn, location store.Location, usedAt types.Mono) {
	key := turnKey{t.Account, t.ID}
	if x.turns[key] == nil {
		x.turns[key] = &indexedTurn{location: location, shard: t.Shard, previous: t.Previous, program: t.Program, lastUsed: usedAt}
		if t.Previous != "" {
			previous := turnKey{t.Account, t.Previous}
			x.children[previous] = append(x.children[previous], key)
		}
		if t.Program != "" {
			x.programTurns[programKey{t.Account, t.Program}]++
		}
		x.place(key, location)
		for _, child := range x.children[key] {
			usedAt = max(usedAt, x.turns[child].lastUsed)
		}
	}
	x.markUsed(key, usedAt)
}

// place records that the segment of a location contains the turn.
func (x *index) place(key turnKey, location store.Location) {
	seg := x.segment(location.Segment)
	seg.keys = append(seg.keys, key)
	seg.live += int64(location.Length)
}

// markUsed records that a turn was used, and with it the indexed turns before
// it, which its chain contains.
func (x *index) markUsed(key turnKey, usedAt types.Mono) {
	x.turns[key].lastUsed = max(x.turns[key].lastUsed, usedAt)
	for {
		key = turnKey{key.account, x.turns[key].previous}
		t := x.turns[key]
		if t == nil || t.lastUsed >= usedAt {
			return
		}
		t.lastUsed = usedAt
	}
}

// moveTurn records that a turn was rewritten.
func (x *index) moveTurn(key turnKey, location store.Location) {
	t := x.turns[key]
	if t == nil { // It has expired since it was read.
		return
	}
	x.segment(t.location.Segment).live -= int64(t.location.Length)
	t.location = location
	x.place(key, location)
}

// removeTurn removes a turn.
func (x *index) removeTurn(key turnKey) {
	t := x.turns[key]
	delete(x.turns, key)
	x.segment(t.location.Segment).live -= int64(t.location.Length)
	if t.previous != "" {
		previous := turnKey{key.account, t.previous}
		x.children[previous] = slices.DeleteFunc(x.children[previous], func(k turnKey) bool { return k == key })
		if len(x.children[previous]) == 0 {
			delete(x.children, previous)
		}
	}
	if program := (programKey{key.account, t.program}); x.programTurns[program] > 1 {
		x.programTurns[program]--
	} else {
		delete(x.programTurns, program)
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
	x.claims -= len(program.claims)
	for _, c := range claims {
		program.claims.Merge(c)
		program.held = program.held.without(c.Attempt)
	}
	x.claims += len(program.claims)
	return program
}

// idleFactor multiplies the retention of the claims of a program without
// indexed turns. A turn that continues the program may be on other stores.
const idleFactor = 2

// evictIdlePrograms removes the programs that have no indexed turn and have not
// been accessed for idleFactor times the retention, or for HoldTime if they have no durable claim.
func (x *index) evictIdlePrograms(now types.Mono, retention time.Duration) {
	for key, program := range x.programs {
		idle := now.Sub(program.lastAccess)
		if x.programTurns[key] == 0 && (idle > idleFactor*retention || len(program.claims) == 0 && idle > HoldTime) {
			x.claims -= len(program.claims)
			delete(x.programs, key)
		}
	}
}
