// Package route decides which target gets a call and whether a failed call is
// tried again.
//
// A [Policy] is a pure function of what an entry host knows at the moment.
// [Expected] is the one in use; [RoundRobin], [LeastLoaded] and [Sticky] are
// the baselines that it is measured against.
package route
