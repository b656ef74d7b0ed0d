package soak_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// minGroup is the number of requests from which on a group of requests within a window is
// judged by itself. All groups are judged over the whole calm time; one request that is not
// served says nothing about a group of less than ten.
const minGroup = 30

// groupsOf returns the groups that a request belongs to: those of its availability zone, its
// client account and its kind.
func (d *deployment) groupsOf(o outcome) []string {
	list := []string{"account " + o.last.account, "kind " + o.last.path}
	for _, h := range d.fleet.hosts {
		if h.name == o.last.entry {
			list = append(list, "zone "+h.zone)
		}
	}
	return list
}

// checkShares checks the share of requests that are served in calm for each availability
// zone, client account and kind of request, so that none is served badly while the others
// make up for it.
func (d *deployment) checkShares(restartedAt time.Time) {
	d.load.mu.Lock()
	outcomes := slices.SortedFunc(slices.Values(d.load.outcomes), func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	d.load.mu.Unlock()
	if len(outcomes) == 0 {
		return // Reported by checkServed.
	}
	begin := outcomes[0].sentAt
	groups := map[string]*group{}
	for _, o := range outcomes {
		n := int(o.sentAt.Sub(begin) / window)
		at := begin.Add(time.Duration(n) * window)
		if !at.Before(restartedAt) || !d.isCalmWindow(at) {
			continue
		}
		for _, name := range d.groupsOf(o) {
			if groups[name] == nil {
				groups[name] = &group{windows: map[int]*count{}}
			}
			groups[name].add(n, o)
		}
	}
	var shares []string
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		shares = append(shares, fmt.Sprintf("%s: %d of %d", name, g.total.served, g.total.offered))
		if g.total.share() < minCalmShare && g.total.offered-g.total.served > 1 {
			d.t.Errorf("%s: %.2f of %d requests were served in calm, want at least %.2f: %v", name, g.total.share(), g.total.offered, minCalmShare, g.total.failures)
		}
		if low, worst := g.low(); low > 0 {
			at := begin.Add(time.Duration(worst) * window).Sub(d.started).Seconds()
			c := g.windows[worst]
			d.t.Errorf("%s: in %d of %d windows in calm less than %.2f were served; the worst, at %.1f: %.2f of %d: %v", name, low, len(g.windows), minCalmShare, at, c.share(), c.offered, c.failures)
		}
	}
	d.t.Logf("served in calm, %s", strings.Join(shares, ", "))
}

// group counts what became of the requests of a group, in all and by window.
type group struct {
	total   count
	windows map[int]*count
}

func (g *group) add(n int, o outcome) {
	if g.windows[n] == nil {
		g.windows[n] = &count{}
	}
	g.total.add(o)
	g.windows[n].add(o)
}

// low returns the number of windows of at least minGroup requests with a share below
// minCalmShare, and the one with the lowest share.
func (g *group) low() (n, worst int) {
	lowest := float64(minCalmShare)
	for i, c := range g.windows {
		if c.offered < minGroup || c.share() >= minCalmShare {
			continue
		}
		n++
		if c.share() < lowest {
			lowest, worst = c.share(), i
		}
	}
	return n, worst
}
