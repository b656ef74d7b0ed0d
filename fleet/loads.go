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

// loadReportTTL is how long a host's report counts.
const loadReportTTL = 1500 * time.Millisecond

// loadTable sums up what hosts report. The zero value is ready; it is not safe
// for concurrent use.
type loadTable struct {
	reports map[types.HostID]hostReport
	totals  map[types.TargetID]loadTotal
}

type hostReport struct {
	at    types.Mono
	loads map[types.TargetID]Load
}

// loadTotal sums up the reports on one target.
type loadTotal struct {
	inFlight    int
	unitSeconds float64
	unitReports int // how many of them have a unit
}

func (t loadTotal) plus(l Load, sign int) loadTotal {
	t.inFlight += sign * l.Busy
	if l.Unit > 0 {
		t.unitSeconds += float64(sign) * l.Unit
		t.unitReports += sign
	}
	return t
}

// exchange replaces a host's report and returns what the others see.
func (t *loadTable) exchange(req LoadsRequest, now types.Mono) map[types.TargetID]Load {
	if t.reports == nil {
		t.reports = map[types.HostID]hostReport{}
		t.totals = map[types.TargetID]loadTotal{}
	}
	for h, r := range t.reports {
		if h == req.Host || now.Sub(r.at) > loadReportTTL {
			t.add(r.loads, -1)
			delete(t.reports, h)
		}
	}
	others := map[types.TargetID]Load{}
	for id, total := range t.totals {
		l := Load{Busy: total.inFlight}
		if total.unitReports > 0 {
			l.Unit = total.unitSeconds / float64(total.unitReports)
		}
		others[id] = l
	}
	t.reports[req.Host] = hostReport{at: now, loads: req.Loads}
	t.add(req.Loads, 1)
	return others
}

func (t *loadTable) add(loads map[types.TargetID]Load, sign int) {
	for id, l := range loads {
		total := t.totals[id].plus(l, sign)
		if total.inFlight == 0 && total.unitReports == 0 {
			delete(t.totals, id)
			continue
		}
		t.totals[id] = total
	}
}

// loads takes a host's report, on the leader.
func (c *Control) loads(_ context.Context, req LoadsRequest) (LoadsReply, error) {
	var reply LoadsReply
	err := c.asLeader(func(now types.Mono) {
		reply.Loads = c.loadReports.exchange(req, now)
		c.cachedParts.record(req.Held, now)
		reply.Held, reply.Mark = c.cachedParts.since(req.Heard)
	})
	return reply, err
}

// Loads tells what this host sees of targets and returns what the others see.
func (c *Client) Loads(ctx context.Context, req LoadsRequest) (LoadsReply, error) {
	return callWithRedirects[LoadsRequest, LoadsReply](ctx, c, KindLoads, req)
}
