// Package soak plays random faults against a whole fleet of real processes and
// checks the promises by what callers and targets see.
//
// All of it is in the tests. The faults come from outside the processes: kills,
// freezes, stops, lost folders, torn writes, and a relay before each host that
// delays, resets, silences or cuts one way. A seed decides everything but the
// machine's own timing:
//
//	go test ./soak -seeds 50 -first 1000 -for 20s
package soak
