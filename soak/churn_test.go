package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// churnInterval is the mean time between two events of targets, divided by one for each
	// churnGroup targets.
	churnInterval = 800 * time.Millisecond
	churnGroup    = 20
	// churnShare is the share of a service's targets that have an event at the same time; at
	// least one may.
	churnShare = 0.125
	// reuseTime is the time after the end of a target from which on another one may get its
	// address.
	reuseTime = 2 * time.Second
	// maxListed is how long a target that has crashed stays in the list.
	maxListed = 5 * time.Second
	// churnSlowdown is how much longer requests take at a slow target.
	churnSlowdown = 3
	// One in idleClosers targets closes connections that are idle for targetIdleTimeout.
	idleClosers       = 3
	targetIdleTimeout = 25 * time.Millisecond
	targetPort        = 8080
)

// churn changes the targets of a deployment while callers are served.
type churn struct {
	d       *deployment
	targets *targets
	rand    *rand.Rand
	planned map[string]int // number of targets by service
	added   int            // number of targets that were added

	mu     sync.Mutex
	live   map[*targetServer]string // the targets that have not left, with their zones
	busy   map[*targetServer]bool   // those with an event
	events map[string]int           // by kind
	drains []targetDrain
	g      sync.WaitGroup
}

// targetDrain is a target that the list has shown as draining since a time.
type targetDrain struct {
	target string
	since  time.Time
}

// newChurn takes over the targets of a deployment and adds those of the services that only
// the changed routes use.
func newChurn(d *deployment, seed uint64) *churn {
	c := &churn{
		d: d, targets: d.targets, rand: rand.New(&fakes.LockedSource{Source: rand.NewPCG(seed, 8)}), planned: map[string]int{},
		live: map[*targetServer]string{}, busy: map[*targetServer]bool{}, events: map[string]int{},
	}
	for i, s := range slices.Clone(c.targets.servers) {
		if s.service == "" {
			continue
		}
		c.planned[s.service]++
		c.live[s] = fmt.Sprint("zone-", i%3)
		if i%idleClosers == 0 {
			s.closeIdle(context.Background(), targetIdleTimeout)
		}
	}
	for _, service := range changedServices {
		c.planned[service] = targetsPerChangedService
		for range targetsPerChangedService {
			c.add(context.Background(), service, "")
		}
	}
	return c
}

// add starts a target of a service and lists it, at a new address if address is empty.
func (c *churn) add(ctx context.Context, service, address string) {
	c.mu.Lock()
	c.added++
	n := c.added
	c.mu.Unlock()
	if address == "" {
		address = fmt.Sprintf("%s.3.%d:%d", c.d.fleet.netPrefix, 1+n%250, targetPort+n/250)
	}
	l := listenAgain(ctx, address)
	if l == nil {
		return
	}
	id, zone := fmt.Sprint("added-", n), fmt.Sprint("zone-", n%c.d.fleet.size.zones)
	c.targets.mu.Lock()
	s := c.targets.serveTarget(l, id, service)
	c.targets.mu.Unlock()
	if n%idleClosers == 0 {
		s.closeIdle(ctx, targetIdleTimeout)
	}
	c.mu.Lock()
	c.live[s] = zone
	c.mu.Unlock()
	c.enlist(s, zone)
}

// enlist lists a target that has just started.
func (c *churn) enlist(s *targetServer, zone string) {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.list = append(slices.DeleteFunc(c.targets.list, func(e map[string]any) bool { return e["id"] == s.id }), map[string]any{
		"id": s.id, "service": s.service, "address": s.address, "zone": zone, "version": "v1", "slots": 50, "state": "ready", "cold_left_ms": 0,
		"born": time.Now().UnixMilli(),
	})
}

// delist takes the entry of a target out of the list.
func (c *churn) delist(id string) {
	c.targets.mu.Lock()
	defer c.targets.mu.Unlock()
	c.targets.list = slices.DeleteFunc(c.targets.list, func(e map[string]any) bool { return e["id"] == id })
}

// random returns a random time between two others.
func (c *churn) random(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rand.Int64N(int64(to-from)))
}

// run starts one event after another until ctx ends, and waits for their ends.
func (c *churn) run(ctx context.Context) {
	defer c.g.Wait()
	for types.Sleep(ctx, c.random(0, 2*churnInterval)/time.Duration(1+c.count("")/churnGroup)) {
		s := c.pick()
		if s == nil {
			continue
		}
		event := churnEvents[c.rand.IntN(len(churnEvents))]
		if n := c.planned[s.service]; c.count(s.service) > n+max(1, n/4) {
			event = churnEvent{"left for good", (*churn).leave}
		}
		c.mu.Lock()
		c.busy[s] = true
		c.events[event.name]++
		c.mu.Unlock()
		c.g.Go(func() {
			event.do(c, ctx, s)
			c.mu.Lock()
			delete(c.busy, s)
			c.mu.Unlock()
		})
	}
}

// count returns the number of targets of a service that have not left, or of all.
func (c *churn) count(service string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.live {
		if service == "" || s.service == service {
			n++
		}
	}
	return n
}

// pick returns a random target that may have an event now, or nil.
func (c *churn) pick() *targetServer {
	c.mu.Lock()
	list := slices.SortedFunc(maps.Keys(c.live), func(a, b *targetServer) int { return cmp.Compare(a.id, b.id) })
	c.mu.Unlock()
	s := list[c.rand.IntN(len(list))]
	n := c.count(s.service)
	c.mu.Lock()
	defer c.mu.Unlock()
	busy := 0
	for other := range c.busy {
		if other.service == s.service {
			busy++
		}
	}
	if c.busy[s] || busy >= max(1, int(churnShare*float64(n))) || n < 2 {
		return nil
	}
	return s
}

// churnEvent is a change of one target. do returns once the target may have another one.
type churnEvent struct {
	name string
	do   func(c *churn, ctx context.Context, s *targetServer)
}

var churnEvents = []churnEvent{
	{"crashed, returned", (*churn).crashAndReturn},
	{"crashed, replaced at its address", func(c *churn, ctx context.Context, s *targetServer) {
		s.end()
		c.replace(ctx, s, c.random(0, maxListed))
	}},
	{"slow", func(c *churn, ctx context.Context, s *targetServer) {
		s.slowdown.Store(churnSlowdown)
		types.Sleep(ctx, c.random(time.Second, 4*time.Second))
		s.slowdown.Store(1)
	}},
	{"left, replaced at its address", func(c *churn, ctx context.Context, s *targetServer) {
		c.leave(ctx, s)
		c.replace(ctx, s, 0)
	}},
	{"one added", func(c *churn, ctx context.Context, s *targetServer) {
		c.add(ctx, s.service, "")
	}},
}

// crashAndReturn ends a target, which stays in the list for a time, and starts it again with
// its ID.
func (c *churn) crashAndReturn(ctx context.Context, s *targetServer) {
	s.end()
	if c.rand.IntN(2) == 0 {
		types.Sleep(ctx, c.random(0, maxListed))
	}
	if c.rand.IntN(2) == 0 {
		c.delist(s.id)
		types.Sleep(ctx, c.random(0, 2*time.Second))
	}
	s.restart(ctx)
	c.mu.Lock()
	zone := c.live[s]
	c.mu.Unlock()
	c.enlist(s, zone)
}

// leave shows a target as draining, and ends it after drainTime and a little longer.
func (c *churn) leave(ctx context.Context, s *targetServer) {
	c.targets.mu.Lock()
	for _, e := range c.targets.list {
		if e["id"] == s.id {
			e["state"] = "draining"
		}
	}
	c.targets.mu.Unlock()
	s.leaving.Store(true)
	c.mu.Lock()
	c.drains = append(c.drains, targetDrain{target: s.id, since: time.Now()})
	c.mu.Unlock()
	if !types.Sleep(ctx, drainTime+c.random(100*time.Millisecond, 2*time.Second)) {
		return
	}
	s.end()
	c.delist(s.id)
	c.mu.Lock()
	delete(c.live, s)
	c.mu.Unlock()
}

// replace starts another target at the address of one that has ended, after reuseTime. The
// target that has ended stays in the list for a time. If the other one is of another service,
// a target of the former service is added at another address.
func (c *churn) replace(ctx context.Context, s *targetServer, listed time.Duration) {
	begin := time.Now()
	services := slices.Sorted(maps.Keys(c.planned))
	service := services[c.rand.IntN(len(services))]
	c.g.Go(func() {
		types.Sleep(ctx, listed)
		c.delist(s.id)
	})
	c.mu.Lock()
	delete(c.live, s)
	c.mu.Unlock()
	if service != s.service {
		c.add(ctx, s.service, "")
	}
	if types.Sleep(ctx, time.Until(begin.Add(reuseTime))) {
		c.add(ctx, service, s.address)
	}
}

// checkDrained checks that no target got a request that a caller sent to a host in touch later
// than drainTime after the list had shown that the target drains.
func (c *churn) checkDrained() {
	attempts := map[string]attempt{}
	for _, a := range slices.Concat(c.d.callers.attempts, c.d.probes.attempts) {
		attempts[a.id] = a
	}
	since := map[string]time.Time{}
	for _, d := range c.drains {
		since[d.target] = d.since
	}
	reached, late := 0, 0
	for id, runs := range c.targets.runs {
		for _, r := range runs {
			from, ok := since[r.server.id]
			if !ok || r.startedAt.Before(from) {
				continue
			}
			reached++
			if a, ok := attempts[id]; ok && a.sentAt.After(from.Add(drainTime)) && c.d.isInTouch(a) {
				late++
				c.d.t.Errorf("target %s got %s %s, sent at %v, from %s %v after the list had shown that it drains", r.server.id, r.path, id, a.sentAt.Sub(c.d.started), a.entry, a.sentAt.Sub(from))
			}
		}
	}
	c.d.t.Logf("targets: %v; %d drained and got %d requests, %d too late; %d requests for other targets were refused", c.events, len(c.drains), reached, late, c.targets.misdirected.Load())
}

// checkServices checks that no request of a program ran on another service than that of its
// route, in particular at an address that has passed from one target to another.
func (d *deployment) checkServices() {
	for _, a := range d.callers.attempts {
		service := "plain"
		if a.path == "/turn/" {
			service = "models"
		}
		for _, r := range d.targets.runsOf(a.id) {
			if r.server.service != service {
				d.t.Errorf("%s %s, sent for target %s, ran on %s of the service %s", a.path, a.id, r.target, r.server.id, r.server.service)
			}
		}
	}
}

// withoutBrokenOff runs a check without the requests that a target has broken off by ending
// while it ran them.
func (d *deployment) withoutBrokenOff(check func()) {
	brokeOff := func(a attempt) bool { return d.targets.brokeOff(a.id) }
	attempts, probes, outcomes := d.callers.attempts, d.probes.attempts, d.load.outcomes
	d.callers.attempts = slices.DeleteFunc(slices.Clone(attempts), brokeOff)
	d.probes.attempts = slices.DeleteFunc(slices.Clone(probes), brokeOff)
	d.load.outcomes = slices.DeleteFunc(slices.Clone(outcomes), func(o outcome) bool { return !o.served() && d.targets.brokeOff(o.last.id) })
	d.t.Logf("%d of %d attempts were broken off by targets", len(attempts)-len(d.callers.attempts), len(attempts))
	check()
	d.callers.attempts, d.probes.attempts, d.load.outcomes = attempts, probes, outcomes
}
