package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// holdingLife is for how long a host takes an engine to hold a shared part that
// nobody is known to have used since.
const holdingLife = 15 * time.Second

// host is an entry host and what it knows.
type host struct {
	*play
	zone  int
	rand  *rand.Rand
	known []knowledge // by engine
}

// knowledge is what a host knows of one engine.
type knowledge struct {
	own           int // requests of this host there
	others        int // those of all others at heardAt
	heardAt       time.Duration
	told, ownThen int // what the engine told at toldAt, and own then
	toldAt        time.Duration
	held          map[int]time.Duration // shared parts, and when they were used last
	sessions      map[int]types.Tokens  // what it holds of programs
}

func newHost(i int, p *play) *host {
	h := &host{play: p, zone: i % p.Zones, rand: rand.New(rand.NewPCG(p.Seed, uint64(i+2)))}
	for range p.engines {
		h.known = append(h.known, knowledge{held: map[int]time.Duration{}, sessions: map[int]types.Tokens{}, heardAt: -time.Hour, toldAt: -time.Hour})
	}
	return h
}

// exchange learns what the other hosts see.
func (h *host) exchange() {
	for i := range h.known {
		k := &h.known[i]
		k.others, k.heardAt = h.sent[i]-k.own, h.now
		for part, used := range h.held[i] {
			k.held[part] = used
		}
	}
	if h.now < h.Span {
		h.at(h.now+h.Exchange, h.exchange)
	}
}

// send chooses an engine for a turn.
func (h *host) send(t *turn) *engine {
	options := make([]route.Option, len(h.engines))
	for i, e := range h.engines {
		options[i] = h.option(i, e, t)
	}
	w := route.Work{Prompt: t.program.shared + t.own, Home: fmt.Sprint("part", t.program.part), Service: 300 * time.Millisecond}
	i := h.Choose(options, w, h.rand)
	h.known[i].own++
	h.sent[i]++
	return h.engines[i]
}

func (h *host) option(i int, e *engine, t *turn) route.Option {
	k := &h.known[i]
	o := route.Option{ID: e.id, SameZone: e.zone == h.zone, Own: k.own, Slots: h.Engine.Slots, Pace: 1}
	o.Running, o.OwnThen, o.Age = k.told, k.ownThen, h.now-k.toldAt
	if age := h.now - k.heardAt; age < o.Age {
		o.Running, o.OwnThen, o.Age = k.others, 0, age
	}
	if used, ok := k.held[t.program.part]; ok && h.now-used < holdingLife {
		o.Held = t.program.shared + k.sessions[t.program.id]
	}
	return o
}

// got notes that a turn has ended on an engine.
func (h *host) got(t *turn, e *engine) {
	for i := range h.engines {
		if h.engines[i] != e {
			continue
		}
		k := &h.known[i]
		k.own--
		h.sent[i]--
		h.held[i][t.program.part] = h.now
		k.held[t.program.part] = h.now
		k.sessions[t.program.id] = t.own + t.answer
		k.told, k.ownThen, k.toldAt = e.load(), k.own, h.now
	}
}
