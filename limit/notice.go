package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Notice is the limit that a target named in a response, or the absence of one.
type Notice struct {
	// Rate is how many requests per second the target accepts from all hosts
	// together. It has no meaning if Lifted is set.
	Rate types.PerSecond
	// Lifted is set if the target no longer names a limit.
	Lifted bool
	// At is when the response was received.
	At types.Mono
}

// sameLimit reports whether two notices name the same limit.
func (n Notice) sameLimit(o Notice) bool {
	return n.Lifted == o.Lifted && (n.Lifted || n.Rate == o.Rate)
}

const (
	// NoticeTime is how long a notice counts. A target that still names its limit gets
	// another request in that time, see [TargetLimit].
	NoticeTime = time.Minute
	// noticeRefresh is the age from which a notice is distributed again although the
	// limit has not changed.
	noticeRefresh = NoticeTime / 3
)

// Notices holds the newest notice of each target. The zero value is ready to use. It
// is not safe for concurrent use.
type Notices struct {
	entries  map[types.TargetID]noticeEntry
	revision uint64 // of the newest change
}

// noticeEntry is a notice and the revision at which it was distributed last.
type noticeEntry struct {
	Notice
	revision      uint64
	distributedAt types.Mono
}

// Add records a notice unless there is a newer one, or it lifts a limit that was not
// named. It reports whether the target's limit has changed.
func (t *Notices) Add(id types.TargetID, n Notice) (changed bool) {
	e, known := t.entries[id]
	if known && n.At <= e.At || !known && n.Lifted {
		return false
	}
	changed = !known || !e.sameLimit(n)
	e.Notice = n
	if changed || n.At.Sub(e.distributedAt) >= noticeRefresh {
		t.revision++
		e.revision, e.distributedAt = t.revision, n.At
	}
	if t.entries == nil {
		t.entries = map[types.TargetID]noticeEntry{}
	}
	t.entries[id] = e
	return changed
}

// Get returns the newest notice of a target, and false if there is none.
func (t *Notices) Get(id types.TargetID) (Notice, bool) {
	e, ok := t.entries[id]
	return e.Notice, ok
}

// Since returns the notices that were added or refreshed after a revision, and the
// current revision. Revision 0 precedes all notices.
func (t *Notices) Since(revision uint64) (map[types.TargetID]Notice, uint64) {
	var changed map[types.TargetID]Notice
	if revision == t.revision {
		return nil, t.revision
	}
	for id, e := range t.entries {
		if e.revision <= revision {
			continue
		}
		if changed == nil {
			changed = map[types.TargetID]Notice{}
		}
		changed[id] = e.Notice
	}
	return changed, t.revision
}

// Expire removes notices older than [NoticeTime].
func (t *Notices) Expire(now types.Mono) {
	for id, e := range t.entries {
		if now.Sub(e.At) > NoticeTime {
			delete(t.entries, id)
		}
	}
}

const (
	// maxTargetRate bounds the rate of a limit.
	maxTargetRate = 1e6
	// minTargetRate is the rate at which requests are sent to a target that names a
	// lower one, so that hosts notice when the limit is lifted.
	minTargetRate = 0.25
	// targetBurstTime is the time whose requests may arrive at a target at once.
	targetBurstTime = time.Second
)

// TargetLimit returns the limit of all hosts together for a target that names the
// given rate.
func TargetLimit(rate types.PerSecond) Limit {
	rate = min(max(rate, minTargetRate), maxTargetRate)
	return Limit{Rate: rate, Burst: max(1, int(float64(rate)*targetBurstTime.Seconds()))}
}
