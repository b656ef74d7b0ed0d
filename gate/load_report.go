package gate

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fetch"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/route"
	"github.com/banyanspur/banyanspur/types"
)

var badLoadReportsTotal = metrics.NewCounter("banyanspur_gate_bad_load_reports_total")

// recordResponse resets the failure count of a target that responded and stores its load
// report. It logs the first report of the target with a figure that is ignored.
func (c *call) recordResponse(t fleet.Target, resp *fetch.Response) {
	text := resp.Header.Get(c.gate.HeaderNames.Load)
	report, err := route.ParseLoadReport(text)
	first := c.gate.targets.recordResponse(t.ID, report, err != nil)
	if err == nil {
		return
	}
	badLoadReportsTotal.Inc()
	if first {
		c.gate.Log.Write(event.LoadReportIgnored, event.Fields{
			"target": t.ID, "request": c.id, "report": text[:min(len(text), maxLoggedReport)], "error": err.Error(),
			"load": report.HasLoad, "slots": report.HasSlots, "slowness": report.Slowness,
		})
	}
}

// maxLoggedReport is how many bytes of a load report are logged.
const maxLoggedReport = 100

// recordResponse resets the failure count of a target that responded and stores its load
// report. It reports whether this is the first invalid report of the target.
func (t *targetTracker) recordResponse(id types.TargetID, r route.LoadReport, invalid bool) (firstInvalid bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.getOrCreate(id)
	t.reach.RecordReachable(id)
	s.consecutiveFailures = 0
	s.observed.Responses++
	if r.HasLoad {
		s.running, s.waiting = r.Running, r.Waiting
		s.inFlightAtReport, s.reportedAt = s.inFlight, time.Now()
	}
	if r.HasSlots {
		s.slots = r.Slots
	}
	if r.Slowness > 0 {
		s.slowness, s.slownessAt = r.Slowness, t.clock()
		if t.observesOnReport {
			t.observes.Store(true)
		}
	}
	firstInvalid = invalid && !s.sentInvalidReport
	s.sentInvalidReport = s.sentInvalidReport || invalid
	return firstInvalid
}
