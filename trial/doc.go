// Package trial simulates programs on inference engines in virtual time, to
// compare policies that select targets.
//
// As in a fleet, an entry host learns about requests of other hosts only through
// periodic exchanges. Engines use continuous batching: the time per token grows
// with the number of running requests, and prompts are prefilled in chunks
// between the decoding steps of other requests. A [Trial] is deterministic: equal
// seeds give equal results.
package trial
