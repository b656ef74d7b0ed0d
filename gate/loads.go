package gate

import (
	"strconv"
	"strings"
	"sync"
	"time"

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
	held     map[string]time.Time // parts of prompts, and when they were used last
}

const (
	// failurePause is how long a target is avoided after a failure; it doubles
	// with each further one in a row up to maxFailurePause.
	failurePause    = 500 * time.Millisecond
	maxFailurePause = 4 * time.Second
	// maxHeld bounds the parts of prompts that are remembered for a target.
	maxHeld = 2048
)

func (l *loads) get(id types.TargetID) *load {
	t := l.of[id]
	if t == nil {
		if l.of == nil {
			l.of = map[types.TargetID]*load{}
		}
		t = &load{held: map[string]time.Time{}}
		l.of[id] = t
	}
	return t
}

// option returns what is known of a target for a prompt of the given parts.
func (l *loads) option(t fleet.Target, parts []part, zone types.ZoneID) route.Option {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(t.ID)
	slots := k.slots
	if slots == 0 {
		slots = t.Slots
	}
	return route.Option{
		ID: t.ID, SameZone: t.Zone == zone, Own: k.own, Running: k.running, Waiting: k.waiting, Age: time.Since(k.toldAt),
		OwnThen: k.ownThen, Slots: slots, Held: k.heldOf(parts), Failing: k.failing(time.Now()), Pace: 1,
	}
}

func (k *load) failing(now time.Time) bool {
	if k.failures == 0 {
		return false
	}
	pause := min(failurePause<<min(k.failures-1, 8), maxFailurePause)
	return now.Sub(k.failedAt) < pause
}

// heldOf returns the size of the leading parts that the target has read.
func (k *load) heldOf(parts []part) types.Tokens {
	var sum types.Tokens
	for _, p := range parts {
		if _, ok := k.held[p.id]; !ok {
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
}

// read notes that a target has read a prompt of the given parts.
func (l *loads) read(id types.TargetID, parts []part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.get(id)
	now := time.Now()
	for _, p := range parts {
		k.held[p.id] = now
	}
	for len(k.held) > maxHeld {
		k.dropOldest()
	}
}

func (k *load) dropOldest() {
	oldest, at := "", time.Time{}
	for id, used := range k.held {
		if oldest == "" || used.Before(at) {
			oldest, at = id, used
		}
	}
	delete(k.held, oldest)
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
		parts = append(parts, part{id: id, tokens: types.Tokens(n)})
	}
	return parts
}
