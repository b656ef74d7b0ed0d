package turns

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

var (
	appendSeconds = metrics.NewHistogram("banyanspur_turns_append_seconds")
	batchWrites   = metrics.NewHistogram("banyanspur_turns_batch_writes")

	reservationsRefused = metrics.NewCounter("banyanspur_turns_reservations_refused_total")
	admissionSeconds    = metrics.NewHistogram("banyanspur_turns_admission_seconds")
	claimsAwaited       = metrics.NewCounter("banyanspur_turns_claims_awaited_total")
	confirmSeconds      = metrics.NewHistogram("banyanspur_turns_confirm_seconds")
	confirmsRefused     = metrics.NewCounter("banyanspur_turns_confirms_refused_total")
)

// rounds returns the counter of requests to the stores of a shard. A request that starts
// again, since the shard has moved, counts again.
func rounds(kind wire.Kind) *metrics.Counter {
	return metrics.GetOrCreateCounter(`banyanspur_turns_rounds_total{kind="` + string(kind) + `"}`)
}

// recordRequest records how long a request to one store took, or why it failed.
func recordRequest(kind wire.Kind, startedAt time.Time, err error) {
	if err == nil {
		metrics.GetOrCreateHistogram(`banyanspur_turns_reply_seconds{kind="` + string(kind) + `"}`).UpdateDuration(startedAt)
		return
	}
	metrics.GetOrCreateCounter(`banyanspur_turns_request_failures_total{kind="` + string(kind) + `",code="` + string(types.AsFault(err).Code) + `"}`).Inc()
}
