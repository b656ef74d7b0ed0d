package soak_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// window is the time over which requests are counted.
	window = 2 * time.Second
	// minCalmShare is the share of requests that must be served in calm.
	minCalmShare = 0.9
	// unreadTime is the time after which a request that was sent counts as read.
	unreadTime = 200 * time.Millisecond
)

// count is what became of the requests that callers offered in a window.
type count struct {
	offered, connected, served int
	failures                   map[string]int // by status and reason
}

func (c *count) add(o outcome) {
	c.offered++
	if o.connected {
		c.connected++
	}
	if o.served() || o.last.status == http.StatusPaymentRequired { // The budget of a program is spent.
		c.served++
		return
	}
	reason := fmt.Sprintf("%d %.60s", o.last.status, strings.TrimSpace(o.last.responseBody))
	if o.last.status == 0 || o.last.status == http.StatusOK {
		// The text without the addresses, so that equal reasons count together.
		reason = fmt.Sprint(o.last.status, " ", o.last.failure[strings.LastIndex(o.last.failure, ": ")+1:])
	}
	if c.failures == nil {
		c.failures = map[string]int{}
	}
	c.failures[o.last.path+" "+reason]++
}

func (c *count) share() float64 { return float64(c.served) / float64(max(1, c.offered)) }

// counts returns the counts of all windows since the first request.
func (d *deployment) counts() (begin time.Time, list []count) {
	d.load.mu.Lock()
	defer d.load.mu.Unlock()
	outcomes := slices.SortedFunc(slices.Values(d.load.outcomes), func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	for _, o := range outcomes {
		if begin.IsZero() {
			begin = o.sentAt
		}
		n := int(o.sentAt.Sub(begin) / window)
		for len(list) <= n {
			list = append(list, count{})
		}
		list[n].add(o)
	}
	return begin, list
}

// isCalmWindow reports whether a window is calm until its requests have ended.
func (d *deployment) isCalmWindow(begin time.Time) bool {
	return d.isCalm(begin, begin.Add(window+turnTimeout))
}

// isCalm reports whether no fault but planned stops was active, and no more callers were, from
// calmTime before a time until another; after a fault of a group of hosts, from the recovery time
// before.
func (d *deployment) isCalm(from, until time.Time) bool {
	for _, p := range d.faults {
		settled := calmTime
		if p.host == "group" {
			settled = d.recoveryTime()
		}
		if (!p.planned || p.host == "callers") && p.from.Before(until) && p.to.After(from.Add(-settled)) {
			return false
		}
	}
	return true
}

// checkServed checks the share of requests that were served in calm, and after all hosts
// were started again.
func (d *deployment) checkServed(restartedAt time.Time) {
	var before, after count
	begin, list := d.counts()
	for n, c := range list {
		at := begin.Add(time.Duration(n) * window)
		calm := d.isCalmWindow(at)
		switch {
		case at.After(restartedAt.Add(d.recoveryTime())):
			after.offered, after.served = after.offered+c.offered, after.served+c.served
		case calm && at.Before(restartedAt):
			before.offered, before.served = before.offered+c.offered, before.served+c.served
			if c.share() < minCalmShare {
				d.t.Errorf("%.2f of %d requests were served in calm, want at least %.2f", c.share(), c.offered, minCalmShare)
			}
		}
	}
	d.t.Logf("served in calm: %d of %d requests; later than %v after the loss of power: %d of %d", before.served, before.offered, d.recoveryTime(), after.served, after.offered)
	if before.offered == 0 || after.offered == 0 {
		d.t.Error("nothing was tested")
	}
	if after.share() < before.share()/4 {
		d.t.Errorf("%.2f of requests were served after recovery, %.2f before", after.share(), before.share())
	}
}

// isDisturbed reports whether a fault was active from calmTime before an attempt until its
// end.
func (d *deployment) isDisturbed(a attempt) bool {
	for _, p := range d.faults {
		if !p.planned && p.from.Before(a.endedAt) && p.to.After(a.sentAt.Add(-calmTime)) {
			return true
		}
	}
	return false
}

// report logs the faults, and what the hosts did after they were started again.
func (d *deployment) report(restartedAt time.Time) {
	for _, p := range d.faults {
		d.t.Logf("%7.3f to %7.3f %s: %s", p.from.Sub(d.started).Seconds(), p.to.Sub(d.started).Seconds(), p.host, p.what)
	}
	begin, list := d.counts()
	for n, c := range list {
		at := begin.Add(time.Duration(n) * window)
		d.t.Logf("%7.1f calm %-5t offered %4d connected %4d served %4d (%.2f) %v", at.Sub(d.started).Seconds(), d.isCalmWindow(at), c.offered, c.connected, c.served, c.share(), c.failures)
	}
	d.t.Logf("%d programs; changes by status: %v", d.load.programs.Load(), d.replies)
	d.reportEvents("first plan", 305, d.started, true)
	d.reportEvents("leader", 201, d.started, false)
	if !restartedAt.IsZero() {
		d.reportEvents("first plan after the loss of power", 305, restartedAt.Add(-time.Second), true)
	}
}

// reportEvents logs when hosts wrote an event: the first one of each host, or all.
func (d *deployment) reportEvents(what string, number int, since time.Time, firstOnly bool) {
	times := map[string][]string{} // by seconds since the start of the test
	for _, h := range d.fleet.hosts {
		lines := bufio.NewScanner(bytes.NewReader(readLog(h)))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var e struct {
				Event int       `json:"event"`
				Time  time.Time `json:"time"`
			}
			if json.Unmarshal(lines.Bytes(), &e) != nil || e.Event != number || e.Time.Before(since) {
				continue
			}
			at := fmt.Sprintf("%6.1f", e.Time.Sub(d.started).Seconds())
			times[at] = append(times[at], h.name)
			if firstOnly {
				break
			}
		}
	}
	for _, at := range slices.Sorted(maps.Keys(times)) {
		d.t.Logf("%s %s: %s", at, what, strings.Join(times[at], " "))
	}
}
