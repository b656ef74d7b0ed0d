package gate

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/drain"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

var drainsAnnouncedTotal = metrics.NewCounter("banyanspur_gate_drains_announced_total")

// maxViewStaleness is the staleness of the view from which on it no longer says which
// targets are ready.
const maxViewStaleness = 3 * time.Second

// maxLoggedValue is the length in bytes to which the value of a header field is logged.
const maxLoggedValue = 32

// drainTracker holds the targets that have announced that they drain. The zero value is
// ready to use. It is safe for concurrent use.
type drainTracker struct {
	mu    sync.Mutex
	table drain.Table
}

// has reports whether a target has announced that it drains.
func (d *drainTracker) has(id types.TargetID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Has(id)
}

// update compares the announcements with a current list of the leader.
func (d *drainTracker) update(list []fleet.Target, now types.Mono) map[types.TargetID]drain.Reason {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range list {
		if t.Announced {
			d.table.Learn(t.ID, now)
		}
	}
	if d.table.Empty() {
		return nil
	}
	return d.table.Update(fleet.DrainStates(list), now)
}

// report returns the announcements to report to the leader, which has sent the list: those
// that it does not show.
func (d *drainTracker) report(list []fleet.Target, now types.Mono) map[types.TargetID]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table.Empty() {
		return nil
	}
	ages := d.table.Heard(now)
	for _, t := range list {
		if t.Draining {
			delete(ages, t.ID)
		}
	}
	return ages
}

// open returns the targets that may get new requests: those that do not drain. If there
// are none, it returns those whose first announcement is less than [drain.GraceTime] ago.
// It reuses the array of targets.
func (d *drainTracker) open(targets []fleet.Target, now types.Mono) []fleet.Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	ready := targets[:0]
	var inGrace []fleet.Target
	for _, t := range targets {
		switch {
		case !t.Draining && !d.table.Has(t.ID):
			ready = append(ready, t)
		case (!t.Draining || t.Announced) && d.table.InGrace(t.ID, now):
			inGrace = append(inGrace, t)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return inGrace
}

// recordAnnouncement records that a target drains if its response says so. A response that
// another process may have sent counts for nothing: one from an address that is in use
// again, or a success without the target's signature.
func (c *call) recordAnnouncement(t fleet.Target, resp *fetch.Response, sentAt types.Mono) {
	value := strings.TrimSpace(resp.Header.Get(c.gate.HeaderNames.Draining))
	if value == "" || resp.Status == http.StatusMisdirectedRequest || !c.isGenuine(resp) {
		return
	}
	fields := event.Fields{"target": t.ID, "request": c.id}
	if value != "1" {
		fields["error"] = "unknown value " + strconv.Quote(value[:min(len(value), maxLoggedValue)])
		c.gate.Log.Write(event.TargetDraining, fields)
		return
	}
	d := &c.gate.draining
	d.mu.Lock()
	first := d.table.Announce(t.ID, sentAt, c.gate.Clock())
	d.mu.Unlock()
	if first {
		drainsAnnouncedTotal.Inc()
		c.gate.Log.Write(event.TargetDraining, fields)
	}
}

// updateDraining ends the announcements that the leader's list contradicts, unless this
// host's copy of the list is stale.
func (g *Gate) updateDraining() {
	if g.Fleet.Staleness() > maxViewStaleness {
		return
	}
	fleet.LogDrainsEnded(g.Log, g.draining.update(g.Fleet.View().Targets, g.Clock()))
}
