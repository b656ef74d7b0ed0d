package fleet

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// Paces holds what targets that start or recover may get from all hosts together.
type Paces map[types.TargetID]ramp.Allowed

// KindLoads is the kind of requests that exchange load reports on targets.
const KindLoads wire.Kind = "fleet.loads"

// Load is the load of a target as observed by one or more hosts.
type Load struct {
	// InFlight is the number of requests in flight to the target.
	InFlight int `json:"b,omitempty"`
	// UnitSeconds is the time in seconds that the target takes for a unit of work:
	// the gap between two events of a stream, or a whole call. 0 means unknown.
	UnitSeconds float64 `json:"u,omitempty"`
	// Unreachable is the number of hosts that cannot connect to the target.
	Unreachable int `json:"d,omitempty"`
	// Responses, Failures and Refusals are as in [ramp.Report]. Only reports of hosts have
	// them, and only if the settings call for it.
	Responses int `json:"r,omitempty"`
	Failures  int `json:"f,omitempty"`
	Refusals  int `json:"x,omitempty"`
	// Tokens are the prompts of the requests in flight and the most that they may generate,
	// on services whose engines have a limited memory.
	Tokens types.Tokens `json:"t,omitempty"`
}

// LoadsRequest reports the loads that a host observes, and requests those that
// other hosts observe.
type LoadsRequest struct {
	Host  types.HostID            `json:"host"`
	Loads map[types.TargetID]Load `json:"loads"`
	// CachedParts lists the shared parts of prompts that targets have processed
	// for this host since its last report.
	CachedParts CachedParts `json:"held,omitempty"`
	// Since is the Cursor of the last reply that the host received.
	Since Cursor `json:"heard"`
	// Notices are the limits that targets have named to this host since its last
	// report. A new leader receives all that the host knows. NoticesSince is the
	// NoticesCursor of the last reply that the host received.
	Notices      TargetNotices `json:"notices,omitempty"`
	NoticesSince Cursor        `json:"noticesHeard"`
	// Zone is the host's availability zone. Relay is set if the host relays connections
	// to targets for others, and RelaysChecksum is that of the hosts that it may ask to.
	Zone           types.ZoneID `json:"zone,omitempty"`
	Relay          *RelayHost   `json:"relay,omitempty"`
	RelaysChecksum uint64       `json:"relaysSum,omitempty"`
	// Crashes lists the targets that have ended while they ran requests of this
	// host, since its last report. A new leader receives all of the last minutes.
	Crashes []CrashReport `json:"crashes,omitempty"`
	// Completed lists the suspects that targets have completed for this host since
	// its last report.
	Completed []types.Fingerprint `json:"completed,omitempty"`
	// SuspectsChecksum is the checksum of the suspects that the host has.
	SuspectsChecksum uint64 `json:"suspectsSum,omitempty"`
	// Draining holds the targets that have announced to this host that they drain, and
	// how long ago, unless the leader's list already shows it.
	Draining map[types.TargetID]time.Duration `json:"draining,omitempty"`
	// Cold are the targets that this host has found to have started.
	Cold ColdTargets `json:"cold,omitempty"`
	// Paces is what the leader has last allowed of targets that start or recover. A new
	// leader begins with it.
	Paces Paces `json:"paces,omitempty"`
}

// LoadsReply holds the combined observations of all other hosts.
type LoadsReply struct {
	// Loads holds, for each target, the sum of the requests in flight, of their tokens
	// and of the hosts that cannot connect to it, and the mean of the unit times.
	Loads map[types.TargetID]Load `json:"loads"`
	// CachedParts lists the cached parts that hosts have reported since the
	// position in the request.
	CachedParts CachedParts `json:"held,omitempty"`
	// Cursor is the value of Since for the next request.
	Cursor Cursor `json:"mark"`
	// Notices are the limits of targets that have changed since the position in the
	// request, and NoticesCursor is the value of NoticesSince for the next request.
	Notices       TargetNotices `json:"notices,omitempty"`
	NoticesCursor Cursor        `json:"noticesMark"`
	// Relays are the hosts that the host may ask to relay connections to targets. It is
	// nil if the host already has them.
	Relays *Relays `json:"relays,omitempty"`
	// Suspects are the requests that have ended targets. It is nil if the host
	// already has them.
	Suspects *Suspects `json:"suspects,omitempty"`
	// Cold are the targets of all services that are cold.
	Cold ColdTargets `json:"cold,omitempty"`
	// Paces holds the targets that start or recover.
	Paces Paces `json:"paces,omitempty"`
}

// loadReportTTL is how long a host's load report is valid.
const loadReportTTL = 1500 * time.Millisecond

// loadTable aggregates the load reports of hosts. The zero value is ready to
// use. It is not safe for concurrent use.
type loadTable struct {
	reports map[types.HostID]hostReport
	totals  map[types.TargetID]loadTotal // sums over reports
	// expireAt is when expired reports are removed next.
	expireAt types.Mono
	relays   relayTable
}

// expireInterval is the pause between two removals of expired load reports.
const expireInterval = 200 * time.Millisecond

// hostReport is the last load report of a host.
type hostReport struct {
	at    types.Mono
	loads map[types.TargetID]Load
}

// loadTotal is the sum of all reports on one target.
type loadTotal struct {
	inFlight    int
	unitSeconds float64
	unitReports int // number of reports with a known unit time
	unreachable int
	tokens      types.Tokens
}

// plus returns t with l added if sign is 1, or subtracted if sign is -1.
func (t loadTotal) plus(l Load, sign int) loadTotal {
	t.inFlight += sign * l.InFlight
	t.unreachable += sign * min(1, l.Unreachable)
	t.tokens += types.Tokens(sign) * l.Tokens
	if l.UnitSeconds > 0 {
		t.unitSeconds += float64(sign) * l.UnitSeconds
		t.unitReports += sign
	}
	return t
}

// exchange replaces a host's report, removes expired ones, and returns the
// combined loads that all other hosts reported.
func (t *loadTable) exchange(req LoadsRequest, now types.Mono) map[types.TargetID]Load {
	if t.reports == nil {
		t.reports = map[types.HostID]hostReport{}
		t.totals = map[types.TargetID]loadTotal{}
	}
	t.remove(req.Host)
	t.expire(now)
	others := map[types.TargetID]Load{}
	for id, total := range t.totals {
		l := Load{InFlight: total.inFlight, Unreachable: total.unreachable, Tokens: total.tokens}
		if total.unitReports > 0 {
			l.UnitSeconds = total.unitSeconds / float64(total.unitReports)
		}
		others[id] = l
	}
	t.reports[req.Host] = hostReport{at: now, loads: req.Loads}
	t.add(req.Loads, 1)
	t.relays.set(req.Host, req.Relay)
	return others
}

// remove removes a host's report.
func (t *loadTable) remove(h types.HostID) {
	if r, ok := t.reports[h]; ok {
		t.add(r.loads, -1)
		delete(t.reports, h)
	}
}

// expire removes expired reports, once every expireInterval.
func (t *loadTable) expire(now types.Mono) {
	if now < t.expireAt {
		return
	}
	t.expireAt = now.Add(expireInterval)
	for h, r := range t.reports {
		if now.Sub(r.at) > loadReportTTL {
			t.remove(h)
			t.relays.forget(h)
		}
	}
}

// add adds the loads of one report to the totals if sign is 1, or subtracts
// them if sign is -1.
func (t *loadTable) add(loads map[types.TargetID]Load, sign int) {
	for id, l := range loads {
		total := t.totals[id].plus(l, sign)
		if total.inFlight == 0 && total.unitReports == 0 && total.unreachable == 0 && total.tokens == 0 {
			delete(t.totals, id)
			continue
		}
		t.totals[id] = total
	}
}

// loads records a host's reports, and returns the combined loads that all other hosts
// reported, the cached parts reported since the position in the request, and the
// suspects if they have changed.
func (c *Control) loads(ctx context.Context, req LoadsRequest) (LoadsReply, error) {
	var reply LoadsReply
	var quarantine *Quarantine
	targetsChanged := false
	err := c.asLeader(func(now types.Mono) {
		reply.Loads = c.loadReports.exchange(req, now)
		c.recordZone(req.Zone)
		if relays := c.loadReports.relays.chosenFor(req.Host, req.Zone); relays.Checksum != req.RelaysChecksum {
			reply.Relays = &relays
		}
		c.cachedParts.record(req.CachedParts, now)
		reply.CachedParts, reply.Cursor = c.cachedParts.since(req.Since)
		reply.Notices, reply.NoticesCursor = c.exchangeNotices(req, now)
		targetsChanged = c.recordAnnouncements(req.Draining, now)
		reply.Cold = c.exchangeCold(req.Cold, now)
		reply.Paces = c.exchangePaces(req, now)
		c.recordSuspects(req, now)
		var list Suspects
		list, quarantine = c.suspects(now)
		if list.Checksum != req.SuspectsChecksum {
			reply.Suspects = &list
		}
	})
	if err == nil && targetsChanged {
		c.changes.notify()
	}
	if quarantine != nil {
		c.proposeQuarantine(ctx, *quarantine)
	}
	return reply, err
}

// Loads reports the loads that this host observes, and returns those that the
// other hosts observe.
func (c *Client) Loads(ctx context.Context, req LoadsRequest) (LoadsReply, error) {
	return callWithRedirects[LoadsRequest, LoadsReply](ctx, c, KindLoads, req)
}
