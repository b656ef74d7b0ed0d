package route_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// callLoad simulates short calls of many hosts to the targets of a plain service.
type callLoad struct {
	hosts, targets, slots int
	perSecond             float64
	serviceTime           time.Duration
	idleTimeout           time.Duration // after which a host's connection to a target is closed
	exchange              time.Duration
	duration              time.Duration

	costs route.PlacementCosts
	// place selects an option; r is the host's random source.
	place func(options []route.Option, w route.Work, costs route.PlacementCosts, r *rand.Rand) int
}

type callResult struct {
	calls, connections int
	wait               time.Duration // mean time in the targets' queues
	skew               float64       // calls of the busiest target over the mean
}

// callView is what a host knows of a target.
type callView struct {
	inFlight, others int
	idle             []time.Duration // when connections became idle
}

// callTarget runs calls on its slots in order.
type callTarget struct {
	slotFree []time.Duration
	calls    int
}

// callEnd is the end of a call.
type callEnd struct {
	at           time.Duration
	host, target int
}

func (l callLoad) run(seed uint64) callResult {
	r := rand.New(rand.NewPCG(seed, 1))
	views := make([][]callView, l.hosts)
	for h := range views {
		views[h] = make([]callView, l.targets)
	}
	targets := make([]callTarget, l.targets)
	for i := range targets {
		targets[i].slotFree = make([]time.Duration, l.slots)
	}
	var ends []callEnd // ordered by time
	var result callResult
	var waited, exchanged time.Duration
	for now := time.Duration(0); now < l.duration; now += time.Duration(-math.Log(1-r.Float64()) / l.perSecond * float64(time.Second)) {
		for len(ends) > 0 && ends[0].at <= now {
			e := ends[0]
			ends = ends[1:]
			v := &views[e.host][e.target]
			v.inFlight--
			v.idle = append(v.idle, e.at)
		}
		if now-exchanged >= l.exchange {
			exchanged = now
			l.exchangeLoads(views)
		}
		h := r.IntN(l.hosts)
		t := l.place(l.options(views[h], now), route.Work{ServiceTime: l.serviceTime}, l.costs, r)
		v := &views[h][t]
		if n := len(v.idle); n > 0 && now-v.idle[n-1] < l.idleTimeout {
			v.idle = v.idle[:n-1]
		} else {
			v.idle = nil
			result.connections++
		}
		v.inFlight++
		start := targets[t].start(now, l.serviceTime)
		result.calls++
		waited += start - now
		end := callEnd{start + l.serviceTime, h, t}
		at, _ := slices.BinarySearchFunc(ends, end, func(a, b callEnd) int { return cmp.Compare(a.at, b.at) })
		ends = slices.Insert(ends, at, end)
	}
	for _, t := range targets {
		result.skew = max(result.skew, float64(t.calls)*float64(l.targets)/float64(result.calls))
	}
	result.wait = waited / time.Duration(result.calls)
	return result
}

// start occupies a slot and returns when the call starts.
func (t *callTarget) start(now, d time.Duration) time.Duration {
	t.calls++
	first := 0
	for i, free := range t.slotFree {
		if free < t.slotFree[first] {
			first = i
		}
	}
	start := max(now, t.slotFree[first])
	t.slotFree[first] = start + d
	return start
}

func (l callLoad) exchangeLoads(views [][]callView) {
	for t := range l.targets {
		total := 0
		for h := range views {
			total += views[h][t].inFlight
		}
		for h := range views {
			views[h][t].others = total - views[h][t].inFlight
		}
	}
}

func (l callLoad) options(views []callView, now time.Duration) []route.Option {
	options := make([]route.Option, len(views))
	for t, v := range views {
		options[t] = route.Option{ID: types.TargetID(fmt.Sprintf("t%02d", t)), SameZone: true, InFlight: v.inFlight, Running: v.others, Slots: l.slots, Pace: 1}
		if n := len(v.idle); n > 0 && now-v.idle[n-1] < l.idleTimeout {
			options[t].Connected = true
		}
	}
	return options
}

// TestCallsReuseConnections guards against hosts that each spread their few calls over all
// targets of a service, so that a connection has been closed before it is needed again,
// and that all select the same of several targets that look idle: 61 hosts send 650 calls
// a second to 56 targets. At most half as many connections as before may be opened, and
// calls may not wait longer for it. A few hosts use all targets all the time; there, no
// more connections may be opened than before.
func TestCallsReuseConnections(t *testing.T) {
	before := route.DefaultPlacementCosts
	before.ConnectCost = 0
	for name, c := range map[string]struct {
		callLoad
		maxShare float64 // of the connections opened before
	}{
		"61 hosts, 56 targets": {callLoad{hosts: 61, targets: 56, perSecond: 650, serviceTime: 110 * time.Millisecond}, 0.5},
		"6 hosts, 19 targets":  {callLoad{hosts: 6, targets: 19, perSecond: 240, serviceTime: 110 * time.Millisecond}, 1},
		"171 hosts, 8 targets": {callLoad{hosts: 171, targets: 8, perSecond: 500, serviceTime: 20 * time.Millisecond}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := c.callLoad
			l.slots, l.idleTimeout, l.exchange, l.duration = 6, 4*time.Second, 300*time.Millisecond, 20*time.Second
			former, now := l, l
			former.costs, former.place = before, func(o []route.Option, w route.Work, c route.PlacementCosts, _ *rand.Rand) int {
				return route.Place(o, w, c, nil)
			}
			now.costs, now.place = route.DefaultPlacementCosts, func(o []route.Option, w route.Work, c route.PlacementCosts, r *rand.Rand) int {
				return route.Place(o, w, c, r.IntN)
			}
			f, n := former.run(1), now.run(1)
			t.Logf("before %+v, now %+v", f, n)
			if allowed := c.maxShare * float64(f.connections); float64(n.connections) > allowed {
				t.Errorf("%d connections were opened, at most %.0f may be", n.connections, allowed)
			}
			if n.wait > f.wait {
				t.Errorf("calls wait for %v, before it was %v", n.wait, f.wait)
			}
		})
	}
}
