// Package panics recovers panics of the handlers of requests, so that one request cannot end the
// process with all others in flight, and makes them visible in the log and the metrics.
package panics
