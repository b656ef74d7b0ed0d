package intake

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
)

// pressureLogInterval is the shortest pause between two events of a budget that refuses or
// evicts: crowds make it do so thousands of times a second.
const pressureLogInterval = time.Second

var (
	evictionsTotal = metrics.NewCounter("banyanspur_intake_evictions_total")
	refusalsTotal  = metrics.NewCounter("banyanspur_intake_refusals_total")
)

// pressure counts what a budget has refused and evicted since its last event.
type pressure struct {
	refused, evicted int
	loggedAt         time.Time
}

// pressureReport is an event of a budget. The zero value is none.
type pressureReport struct {
	refused, evicted int
	used, limit      int64
	holders          int
}

// recordRefusal must be called with mu held.
func (b *Budget) recordRefusal() {
	refusalsTotal.Inc()
	b.pressure.refused++
}

// recordEviction must be called with mu held.
func (b *Budget) recordEviction() {
	evictionsTotal.Inc()
	b.pressure.evicted++
}

// report returns the event that is due, if any. It must be called with mu held.
func (b *Budget) report() pressureReport {
	p := &b.pressure
	if p.refused == 0 && p.evicted == 0 {
		return pressureReport{}
	}
	now := time.Now()
	if now.Sub(p.loggedAt) < pressureLogInterval {
		return pressureReport{}
	}
	r := pressureReport{p.refused, p.evicted, b.used, b.limit, len(b.holders)}
	*p = pressure{loggedAt: now}
	return r
}

// write writes the event.
func (r pressureReport) write(log event.Log) {
	if r == (pressureReport{}) {
		return
	}
	log.Write(event.IntakeFull, event.Fields{
		"refused": r.refused, "evicted": r.evicted, "usedBytes": r.used, "limitBytes": r.limit, "holders": r.holders,
	})
}
