package ramp_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
)

const (
	simHosts   = 100
	simTargets = 20
	simRate    = 400 // requests per second; the fair share of a target is 20
	tick       = 10 * time.Millisecond
	fairShare  = simRate / simTargets
)

// simHost is an entry host.
type simHost struct {
	id        types.HostID
	share     [simTargets]limit.Share
	inFlight  [simTargets]int
	others    [simTargets]int        // requests of other hosts in flight at the last exchange
	fullUntil [simTargets]types.Mono // by the limit
	failures  [simTargets]int        // in succession
	failedAt  [simTargets]types.Mono
	reports   [simTargets]ramp.Report
	allowed   map[types.TargetID]ramp.Allowed
	heardAt   types.Mono
}

// ending is a request that is being served.
type ending struct{ host, target int }

// sim is a service behind 100 hosts in virtual time. Hosts exchange loads every 0.3 s at
// times of their own, and prefer the target with the fewest requests.
type sim struct {
	paced       bool // else each host decides by its own failures, as without the setting
	now         types.Mono
	random      *rand.Rand
	hosts       [simHosts]simHost
	members     []ramp.Member
	pace        ramp.Pace
	issuers     map[types.TargetID]*limit.Issuer
	leader      bool                                        // hosts reach the leader
	fails       func(target int, now time.Duration) float64 // probability that a request fails
	leaderSince types.Mono
	ends        map[types.Mono][]ending
	// unlisted is how many targets the list does not have yet: the first ones.
	unlisted int
	running  [simTargets]int
	// sent are the times of all requests by target; failed counts those that failed, and
	// unsafe those of them that must not be repeated.
	sent           [simTargets][]types.Mono
	failed, unsafe int
	probedUnsafe   int // requests that must not be repeated and were sent to an avoided target
}

func newSim(paced bool, fails func(int, time.Duration) float64) *sim {
	s := &sim{paced: paced, random: rand.New(rand.NewPCG(5, 9)), issuers: map[types.TargetID]*limit.Issuer{}, fails: fails, ends: map[types.Mono][]ending{}, leader: true}
	for i := range s.hosts {
		s.hosts[i].id = types.HostID(fmt.Sprintf("entry-%d", i))
	}
	for i := range simTargets {
		s.members = append(s.members, ramp.Member{ID: targetID(i), Service: "plain"})
	}
	return s
}

func targetID(i int) types.TargetID { return types.TargetID(fmt.Sprintf("t%d", i)) }

// run simulates until the given time.
func (s *sim) run(until time.Duration) {
	for ; s.now < types.Mono(until); s.now = s.now.Add(tick) {
		for _, e := range s.ends[s.now] {
			s.hosts[e.host].inFlight[e.target]--
			s.hosts[e.host].failures[e.target] = 0
			s.hosts[e.host].reports[e.target].Responses++
			s.running[e.target]--
		}
		delete(s.ends, s.now)
		for i := range s.hosts {
			if s.leader && (int(s.now/types.Mono(tick))+i)%30 == 0 {
				s.exchange(&s.hosts[i])
			}
		}
		for range int(simRate * tick.Seconds()) {
			s.serve(s.random.IntN(simHosts), s.random.IntN(3) > 0)
		}
	}
}

// replaceLeader begins with a new leader, which knows what hosts report only.
func (s *sim) replaceLeader() {
	s.leader, s.leaderSince, s.pace = true, s.now, ramp.Pace{}
	s.issuers = map[types.TargetID]*limit.Issuer{}
}

// allowed returns what the leader has last allowed of a target, while that counts.
func (s *sim) allowed(h *simHost, i int) (ramp.Allowed, bool) {
	a, limited := h.allowed[targetID(i)]
	return a, limited && s.paced && s.now.Sub(h.heardAt) < 4*time.Second
}

func (s *sim) exchange(h *simHost) {
	for i := range simTargets {
		h.others[i] = s.running[i] - h.inFlight[i]
		s.pace.Observe(targetID(i), h.id, h.reports[i], s.now)
		h.reports[i] = ramp.Report{}
	}
	s.pace.Step(s.members, s.now)
	if s.now.Sub(s.leaderSince) < 2*time.Second {
		for id, a := range h.allowed {
			s.pace.Adopt(id, a, s.now)
		}
	}
	h.allowed, h.heardAt = map[types.TargetID]ramp.Allowed{}, s.now
	for _, m := range s.members {
		if a, ok := s.pace.Allowed(m.ID); ok {
			h.allowed[m.ID] = a
		}
	}
}

// serve sends a request to one target after the other until one answers. One that must not
// be repeated is sent once.
func (s *sim) serve(host int, repeatable bool) {
	h := &s.hosts[host]
	tried := [simTargets]bool{}
	for range 4 {
		best, equal := s.probe(h, &tried, repeatable), 0
		for i := range simTargets {
			if best >= 0 && equal == 0 {
				break // A probe.
			}
			if tried[i] || s.avoids(h, i, repeatable) {
				continue
			}
			load := func(i int) int { return h.inFlight[i] + h.others[i] }
			switch {
			case best < 0 || load(i) < load(best):
				best, equal = i, 1
			case load(i) == load(best):
				if equal++; s.random.IntN(equal) == 0 {
					best = i
				}
			}
		}
		if best < 0 {
			return
		}
		tried[best] = true
		if s.paced && !s.take(h, best) {
			continue
		}
		if s.send(host, best, repeatable) || !repeatable {
			return
		}
	}
}

// probe returns an avoided target to which a request may be sent, or -1.
func (s *sim) probe(h *simHost, tried *[simTargets]bool, repeatable bool) int {
	for i := range simTargets {
		if a, limited := s.allowed(h, i); limited && a.Probe && repeatable && !tried[i] && s.now >= h.fullUntil[i] {
			return i
		}
	}
	return -1
}

// avoids reports whether a host passes over a target.
func (s *sim) avoids(h *simHost, i int, repeatable bool) bool {
	if i < s.unlisted {
		return true
	}
	if a, limited := s.allowed(h, i); limited {
		return s.now < h.fullUntil[i] || a.Probe
	}
	backoff := min(500*time.Millisecond<<max(0, min(h.failures[i]-1, 8)), 4*time.Second)
	return h.failures[i] > 0 && s.now.Sub(h.failedAt[i]) < backoff
}

// take asks the leader for a request to a limited target.
func (s *sim) take(h *simHost, i int) bool {
	id := targetID(i)
	if _, limited := s.allowed(h, i); !limited {
		return true
	}
	issuer := s.issuers[id]
	if issuer == nil {
		issuer = limit.NewIssuer(s.leaderSince)
		issuer.PerRequest, issuer.HostCount = true, simHosts
		issuer.MarkAllReported(s.now)
		s.issuers[id] = issuer
	}
	if s.leader {
		if a, limited := s.pace.Allowed(id); limited {
			issuer.SetLimit(a.Limit(), s.now)
		}
		holder := limit.Holder(h.id)
		h.share[i].Apply(issuer.Renew(h.share[i].Demand(holder, 1, s.now), s.now), s.now, s.now)
	}
	if h.share[i].Take(s.now) {
		return true
	}
	h.fullUntil[i] = s.now.Add(100 * time.Millisecond)
	return false
}

func (s *sim) send(host, i int, repeatable bool) bool {
	h := &s.hosts[host]
	s.sent[i] = append(s.sent[i], s.now)
	if a, limited := s.allowed(h, i); limited && a.Probe && !repeatable {
		s.probedUnsafe++
	}
	if s.random.Float64() < s.fails(i, time.Duration(s.now)) {
		s.failed++
		if !repeatable {
			s.unsafe++
		}
		h.failures[i]++
		h.failedAt[i] = s.now
		h.reports[i].Failures++
		return false
	}
	h.inFlight[i]++
	s.running[i]++
	took := 200 * time.Millisecond * time.Duration(1+s.running[i]/12)
	at := s.now.Add(took)
	s.ends[at] = append(s.ends[at], ending{host, i})
	return true
}

// between returns the number of requests to a target in a time.
func (s *sim) between(target int, from, to time.Duration) (n int) {
	for _, at := range s.sent[target] {
		if at >= types.Mono(from) && at < types.Mono(to) {
			n++
		}
	}
	return n
}

// downBetween fails all requests to target 0 in a time.
func downBetween(from, to time.Duration) func(int, time.Duration) float64 {
	return func(i int, now time.Duration) float64 {
		if i == 0 && now >= from && now < to {
			return 1
		}
		return 0
	}
}
