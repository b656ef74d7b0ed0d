package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

// outage simulates hosts that send requests to the engines of a service of which a
// quarter accept no connections for a while.
type outage struct {
	hosts, targets, down int
	perSecond            float64 // requests of all hosts
	duration             time.Duration
	exchange             time.Duration // interval of the hosts' exchanges
	check                time.Duration // interval of a host's checks of a target
}

// result is what the requests of an outage meet.
type outageResult struct {
	refused int // connections that were refused to requests
	failed  int // requests that met maxRefusals refused connections in a row
	checks  int
}

// maxRefusals is the number of refused connections after which a request fails.
const maxRefusals = 4

// run simulates the outage with the given way to avoid unreachable targets.
func (o outage) run(seed uint64, newHost func() avoider) outageResult {
	r := rand.New(rand.NewPCG(seed, 1))
	hosts := make([]avoider, o.hosts)
	checkAt := make([]map[types.TargetID]time.Duration, o.hosts)
	for i := range hosts {
		hosts[i], checkAt[i] = newHost(), map[types.TargetID]time.Duration{}
	}
	var result outageResult
	const step = time.Millisecond
	for now := time.Duration(0); now < o.duration; now += step {
		if now%o.exchange == 0 {
			o.exchangeReports(hosts, types.Mono(now))
		}
		for i := range hosts {
			for id, at := range checkAt[i] {
				if now >= at {
					result.checks++
					checkAt[i][id] = now + o.check
				}
			}
		}
		if r.Float64() > o.perSecond*step.Seconds() {
			continue
		}
		i := r.IntN(o.hosts)
		refusals := 0
		for tried := map[int]bool{}; refusals < maxRefusals; {
			t := o.pick(r, hosts[i], tried, types.Mono(now))
			tried[t] = true
			if t >= o.down {
				break
			}
			refusals++
			if hosts[i].refused(targetID(t), types.Mono(now)) {
				checkAt[i][targetID(t)] = now + o.check
			}
		}
		result.refused += refusals
		if refusals == maxRefusals {
			result.failed++
		}
	}
	return result
}

func targetID(i int) types.TargetID { return types.TargetID(fmt.Sprint("t", i)) }

// pick draws a target that the host does not avoid.
func (o outage) pick(r *rand.Rand, h avoider, tried map[int]bool, now types.Mono) int {
	var open, all []int
	for t := range o.targets {
		if tried[t] {
			continue
		}
		all = append(all, t)
		if !h.avoids(targetID(t), now) {
			open = append(open, t)
		}
	}
	if len(open) == 0 {
		open = all
	}
	return open[r.IntN(len(open))]
}

// exchangeReports tells each host how many others report each target.
func (o outage) exchangeReports(hosts []avoider, now types.Mono) {
	total := map[types.TargetID]int{}
	for _, h := range hosts {
		for _, id := range h.reported() {
			total[id]++
		}
	}
	for _, h := range hosts {
		others := map[types.TargetID]int{}
		for id, n := range total {
			others[id] = n
		}
		for _, id := range h.reported() {
			others[id]--
		}
		h.setReports(others, now)
	}
}

// avoider is a host's way to avoid targets that accept no connections.
type avoider interface {
	avoids(id types.TargetID, now types.Mono) bool
	// refused records a refused connection and reports whether to check the target.
	refused(id types.TargetID, now types.Mono) bool
	reported() []types.TargetID
	setReports(map[types.TargetID]int, types.Mono)
}

// shared avoids targets by [route.Reachability].
type shared struct {
	route.Reachability
	found []types.TargetID
}

func (s *shared) avoids(id types.TargetID, now types.Mono) bool { return s.Unreachable(id, now) }
func (s *shared) refused(id types.TargetID, _ types.Mono) bool {
	first := s.RecordUnreachable(id)
	if first {
		s.found = append(s.found, id)
	}
	return first
}
func (s *shared) reported() []types.TargetID { return s.found }
func (s *shared) setReports(others map[types.TargetID]int, now types.Mono) {
	s.SetReports(others, now)
}

// backoff avoids a target for 0.5 s after a refused connection, twice as long after each
// further one up to 4 s, and keeps what it finds to itself.
type backoff struct {
	until map[types.TargetID]types.Mono
	count map[types.TargetID]int
}

func newBackoff() avoider {
	return &backoff{until: map[types.TargetID]types.Mono{}, count: map[types.TargetID]int{}}
}

func (b *backoff) avoids(id types.TargetID, now types.Mono) bool { return now < b.until[id] }
func (b *backoff) refused(id types.TargetID, now types.Mono) bool {
	b.until[id] = now.Add(min(500*time.Millisecond<<b.count[id], 4*time.Second))
	b.count[id]++
	return false
}
func (b *backoff) reported() []types.TargetID                    { return nil }
func (b *backoff) setReports(map[types.TargetID]int, types.Mono) {}

// TestCrashedEnginesAreLearnedOnce guards against requests that find out one by one, on
// each host anew, which engines have crashed: a quarter of 48 engines ends for 6 s behind
// 61 hosts with 220 turns a second, and behind 171 hosts with 63 engines. A host that
// keeps what it finds to itself lets hundreds of requests meet refused connections, some
// of them until they fail.
func TestCrashedEnginesAreLearnedOnce(t *testing.T) {
	for name, o := range map[string]outage{
		"61 hosts":  {hosts: 61, targets: 48, down: 12, perSecond: 220},
		"171 hosts": {hosts: 171, targets: 63, down: 15, perSecond: 320},
		"6 hosts":   {hosts: 6, targets: 18, down: 4, perSecond: 80},
	} {
		t.Run(name, func(t *testing.T) {
			o.duration, o.exchange, o.check = 6*time.Second, 300*time.Millisecond, 500*time.Millisecond
			var alone, together outageResult
			for seed := range uint64(5) {
				add := func(sum *outageResult, r outageResult) {
					sum.refused, sum.failed, sum.checks = sum.refused+r.refused, sum.failed+r.failed, sum.checks+r.checks
				}
				add(&alone, o.run(seed, newBackoff))
				add(&together, o.run(seed, func() avoider { return &shared{} }))
			}
			t.Logf("5 outages, refused connections and failed requests: %+v alone, %+v together", alone, together)
			// Until the first exchanges, a quarter of the requests meet a refused connection.
			share := float64(o.down) / float64(o.targets)
			if allowed := 5 * o.perSecond * share * 2.5 * o.exchange.Seconds(); float64(together.refused) > allowed {
				t.Errorf("%d connections were refused to requests, at most %.0f may be", together.refused, allowed)
			}
		})
	}
}

// TestOneHostAloneIsNotBelieved guards against a host that has lost its path to a target
// and keeps all others from using it, and against reports that stay after the leader is
// gone.
func TestOneHostAloneIsNotBelieved(t *testing.T) {
	var r route.Reachability
	r.SetReports(map[types.TargetID]int{"one": 1, "two": 2}, 0)
	for _, c := range []struct {
		id   types.TargetID
		at   time.Duration
		want bool
	}{{"one", 0, false}, {"two", 0, true}, {"two", 3 * time.Second, false}} {
		if got := r.Unreachable(c.id, types.Mono(c.at)); got != c.want {
			t.Errorf("%s after %v: unreachable %t, want %t", c.id, c.at, got, c.want)
		}
	}
	r.RecordUnreachable("one")
	if !r.Unreachable("one", 0) {
		t.Error("what this host has found itself does not count")
	}
	r.RecordReachable("one")
	if r.Unreachable("one", 0) {
		t.Error("a target that was reached again counts as unreachable")
	}
}
