package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
)

// slowWrite is the duration above which a write is logged. It is about half of the shortest
// lease in use, 360 ms, and far above the 1 to 5 ms of an idle disk.
const slowWrite = 200 * time.Millisecond

var writeSeconds = metrics.NewHistogram("banyanspur_quorum_write_seconds")

// recordWrite records how long a write, with its syncs, took.
func (r *Replica[C, R]) recordWrite(took time.Duration) {
	r.lastWrite = took
	writeSeconds.Update(took.Seconds())
	if took > slowWrite {
		r.Log.Write(event.DiskSlow, event.Fields{
			"group": r.Group, "ms": took.Milliseconds(), "leader": r.lastRole == Leader,
		})
	}
}
