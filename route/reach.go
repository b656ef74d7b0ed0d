package route

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// minReports is how many other hosts must report that they cannot connect to a target
	// for this host to avoid it, too. A single one may have lost its own path.
	minReports = 2
	// maxReportsAge is how long the reports of other hosts count.
	maxReportsAge = 2 * time.Second
)

// Reachability tells which targets accept no connections, by what this host has found and
// what others report. A target that this host could not connect to stays unreachable until
// a check connects to it, so that no request has to find out. The zero value is ready to
// use. It is not safe for concurrent use.
type Reachability struct {
	own        map[types.TargetID]bool // that this host could not connect to
	others     map[types.TargetID]int  // number of other hosts that report the target
	reportedAt types.Mono              // when others was set
}

// RecordUnreachable records that this host could not connect to a target. It reports
// whether the target was reachable before; it is then to be checked until
// [Reachability.RecordReachable] is called.
func (r *Reachability) RecordUnreachable(id types.TargetID) (first bool) {
	if r.own[id] {
		return false
	}
	if r.own == nil {
		r.own = map[types.TargetID]bool{}
	}
	r.own[id] = true
	return true
}

// RecordReachable records that this host has connected to a target, or that the target is
// no longer listed.
func (r *Reachability) RecordReachable(id types.TargetID) { delete(r.own, id) }

// FoundUnreachable reports whether this host itself could not connect to a target.
func (r *Reachability) FoundUnreachable(id types.TargetID) bool { return r.own[id] }

// SetReports sets how many other hosts report that they cannot connect to each target.
func (r *Reachability) SetReports(others map[types.TargetID]int, now types.Mono) {
	r.others, r.reportedAt = others, now
}

// Unreachable reports whether requests should avoid a target.
func (r *Reachability) Unreachable(id types.TargetID, now types.Mono) bool {
	return r.own[id] || r.others[id] >= minReports && now.Sub(r.reportedAt) < maxReportsAge
}
