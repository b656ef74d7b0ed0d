package fleet

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// The message kinds of zone evacuations.
const (
	KindEvacuate    wire.Kind = "fleet.evacuate"
	KindEvacuations wire.Kind = "fleet.evacuations"
)

const (
	// zoneReportTime is how long after an election a host may not have told the new
	// leader its zone. Hosts send sync requests within [DefaultSyncWait].
	zoneReportTime = 1500 * time.Millisecond
	// zoneWait is how long an order waits until the leader can tell whether the zone
	// exists. It is shorter than a request to a control host may take.
	zoneWait = 700 * time.Millisecond
	// zonePollInterval is the pause between two checks of a waiting order.
	zonePollInterval = 50 * time.Millisecond
)

var evacuationsTotal = metrics.NewCounter("banyanspur_fleet_evacuation_orders_total")

// ZoneRevision counts the commands that evacuated a zone or took one back.
type ZoneRevision uint64

// Evacuate orders that no requests be sent to the targets of a zone, or withdraws such an
// order. It has no effect if the zone is in that state already.
type Evacuate struct {
	Zone     types.ZoneID `json:"zone"`
	Withdraw bool         `json:"withdraw,omitempty"`
	// Order is the audit record of the request. The leader sets its time, and
	// [Machine.Apply] the summary, versions, outcome and hash chain.
	Order audit.Record `json:"order"`
}

// zoneRecord is the last effective order on a zone.
type zoneRecord struct {
	Evacuated bool `json:"evacuated"`
	// At is the log time of the command, for ages.
	At types.LogTime `json:"at"`
	// OrderedAt is the wall-clock time at which the leader received the order. It is
	// informational.
	OrderedAt time.Time        `json:"orderedAt"`
	Order     types.OrderID    `json:"order"`
	Operator  types.OperatorID `json:"operator"`
}

func (m *Machine) evacuateZone(at types.LogTime, c Evacuate) bool {
	if m.Evacuated(c.Zone) != c.Withdraw {
		return false
	}
	c.Order.Summary = "evacuate zone " + string(c.Zone)
	if c.Withdraw {
		c.Order.Summary = "end evacuation of zone " + string(c.Zone)
	}
	c.Order.From, c.Order.To, c.Order.Outcome = m.PlanVersion(), m.PlanVersion(), "accepted"
	m.appendRecord(c.Order)
	if m.state.Zones == nil {
		m.state.Zones = map[types.ZoneID]zoneRecord{}
	}
	m.state.Zones[c.Zone] = zoneRecord{Evacuated: !c.Withdraw, At: at, OrderedAt: c.Order.At, Order: c.Order.Order, Operator: c.Order.Operator}
	m.state.ZoneRevision++
	return true
}

// Evacuated reports whether a zone is evacuated.
func (m *Machine) Evacuated(zone types.ZoneID) bool { return m.state.Zones[zone].Evacuated }

// Evacuation is the state of a zone that is or has been evacuated.
type Evacuation struct {
	Zone      types.ZoneID `json:"zone"`
	Evacuated bool         `json:"evacuated"`
	// Order is the last order that changed the state, Operator who gave it, and
	// OrderedAt when, on the wall clock of the leader.
	Order     types.OrderID    `json:"order"`
	Operator  types.OperatorID `json:"operator"`
	OrderedAt time.Time        `json:"orderedAt"`
	// Age is the log time since then. It is never longer than the real time.
	Age time.Duration `json:"age"`
}

// Evacuations returns the state of all zones that are or have been evacuated, sorted by
// zone, and its revision. The ages are those at the given time.
func (m *Machine) Evacuations(at types.LogTime) ([]Evacuation, ZoneRevision) {
	var list []Evacuation
	for zone, r := range m.state.Zones {
		list = append(list, Evacuation{Zone: zone, Evacuated: r.Evacuated, Order: r.Order, Operator: r.Operator, OrderedAt: r.OrderedAt, Age: at.Sub(r.At)})
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return list, m.state.ZoneRevision
}

// ZoneReport is the part of an [Evacuation] that hosts receive.
type ZoneReport struct {
	Evacuated bool          `json:"evacuated,omitempty"`
	Order     types.OrderID `json:"order"`
	Age       time.Duration `json:"age"`
}

// ZoneReports holds all zones that are or have been evacuated. Its size is 75 bytes for each
// of them.
type ZoneReports struct {
	Zones map[types.ZoneID]ZoneReport `json:"zones"`
}

// addZones adds the state of the zones to the reply to a sync request. Builds that know
// no evacuations do not return the revision of the reply, so that to send it to them
// would answer each of their requests at once. It must be called within asLeader.
func (c *Control) addZones(reply *SyncReply, req SyncRequest) {
	if !req.KnowsZones {
		return
	}
	list, revision := c.machine.Evacuations(c.logTime)
	reply.Versions.Zones = revision
	if revision == req.Versions.Zones {
		return
	}
	reply.Zones = &ZoneReports{Zones: map[types.ZoneID]ZoneReport{}}
	for _, e := range list {
		reply.Zones.Zones[e.Zone] = ZoneReport{Evacuated: e.Evacuated, Order: e.Order, Age: e.Age}
	}
}

// zoneReturned returns when a zone that had been evacuated was taken back. It returns false
// if it is evacuated or never was. It must be called within asLeader.
func (c *Control) zoneReturned(zone types.ZoneID) (at types.Mono, returned bool) {
	r, ordered := c.machine.state.Zones[zone]
	return c.Clock().Add(-c.logTime.Sub(r.At)), ordered && !r.Evacuated
}

// recordZone records that a host is in a zone. It must be called within asLeader.
func (c *Control) recordZone(zone types.ZoneID) {
	if zone != "" {
		c.hostZones[zone] = true
	}
}

// zoneExists reports whether the shard map, a host, the list of targets or an earlier order
// names a zone. decided is false if it may do so once hosts and the platform's list have
// told this leader. It must be called within asLeader.
func (c *Control) zoneExists(zone types.ZoneID, now types.Mono) (exists, decided bool) {
	_, ordered := c.machine.state.Zones[zone]
	if ordered || c.hostZones[zone] || c.zoneSizes[zone] > 0 {
		return true, true
	}
	m, _ := c.machine.Map()
	for _, member := range m.Members {
		if member.Zone == zone {
			return true, true
		}
	}
	listMissing := c.ListTargets != nil && c.targets.Checksum == 0
	return false, !listMissing && now.Sub(c.leaderSince) >= zoneReportTime
}

// EvacuateReply is the reply to an order to evacuate a zone, or to withdraw it.
type EvacuateReply struct {
	// Refusal is the reason why the group cannot take the order at this time. It is
	// empty if the order holds.
	Refusal string `json:"refusal,omitempty"`
}

// evacuate commits an order, unless it is in effect, and logs the outcome. It fails with
// [types.CodeNotFound] if there is no such zone.
func (c *Control) evacuate(ctx context.Context, req Evacuate) (EvacuateReply, error) {
	req.Order.At = time.Now()
	fields := event.Fields{"zone": req.Zone, "withdraw": req.Withdraw, "order": req.Order.Order, "operator": req.Order.Operator}
	refusal, err := c.commitEvacuation(ctx, req, fields)
	if types.IsCode(err, types.CodeNotLeader) {
		return EvacuateReply{}, err
	}
	fields["refusal"], fields["failed"] = refusal, err != nil
	if err != nil {
		fields["error"] = err.Error()
	}
	fields["tookMs"] = time.Since(req.Order.At).Milliseconds()
	c.Log.Write(event.ZoneOrderDecided, fields)
	return EvacuateReply{Refusal: refusal}, err
}

// commitEvacuation commits an order, unless it is in effect, and adds the result to the
// fields of its log event. It returns the reason if the group cannot take it at this time.
func (c *Control) commitEvacuation(ctx context.Context, req Evacuate, fields event.Fields) (refusal string, err error) {
	inEffect, err := c.awaitZone(ctx, req)
	if types.IsCode(err, types.CodeOutOfOrder) {
		return types.AsFault(err).Message, nil
	}
	if err != nil || inEffect {
		return "", err
	}
	if refusal := c.refuseCommandSet(ctx, CommandSetZones); refusal != "" {
		return refusal, nil
	}
	evacuationsTotal.Inc()
	result, err := c.propose(ctx, Command{Evacuate: &req})
	fields["changed"] = result.Changed
	_ = c.asLeader(func(types.Mono) { // Fails if this host has just lost the leadership; the hosts log the services, too.
		fields["targetsKnown"] = c.targets.Checksum != 0
		fields["servicesWithoutTarget"] = servicesWithoutTarget(c.targets.List, c.machine.Evacuated)
	})
	return "", err
}

// awaitZone waits until it is certain whether the zone of an order exists, for up to
// zoneWait, and reports whether the order is in effect already. It fails with
// [types.CodeNotFound] if there is no such zone, and with [types.CodeOutOfOrder] if that
// remains uncertain.
func (c *Control) awaitZone(ctx context.Context, req Evacuate) (inEffect bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, zoneWait)
	defer cancel()
	for {
		var exists, decided bool
		err = c.asLeader(func(now types.Mono) {
			exists, decided = c.zoneExists(req.Zone, now)
			inEffect = exists && c.machine.Evacuated(req.Zone) != req.Withdraw
		})
		switch {
		case err != nil || exists:
			return inEffect, err
		case decided:
			return false, types.NewFault(types.CodeNotFound, "there is no zone %q", req.Zone)
		case !types.Sleep(ctx, zonePollInterval):
			return false, types.NewFault(types.CodeOutOfOrder, "the leader cannot tell yet whether there is a zone %q", req.Zone)
		}
	}
}

// EvacuationsRequest requests the zones that are or have been evacuated.
type EvacuationsRequest struct{}

// EvacuationsReply holds these zones, sorted.
type EvacuationsReply struct {
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

func (c *Control) evacuations(context.Context, EvacuationsRequest) (EvacuationsReply, error) {
	var reply EvacuationsReply
	err := c.asLeader(func(types.Mono) { reply.Evacuations, _ = c.machine.Evacuations(c.logTime) })
	return reply, err
}

// servicesWithoutTarget returns the services, sorted, whose targets that do not drain are
// all in evacuated zones.
func servicesWithoutTarget(list []Target, evacuated func(types.ZoneID) bool) []types.ServiceID {
	emptied := map[types.ServiceID]bool{}
	for _, t := range list {
		if !t.Draining && evacuated(t.Zone) {
			emptied[t.Service] = true
		}
	}
	for _, t := range list {
		if !t.Draining && !evacuated(t.Zone) {
			delete(emptied, t.Service)
		}
	}
	return slices.Sorted(maps.Keys(emptied))
}
