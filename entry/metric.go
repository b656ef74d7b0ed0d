package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/types"
)

// overloadRetryAfter is the Retry-After of requests rejected for overload.
const overloadRetryAfter = time.Second

var (
	metricCallSeconds     = metrics.NewHistogram("banyanspur_entry_call_seconds")
	metricBeginSeconds    = metrics.NewHistogram("banyanspur_entry_begin_seconds")
	metricCloseSeconds    = metrics.NewHistogram("banyanspur_entry_close_seconds")
	metricTargetSeconds   = metrics.NewHistogram("banyanspur_entry_target_seconds")
	metricRetries         = metrics.NewCounter("banyanspur_entry_retries_total")
	metricUnknownOutcomes = metrics.NewCounter("banyanspur_entry_unknown_outcomes_total")
)

// countRequest counts a completed request by its fault code, or as "ok" if code
// is empty.
func countRequest(code types.Code) {
	if code == "" {
		code = "ok"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("banyanspur_entry_requests_total{code=%q}", string(code))).Inc()
}
