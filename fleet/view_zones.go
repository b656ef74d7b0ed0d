package fleet

import (
	"context"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

var evacuatedZones = metrics.NewGauge("banyanspur_fleet_evacuated_zones", nil)

// ZoneState is the state of a zone that is or has been evacuated, as a host knows it.
type ZoneState struct {
	// Evacuated is set if no requests are sent to the targets of the zone. Otherwise the
	// zone has been evacuated before and was taken back.
	Evacuated bool
	// Order is the order that changed the state last.
	Order types.OrderID
	// Since is when it did, on the clock of the host. It may be later than the real time
	// by the network delay and the time during which the group had no leader, and is
	// negative if the host has started since.
	Since types.Mono
}

// Evacuated reports whether no requests are sent to the targets of a zone.
func (v View) Evacuated(zone types.ZoneID) bool { return v.Zones[zone].Evacuated }

// ReturnedAt returns when a zone that had been evacuated was taken back. It returns false
// if it is evacuated or never was.
func (v View) ReturnedAt(zone types.ZoneID) (at types.Mono, returned bool) {
	s, ordered := v.Zones[zone]
	return s.Since, ordered && !s.Evacuated
}

// ServicesWithoutTarget returns the services, sorted, whose targets that do not drain are
// all in evacuated zones.
func (v View) ServicesWithoutTarget() []types.ServiceID {
	return servicesWithoutTarget(v.Targets, v.Evacuated)
}

// newZones returns the zones of a reply that was received at the given time.
func newZones(reports *ZoneReports, now types.Mono) map[types.ZoneID]ZoneState {
	zones := make(map[types.ZoneID]ZoneState, len(reports.Zones))
	for zone, r := range reports.Zones {
		zones[zone] = ZoneState{Evacuated: r.Evacuated, Order: r.Order, Since: now.Add(-r.Age)}
	}
	return zones
}

// logZones logs the evacuated zones if they have changed between two views, and likewise
// the services without a target that these leave.
func (c *Client) logZones(before, after View) {
	if before.Versions.Zones != after.Versions.Zones {
		evacuated := []types.ZoneID{}
		for zone, s := range after.Zones {
			if s.Evacuated {
				evacuated = append(evacuated, zone)
			}
		}
		slices.Sort(evacuated)
		evacuatedZones.Set(float64(len(evacuated)))
		c.Log.Write(event.ZonesApplied, event.Fields{"zones": evacuated, "revision": after.Versions.Zones})
	}
	services := after.ServicesWithoutTarget()
	if !slices.Equal(before.ServicesWithoutTarget(), services) {
		c.Log.Write(event.ServicesEvacuated, event.Fields{"services": services})
	}
}

// Evacuate orders that no requests be sent to the targets of a zone, or withdraws such an
// order. It returns once a majority of the group has the order on disk. It fails with
// [types.CodeNotFound] if there is no such zone, and with [types.CodeUnavailable] if the
// group cannot take the order at this time.
func (c *Client) Evacuate(ctx context.Context, req Evacuate) error {
	reply, err := callWithRetry[Evacuate, EvacuateReply](ctx, c, KindEvacuate, req)
	if err == nil && reply.Refusal != "" {
		err = types.NewFault(types.CodeUnavailable, "%s", reply.Refusal).WithRetryAfter(refusedOrderRetryDelay)
	}
	return asEarlierLeader(err)
}

// asEarlierLeader returns err as [types.CodeUnavailable] if the leader is a build that does
// not know the message.
func asEarlierLeader(err error) error {
	if types.IsCode(err, types.CodeBadRequest) {
		return types.NewFault(types.CodeUnavailable, "the leader is an earlier build: %s", types.AsFault(err).Message).WithRetryAfter(refusedOrderRetryDelay)
	}
	return err
}

// refusedOrderRetryDelay is the retry delay after the refusal of an order. Control hosts
// ask each other within it what they can apply, and a new leader has the list of targets.
const refusedOrderRetryDelay = membersInterval * 5

// Evacuations returns the zones that are or have been evacuated, sorted.
func (c *Client) Evacuations(ctx context.Context) ([]Evacuation, error) {
	reply, err := callWithRetry[EvacuationsRequest, EvacuationsReply](ctx, c, KindEvacuations, EvacuationsRequest{})
	return reply.Evacuations, asEarlierLeader(err)
}
