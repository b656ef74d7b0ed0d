package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// httpStatus maps fault codes to HTTP status codes.
var httpStatus = map[types.Code]int{
	types.CodeBadRequest:       http.StatusBadRequest,
	types.CodeUnauthorized:     http.StatusUnauthorized,
	types.CodeNotFound:         http.StatusNotFound,
	types.CodeConflict:         http.StatusConflict,
	types.CodeOutOfOrder:       http.StatusConflict,
	types.CodeInProgress:       http.StatusConflict,
	types.CodeProgramEnded:     http.StatusGone,
	types.CodeBudgetExceeded:   http.StatusForbidden,
	types.CodeRateLimited:      http.StatusTooManyRequests,
	types.CodeQuarantined:      http.StatusUnprocessableEntity,
	types.CodeNoTarget:         http.StatusServiceUnavailable,
	types.CodeTargetFailed:     http.StatusBadGateway,
	types.CodeOutcomeUnknown:   http.StatusBadGateway,
	types.CodeDeadlineExceeded: http.StatusGatewayTimeout,
	types.CodeUnavailable:      http.StatusServiceUnavailable,
	types.CodeOverloaded:       http.StatusServiceUnavailable,
	types.CodeInternal:         http.StatusInternalServerError,
	types.CodePayloadTooLarge:  http.StatusRequestEntityTooLarge,
	types.CodeRequestTimeout:   http.StatusRequestTimeout,
}

// errorBody is the body of error responses that come from the entry host rather
// than from a target.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	types.Fault
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

func newErrorDetail(f *types.Fault) errorDetail {
	return errorDetail{Fault: *f, RetryAfterMs: f.RetryAfter.Milliseconds()}
}

// writeFault writes err as an error response. An error that is not a fault
// becomes an internal one.
func writeFault(w http.ResponseWriter, err error) {
	f := types.AsFault(err)
	status, ok := httpStatus[f.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(f.RetryAfter), 10))
	}
	writeJSON(w, status, errorBody{Error: newErrorDetail(f)})
}

// ceilSeconds returns d in seconds, rounded up. The Retry-After header has a
// resolution of one second, and a retry that comes too early is rejected again.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// writeJSON writes v as a JSON response. Write errors are ignored, since they
// mean that the caller has disconnected.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
