package panics

import (
	"bytes"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
)

const (
	// maxValueBytes and maxStackBytes bound what a report contains of the value of a panic and
	// of its stack, whose first frames show the cause.
	maxValueBytes = 512
	maxStackBytes = 6 << 10
	// maxPathBytes bounds what a report contains of the path of a request.
	maxPathBytes = 256
)

var requestPanics = metrics.NewCounter("banyanspur_http_panics_total")

// ReportRequest reports the panic of the handler of an HTTP request. It must be called by the
// deferred function that has recovered it.
func ReportRequest(log event.Log, r *http.Request, fields event.Fields, value any) {
	fields["method"], fields["path"] = r.Method, truncate(r.URL.Path, maxPathBytes)
	Report(log, event.HandlerPanicked, requestPanics, fields, value)
}

// Report logs a recovered panic as an event of the given kind, with its value and stack, and
// counts it. It must be called by the deferred function that has recovered it.
func Report(log event.Log, kind event.Kind, total *metrics.Counter, fields event.Fields, value any) {
	total.Inc()
	fields["panic"] = truncate(fmt.Sprint(value), maxValueBytes)
	fields["stack"] = truncate(string(stack()), maxStackBytes)
	log.Write(kind, fields)
}

// stack returns the stack from the panic on, without the frames of its recovery.
func stack() []byte {
	s := debug.Stack()
	_, after, ok := bytes.Cut(s, []byte("\npanic("))
	if !ok {
		return s
	}
	for range 2 { // The rest of that line, and the place.
		_, after, _ = bytes.Cut(after, []byte("\n"))
	}
	return after
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[:n] + "..."
}
