package turns

import (
	"time"

	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// turnKey names a turn across all accounts.
type turnKey struct {
	account types.AccountID
	id      TurnID
}

// programKey names a program across all accounts.
type programKey struct {
	account types.AccountID
	program types.ProgramID
}

// index is what a store keeps in memory.
type index struct {
	turns    map[turnKey]stored
	programs map[programKey]*spending
	segments map[uint64]*segment
}

// stored is where a turn lies.
type stored struct {
	place store.Location
	shard Shard
}

// spending is what one program has claimed.
type spending struct {
	claims Claims
	last   types.Mono // when it last changed
}

// segment lists the turns of one segment of the journal.
type segment struct {
	keys []turnKey
	last types.Mono // when its last record was written, or read at the start
}

func newIndex() index {
	return index{turns: map[turnKey]stored{}, programs: map[programKey]*spending{}, segments: map[uint64]*segment{}}
}

func (x *index) add(r record, at store.Location, now types.Mono) {
	seg := x.segments[at.Segment]
	if seg == nil {
		seg = &segment{}
		x.segments[at.Segment] = seg
	}
	seg.last = now
	if t := r.Turn; t != nil {
		key := turnKey{t.Account, t.ID}
		if _, ok := x.turns[key]; !ok {
			x.turns[key] = stored{place: at, shard: t.Shard}
			seg.keys = append(seg.keys, key)
		}
	}
	if p := r.Program; p != nil {
		x.claim(programKey{p.Account, p.Program}, p.Claims, now)
	}
}

func (x *index) claim(key programKey, claims []Claim, now types.Mono) *spending {
	sp := x.programs[key]
	if sp == nil {
		sp = &spending{claims: Claims{}}
		x.programs[key] = sp
	}
	sp.last = now
	for _, c := range claims {
		sp.claims.Add(c)
	}
	return sp
}

// keepFactor is how much longer than asked for turns and claims are kept, since
// clocks of hosts differ and a program may come back as long as its last turn
// is there.
const keepFactor = 2

// live forgets the programs that have long been silent and returns the others.
func (x *index) live(now types.Mono, keep time.Duration) []Program {
	var live []Program
	for key, sp := range x.programs {
		if now.Sub(sp.last) > keepFactor*keep {
			delete(x.programs, key)
			continue
		}
		live = append(live, Program{Account: key.account, Program: key.program, Claims: sp.claims.list()})
	}
	return live
}

// forget drops the segments whose turns need not be kept and returns the
// oldest one that stays. Ages count from when this process read or wrote a
// segment, so that a clock that jumps forgets nothing.
func (x *index) forget(now types.Mono, keep time.Duration) uint64 {
	oldest := ^uint64(0)
	for n, seg := range x.segments {
		if now.Sub(seg.last) <= keepFactor*keep {
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
