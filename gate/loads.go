package gate

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// loads is what this host knows of targets. The zero value is ready; it is
// safe for concurrent use.
type loads struct {
	mu sync.Mutex
	of map[types.TargetID]*load
}

// load is what this host knows of one target.
type load struct {
	own      int // requests of this host under way
	running  int // as the target told at toldAt
	waiting  int
	ownThen  int
	slots    int
	toldAt   time.Time
	failures int // in a row
	failedAt time.Time
	held     map[types.PartHash]time.Time // parts of prompts, and when they were used or heard of last
	news     map[types.PartHash]bool      // shared parts that other hosts have not been told of
	unit     float64                      // seconds for a unit of work, as this host sees it
	unitAt   time.Time
	others   fleet.Load // what the other hosts saw at othersAt
	othersAt time.Time
}

const (
	// failurePause is how long a target is avoided after a failure; it doubles
	// with each further one in a row up to maxFailurePause.
	failurePause    = 500 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// unitWeight is what one more unit of work counts for in the average.
	unitWeight = 0.15
	// unitLife is how long a target that is slow is taken to be slow without
	// having been tried again.
	unitLife = 6 * time.Second
	// maxHeld bounds the parts of prompts that are remembered for a target.
	maxHeld = 2048
)

func (l *loads) get(id types.TargetID) *load {
	t := l.of[id]
	if t == nil {
		if l.of == nil {
			l.of = map[types.TargetID]*load{}
		}
		t = &load{held: map[types.PartHash]time.Time{}, news: map[types.PartHash]bool{}}
		l.of[id] = t
	}
	return t
}

// option returns what is known of a target for a prompt of the given parts, and
// how long it takes for a unit of its work.
func (l *loads) option(t fleet.Target, parts []part, zone types.ZoneID) (o route.Option, unit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(t.ID)
	o = route.Option{
		ID: t.ID, SameZone: t.Zone == zone, Own: k.own, Running: k.running, Waiting: k.waiting, Age: time.Since(k.toldAt),
		OwnThen: k.ownThen, Slots: k.slots, Held: k.heldOf(parts), Failing: k.failing(time.Now()), Pace: 1,
	}
	if o.Slots == 0 {
		o.Slots = t.Slots
	}
	if age := time.Since(k.othersAt); age < o.Age {
		// What all other hosts saw is newer than what the target told.
		o.Running, o.Waiting, o.OwnThen, o.Age = k.others.Busy, 0, 0, age
	}
	return o, k.unitNow()
}

// unitNow returns the target's time for a unit of work, 0 if it is not known.
// The other hosts' view counts for as much as the own one.
func (k *load) unitNow() float64 {
	sum, n := 0.0, 0.0
	if k.unit > 0 && time.Since(k.unitAt) < unitLife {
		sum, n = k.unit, 1
	}
	if k.others.Unit > 0 && time.Since(k.othersAt) < unitLife {
		sum, n = sum+k.others.Unit, n+1
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// worked notes how long a target took for a unit of its work.
func (l *loads) worked(id types.TargetID, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(id)
	if k.unit == 0 || time.Since(k.unitAt) > unitLife {
		k.unit = took.Seconds()
	}
	k.unit += unitWeight * (took.Seconds() - k.unit)
	k.unitAt = time.Now()
}

// report returns what this host sees of the targets that it works with.
func (l *loads) report() map[types.TargetID]fleet.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := map[types.TargetID]fleet.Load{}
	for id, k := range l.of {
		seen := fleet.Load{Busy: k.own}
		if time.Since(k.unitAt) < unitLife {
			seen.Unit = k.unit
		}
		if seen != (fleet.Load{}) {
			list[id] = seen
		}
	}
	return list
}

// hear notes what the other hosts see. A target that they do not name is idle
// for all that they know.
func (l *loads) hear(others map[types.TargetID]fleet.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id := range others {
		l.get(id)
	}
	for id, k := range l.of {
		unit := k.others.Unit
		k.others = others[id]
		if k.others.Unit == 0 {
			k.others.Unit = unit // It runs out with unitLife.
		}
		k.othersAt = now
	}
}

func (k *load) failing(now time.Time) bool {
	if k.failures == 0 {
		return false
	}
	pause := min(failurePause<<min(k.failures-1, 8), maxFailurePause)
	return now.Sub(k.failedAt) < pause
}

// heldOf returns the size of the leading parts that the target holds.
func (k *load) heldOf(parts []part) types.Tokens {
	var sum types.Tokens
	for _, p := range parts {
		if used, ok := k.held[p.hash]; !ok || time.Since(used) > fleet.HoldingLife {
			return sum
		}
		sum += p.tokens
	}
	return sum
}

func (l *loads) begin(id types.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.get(id).own++
}

func (l *loads) end(id types.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if k := l.of[id]; k != nil && k.own > 0 {
		k.own--
	}
}

// answered notes that a target has answered, with its report if there is one.
func (l *loads) answered(id types.TargetID, report string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(id)
	k.failures = 0
	numbers := strings.Split(report, ",")
	if len(numbers) != 3 {
		return
	}
	var n [3]int
	for i, s := range numbers {
		v, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || v < 0 {
			return
		}
		n[i] = v
	}
	k.running, k.waiting, k.slots = n[0], n[1], n[2]
	k.ownThen, k.toldAt = k.own, time.Now()
}

func (l *loads) failed(id types.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(id)
	k.failures++
	k.failedAt = time.Now()
	clear(k.held) // A target that failed may have started anew.
	clear(k.news)
}

// read notes that a target has read a prompt of the given parts. The last one
// is the request's own; other hosts are told of those before it.
func (l *loads) read(id types.TargetID, parts []part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(id)
	now := time.Now()
	for i, p := range parts {
		k.held[p.hash] = now
		if i < len(parts)-1 {
			k.news[p.hash] = true
		}
	}
	k.trim(now)
}

// trim drops parts that have not been used for too long, if there are many.
func (k *load) trim(now time.Time) {
	if len(k.held) <= maxHeld {
		return
	}
	maps.DeleteFunc(k.held, func(_ types.PartHash, used time.Time) bool { return now.Sub(used) > fleet.HoldingLife/3 })
}

// holdings returns what other hosts have not been told of.
func (l *loads) holdings() fleet.Holdings {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := fleet.Holdings{}
	for id, k := range l.of {
		for part := range k.news {
			held[id] = append(held[id], part)
		}
		clear(k.news)
	}
	return held
}

// hearHoldings notes what targets hold as other hosts tell.
func (l *loads) hearHoldings(held fleet.Holdings) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, parts := range held {
		k := l.get(id)
		for _, part := range parts {
			k.held[part] = now
		}
		k.trim(now)
	}
}

// forget drops what is known of targets that are no longer listed and have
// nothing under way.
func (l *loads) forget(listed map[types.TargetID]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.of {
		if !listed[id] && k.own == 0 {
			delete(l.of, id)
		}
	}
}

// part is one part of a prompt.
type part struct {
	id     string
	hash   types.PartHash
	tokens types.Tokens
}

// parsePrompt reads a list of ID:TOKENS. What cannot be read ends it.
func parsePrompt(list string) []part {
	var parts []part
	for _, item := range strings.Split(list, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.ParseInt(size, 10, 64)
		if !ok || err != nil || n < 0 {
			return parts
		}
		parts = append(parts, part{id: id, hash: types.PartHash(xxhash.Sum64String(id)), tokens: types.Tokens(n)})
	}
	return parts
}
