package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// delivery is an allotment on its way to a host.
type delivery struct {
	at, demandedAt types.Mono
	allotment      limit.Allotment
}

// coldTarget is a target to which 200 hosts send all that they may.
type coldTarget struct {
	*limitedAccount
	ids       []limit.Holder
	nextAt    []types.Mono
	replies   [][]delivery // on their way, by host
	reported  map[int]bool
	cutOff    func(host int) bool
	random    *rand.Rand
	arrivedAt []types.Mono // unsorted
}

func newColdTarget(l limit.Limit, seed uint64) *coldTarget {
	c := &coldTarget{limitedAccount: newLimitedTarget(0, fleetHosts), reported: map[int]bool{}, cutOff: func(int) bool { return false }, random: rand.New(rand.NewPCG(seed, 7))}
	c.limit = l
	c.replaceIssuer()
	for i := range fleetHosts {
		id := limit.Holder(fmt.Sprintf("host-%d/0", i))
		c.ids, c.nextAt = append(c.ids, id), append(c.nextAt, types.Mono(c.random.Int64N(int64(renewal))))
		c.holders[id] = &limit.Share{}
	}
	c.replies = make([][]delivery, fleetHosts)
	return c
}

func (c *coldTarget) upTo(d time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(d)))
}

// run lets all hosts send for a time. Replies of the issuer take up to 150 ms, and requests
// up to 200 ms from their admission to their arrival.
func (c *coldTarget) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(10 * time.Millisecond) {
		for i, id := range c.ids {
			if c.now >= c.nextAt[i] && !c.cutOff(i) {
				c.nextAt[i] = c.now.Add(renewal)
				a := c.issuer.Renew(c.holders[id].Demand(id, 1, c.now), c.now)
				c.replies[i] = append(c.replies[i], delivery{c.now.Add(c.upTo(150 * time.Millisecond)), c.now, a})
				c.reported[i] = true
				if len(c.reported) == fleetHosts {
					c.issuer.MarkAllReported(c.now)
				}
			}
			for len(c.replies[i]) > 0 && c.replies[i][0].at <= c.now {
				c.holders[id].Apply(c.replies[i][0].allotment, c.replies[i][0].demandedAt, c.now)
				c.replies[i] = c.replies[i][1:]
			}
			for c.take(id) {
				c.arrivedAt = append(c.arrivedAt, c.now.Add(c.upTo(200*time.Millisecond)))
			}
		}
	}
}

func (c *coldTarget) changeLeader() {
	c.replaceIssuer()
	clear(c.reported)
}

// most returns the largest number of requests that arrived within one second.
func (c *coldTarget) most() int {
	c.admittedAt = c.arrivedAt
	slices.Sort(c.admittedAt)
	return c.mostIn(time.Second)
}

// TestColdBoundHoldsOverFleet guards against a cold target that gets more requests in some
// second than its bound, from 200 hosts that send as much as they can: when it turns cold,
// while the leader changes, some of the hosts or all of them lose contact to it, and when
// all come back. Limits of the same target without regard to what is on its way would
// exceed the bound.
func TestColdBoundHoldsOverFleet(t *testing.T) {
	bound := limit.ColdBound{Over: 1.5, Slack: 5}
	for seed := range uint64(3) {
		play := func(l limit.Limit) (most, total int) {
			c := newColdTarget(l, seed)
			c.run(2 * time.Second)
			for range 3 {
				c.cutOff = func(host int) bool { return host%3 == 0 }
				c.run(c.upTo(2 * time.Second))
				c.changeLeader()
				c.run(c.upTo(4 * time.Second))
				c.cutOff = func(int) bool { return true }
				c.run(c.upTo(4 * time.Second))
				c.cutOff = func(int) bool { return false }
				c.run(time.Second)
				c.changeLeader()
				c.run(2 * time.Second)
			}
			return c.most(), len(c.arrivedAt)
		}
		if most, total := play(bound.Limit(20)); most > 35 || total < 150 {
			t.Errorf("seed %d: %d requests arrived within one second, 35 are allowed, of %d", seed, most, total)
		}
		if most, _ := play(limit.Limit{Rate: 30, Burst: 30}); most <= 35 {
			t.Errorf("seed %d: a limit of 30 per second with a burst of 30 keeps the bound, too, so that this test shows nothing", seed)
		}
	}
}

// TestColdLimit guards against limits whose burst, rate and what is on its way sum up to
// more than the bound, and against settings that admit nothing.
func TestColdLimit(t *testing.T) {
	for _, c := range []struct {
		bound limit.ColdBound
		rate  types.PerSecond
		want  limit.Limit
	}{
		{limit.ColdBound{Over: 1.5, Slack: 5}, 20, limit.Limit{Rate: 20, Burst: 6}},
		{limit.ColdBound{}, 15, limit.Limit{Rate: 13 / 1.4, Burst: 1}},
		{limit.ColdBound{}, 1, limit.Limit{Rate: 0.25, Burst: 1}},
	} {
		if diff := cmp.Diff(c.want, c.bound.Limit(c.rate)); diff != "" {
			t.Errorf("limit of %+v with %v per second (-want +got):\n%s", c.bound, c.rate, diff)
		}
	}
	named, cold := limit.TargetLimit(8), limit.Limit{Rate: 20, Burst: 6}
	if diff := cmp.Diff(limit.Limit{Rate: 8, Burst: 6}, named.Lowest(cold)); diff != "" {
		t.Errorf("lowest limit (-want +got):\n%s", diff)
	}
}
