package gate

import (
	"iter"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/fleet"
)

// evacuatedRetryAfter is the Retry-After value while all targets of a service are in
// evacuated zones. It is the interval at which the list of targets changes; when an
// operator takes a zone back is not known.
const evacuatedRetryAfter = time.Second

var evacuatedRefusalsTotal = metrics.NewCounter("banyanspur_gate_evacuated_refusals_total")

// outsideEvacuatedZones iterates over the targets that are not in evacuated zones.
func outsideEvacuatedZones(view fleet.View) iter.Seq[fleet.Target] {
	return func(yield func(fleet.Target) bool) {
		for _, t := range view.Targets {
			if !view.Evacuated(t.Zone) && !yield(t) {
				return
			}
		}
	}
}

// refuseEvacuated refuses a request whose service has no target to send to since its
// others are in evacuated zones. It does so before the request takes part of a limit or a
// budget, or waits for one.
func (c *call) refuseEvacuated() *errorResponse {
	view := c.gate.Fleet.View()
	service := c.view.Plan.Service(c.route.Backend(c.backendKey()))
	if service == nil || len(view.Zones) == 0 {
		return nil
	}
	evacuated := slices.ContainsFunc(view.Targets, func(t fleet.Target) bool { return t.Service == service.Name && view.Evacuated(t.Zone) })
	if !evacuated || len(c.candidates(service, nil)) > 0 {
		return nil
	}
	evacuatedRefusalsTotal.Inc()
	return &errorResponse{
		status: http.StatusServiceUnavailable, retryAfter: evacuatedRetryAfter, reason: "all targets of the service are in evacuated zones or drain",
	}
}
