package fleet

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// KindLoads exchanges what hosts see of targets.
const KindLoads wire.Kind = "fleet.loads"

// Load is what a host sees of a target.
type Load struct {
	// Busy is how many requests are under way there.
	Busy int `json:"b,omitempty"`
	// Unit is how long the target takes for a unit of its work, in seconds: the
	// gap between two events of a stream, or a whole call. 0 stands for unknown.
	Unit float64 `json:"u,omitempty"`
}

// LoadsRequest tells what a host sees.
type LoadsRequest struct {
	Host  types.HostID            `json:"host"`
	Loads map[types.TargetID]Load `json:"loads"`
	// Held are the shared parts of prompts that targets have read for this host
	// since its last report.
	Held Holdings `json:"held,omitempty"`
	// Heard is up to where the host knows what targets hold.
	Heard Mark `json:"heard"`
}

// LoadsReply tells what all other hosts see: the sum of Busy and the mean of
// Unit.
type LoadsReply struct {
	Loads map[types.TargetID]Load `json:"loads"`
	// Held is what has become known since the mark of the request.
	Held Holdings `json:"held,omitempty"`
	Mark Mark     `json:"mark"`
}

// loadsLife is how long a host's report counts.
const loadsLife = 1500 * time.Millisecond

// loadTable sums up what hosts report. The zero value is ready; it is not safe
// for concurrent use.
type loadTable struct {
	hosts  map[types.HostID]hostLoads
	totals map[types.TargetID]loadTotal
}

type hostLoads struct {
	at    types.Mono
	loads map[types.TargetID]Load
}

// loadTotal sums up the reports on one target.
type loadTotal struct {
	busy    int
	units   float64
	reports int // how many of them have a unit
}

func (t loadTotal) plus(l Load, sign int) loadTotal {
	t.busy += sign * l.Busy
	if l.Unit > 0 {
		t.units += float64(sign) * l.Unit
		t.reports += sign
	}
	return t
}

// exchange replaces a host's report and returns what the others see.
func (t *loadTable) exchange(req LoadsRequest, now types.Mono) map[types.TargetID]Load {
	if t.hosts == nil {
		t.hosts = map[types.HostID]hostLoads{}
		t.totals = map[types.TargetID]loadTotal{}
	}
	for h, r := range t.hosts {
		if h == req.Host || now.Sub(r.at) > loadsLife {
			t.add(r.loads, -1)
			delete(t.hosts, h)
		}
	}
	others := map[types.TargetID]Load{}
	for id, total := range t.totals {
		l := Load{Busy: total.busy}
		if total.reports > 0 {
			l.Unit = total.units / float64(total.reports)
		}
		others[id] = l
	}
	t.hosts[req.Host] = hostLoads{at: now, loads: req.Loads}
	t.add(req.Loads, 1)
	return others
}

func (t *loadTable) add(loads map[types.TargetID]Load, sign int) {
	for id, l := range loads {
		total := t.totals[id].plus(l, sign)
		if total.busy == 0 && total.reports == 0 {
			delete(t.totals, id)
			continue
		}
		t.totals[id] = total
	}
}

// loads takes a host's report, on the leader.
func (c *Control) loads(_ context.Context, req LoadsRequest) (LoadsReply, error) {
	var reply LoadsReply
	err := c.lead(func(now types.Mono) {
		reply.Loads = c.table.exchange(req, now)
		c.holds.note(req.Held, now)
		reply.Held, reply.Mark = c.holds.since(req.Heard)
	})
	return reply, err
}

// Loads tells what this host sees of targets and returns what the others see.
func (c *Client) Loads(ctx context.Context, req LoadsRequest) (LoadsReply, error) {
	return follow[LoadsRequest, LoadsReply](ctx, c, KindLoads, req)
}
