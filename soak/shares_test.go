package soak_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// minGroup is the number of requests from which on a group of requests within a window is
// judged by itself. All groups are judged over the whole calm time, however small.
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
	begin, calm := outcomes[0].sentAt, map[int]bool{}
	total, windows := map[string]*count{}, map[string]*count{}
	add := func(counts map[string]*count, key string, o outcome) {
		if counts[key] == nil {
			counts[key] = &count{}
		}
		counts[key].add(o)
	}
	for _, o := range outcomes {
		n := int(o.sentAt.Sub(begin) / window)
		at := begin.Add(time.Duration(n) * window)
		if _, ok := calm[n]; !ok {
			calm[n] = d.isCalm(at) && (restartedAt.IsZero() || at.Before(restartedAt))
		}
		if !calm[n] {
			continue
		}
		for _, group := range d.groupsOf(o) {
			add(total, group, o)
			add(windows, fmt.Sprintf("%s at %.1f", group, at.Sub(d.started).Seconds()), o)
		}
	}
	var shares []string
	for _, group := range slices.Sorted(maps.Keys(total)) {
		c := total[group]
		shares = append(shares, fmt.Sprintf("%s: %d of %d", group, c.served, c.offered))
		if c.share() < minCalmShare {
			d.t.Errorf("%s: %.2f of %d requests were served in calm, want at least %.2f: %v", group, c.share(), c.offered, minCalmShare, c.failures)
		}
	}
	for _, group := range slices.Sorted(maps.Keys(windows)) {
		if c := windows[group]; c.offered >= minGroup && c.share() < minCalmShare {
			d.t.Errorf("%s: %.2f of %d requests were served in calm, want at least %.2f: %v", group, c.share(), c.offered, minCalmShare, c.failures)
		}
	}
	d.t.Logf("served in calm, %s", strings.Join(shares, ", "))
}
