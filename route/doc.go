// Package route selects the target of a call and limits retries.
//
// [Place] selects the target with the lowest expected time, from the load, pace,
// zone and cached part of the prompt of each. A [Policy] is a pure function of the
// current state of the targets as seen by an entry host. [LowestExpectedTime] is
// the default policy; [RoundRobin], [LeastLoaded] and [Sticky] are baselines for
// comparison.
package route
