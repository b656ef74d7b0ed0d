package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// prefixTTL is how long after its last known use a host assumes that a shared
// prefix is still in an engine's cache.
const prefixTTL = 15 * time.Second

// host is a simulated entry host and its view of the engines.
type host struct {
	*simulation
	zone  int
	rand  *rand.Rand
	views []engineView // by engine
}

// engineView is one host's view of one engine. It combines the host's own
// requests, the last exchange with other hosts, and the engine's last load
// report.
type engineView struct {
	inFlight                       int // requests of this host on the engine
	othersInFlight                 int // requests of all other hosts at exchangedAt
	exchangedAt                    time.Duration
	reportedLoad, inFlightAtReport int // load that the engine reported at reportedAt, and inFlight then
	reportedAt                     time.Duration
	prefixUsedAt                   map[int]time.Duration // last known use of each shared prefix
	programTokens                  map[int]types.Tokens  // cached tokens by program, without the shared prefix
	speed                          speedView
}

func newHost(i int, s *simulation) *host {
	h := &host{simulation: s, zone: i % s.Zones, rand: rand.New(rand.NewPCG(s.Seed, uint64(i+2)))}
	for range s.engines {
		h.views = append(h.views, engineView{prefixUsedAt: map[int]time.Duration{}, programTokens: map[int]types.Tokens{}, exchangedAt: -time.Hour, reportedAt: -time.Hour})
	}
	return h
}

// exchange updates the host's views with the requests and prefix uses of all
// other hosts, and schedules the next exchange.
func (h *host) exchange() {
	for i := range h.views {
		v := &h.views[i]
		v.othersInFlight, v.exchangedAt = h.inFlight[i]-v.inFlight, h.now
		for prefix, used := range h.prefixUsedAt[i] {
			v.prefixUsedAt[prefix] = used
		}
		h.exchangeSpeed(i)
	}
	if h.now < h.ArrivalPeriod {
		h.schedule(h.now+h.ExchangeInterval, h.exchange)
	}
}

// dispatch selects an engine for a turn and counts the turn as in flight there.
func (h *host) dispatch(t *turn) *engine {
	options := make([]route.Option, len(h.engines))
	for i, e := range h.engines {
		options[i] = h.option(i, e, t)
	}
	h.addSpeeds(options)
	w := route.Work{Prompt: t.program.prefixTokens + t.suffixTokens, AffinityKey: fmt.Sprint("part", t.program.prefix), ServiceTime: 300 * time.Millisecond}
	if w.Prompt == 0 {
		w = route.Work{ServiceTime: 30 * time.Millisecond}
	}
	i := h.Policy(options, w, h.rand)
	h.views[i].inFlight++
	h.inFlight[i]++
	return h.engines[i]
}

// option converts the host's view of engine i into input for the policy, using
// whichever is newer: the engine's load report or the last exchange.
func (h *host) option(i int, e *engine, t *turn) route.Option {
	v := &h.views[i]
	o := route.Option{ID: e.id, SameZone: e.zone == h.zone, InFlight: v.inFlight, Slots: h.Engine.Slots, Pace: 1}
	o.ReportAge = time.Hour
	if h.Hints.Reports {
		o.Running, o.InFlightAtReport, o.ReportAge = v.reportedLoad, v.inFlightAtReport, h.now-v.reportedAt
	}
	if age := h.now - v.exchangedAt; age < o.ReportAge {
		o.Running, o.InFlightAtReport, o.ReportAge = v.othersInFlight, 0, age
	}
	if used, ok := v.prefixUsedAt[t.program.prefix]; ok && h.now-used < prefixTTL {
		o.Cached = t.program.prefixTokens + v.programTokens[t.program.id]
	}
	return o
}

// turnEnded updates the host's view of e with the end of a turn and the engine's
// load report.
func (h *host) turnEnded(t *turn, e *engine) {
	for i := range h.engines {
		if h.engines[i] != e {
			continue
		}
		v := &h.views[i]
		v.inFlight--
		h.inFlight[i]--
		h.prefixUsedAt[i][t.program.prefix] = h.now
		v.prefixUsedAt[t.program.prefix] = h.now
		v.programTokens[t.program.id] = t.suffixTokens + t.answerTokens
		if !h.ReportsAtHead {
			h.report(e)
		}
		h.recordStepTime(v, t)
	}
}
