package poison

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// Threshold is the number of targets that a request must have ended to be
	// poisonous.
	Threshold = 3
	// WatchThreshold is the number of ended targets from which on all hosts should
	// report whether the request completes.
	WatchThreshold = Threshold - 1
	// QuarantineTime is how long a poisonous request is refused.
	QuarantineTime = time.Hour
	// retention is how long a crash counts.
	retention = 10 * time.Minute
	// settleTime is the age of the crash that reaches Threshold from which on the
	// request is poisonous. By then, the hosts have reported the other targets that
	// ended with it.
	settleTime = 500 * time.Millisecond
	// copiesSettleTime is settleTime for copies that ran at the same time. Within it, all
	// hosts learn that the request is watched and report whether another copy has
	// completed: a probe and three exchanges of 0.3 s.
	copiesSettleTime = 1200 * time.Millisecond
	// minCopyEnds is the minimum number of ends of targets that prove a request poisonous
	// by its copies. A single target may end with several copies of a sound request.
	minCopyEnds = 2
	// clockError bounds the difference between the times of crashes that different
	// hosts report.
	clockError = 20 * time.Millisecond
	// outageWindow is the time within which targets of a zone that end are taken to
	// end for a common cause.
	outageWindow = 200 * time.Millisecond
	// minOutage is the minimum number of targets without the suspect that end in an
	// outage.
	minOutage = 2
	// expireInterval is the pause between two removals of expired crashes.
	expireInterval = time.Second
	// maxSuspects limits the requests in a table.
	maxSuspects = 4096
)

// Crash is the end of a target's process while it ran a request.
type Crash struct {
	Fingerprint types.Fingerprint
	// Attempt is the ID of the attempt that the target ran.
	Attempt types.AttemptID
	Target  types.TargetID
	Zone    types.ZoneID
	// SentAt is when the attempt was sent to the target, and EndedAt when its
	// connection was lost.
	SentAt, EndedAt types.Mono
}

// ZoneSizes is the number of targets in each availability zone.
type ZoneSizes map[types.ZoneID]int

// Table holds the crashes of the last minutes. The zero value is ready to use. It is
// not safe for concurrent use.
type Table struct {
	suspects map[types.Fingerprint][]Crash // ordered by EndedAt
	// repeated contains the suspects with at least WatchThreshold crashes. After the
	// loss of a zone, these are few.
	repeated map[types.Fingerprint]bool
	ends     []targetEnd // ordered by time
	expireAt types.Mono  // when expired crashes are removed next
}

// targetEnd is the end of a target, which may have run several suspects.
type targetEnd struct {
	target types.TargetID
	zone   types.ZoneID
	at     types.Mono
}

// Record adds a crash. It ignores one that it already has.
func (t *Table) Record(c Crash, now types.Mono) {
	t.expire(now)
	if now.Sub(c.EndedAt) > retention {
		return
	}
	list := t.suspects[c.Fingerprint]
	if slices.ContainsFunc(list, func(o Crash) bool { return o.Attempt == c.Attempt && o.Target == c.Target }) {
		return
	}
	if t.suspects == nil {
		t.suspects, t.repeated = map[types.Fingerprint][]Crash{}, map[types.Fingerprint]bool{}
	}
	if len(list) == 0 && len(t.suspects) >= maxSuspects {
		t.evictOldest()
	}
	list = append(list, c)
	slices.SortStableFunc(list, func(a, b Crash) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	t.suspects[c.Fingerprint] = list
	if len(list) >= WatchThreshold {
		t.repeated[c.Fingerprint] = true
	}
	t.recordEnd(targetEnd{target: c.Target, zone: c.Zone, at: c.EndedAt})
}

// recordEnd adds the end of a target unless it is known from another suspect.
func (t *Table) recordEnd(e targetEnd) {
	known := func(o targetEnd) bool { return o.target == e.target && distance(o.at, e.at) <= outageWindow }
	if slices.ContainsFunc(t.ends, known) {
		return
	}
	i, _ := slices.BinarySearchFunc(t.ends, e, func(a, b targetEnd) int { return cmp.Compare(a.at, b.at) })
	t.ends = slices.Insert(t.ends, i, e)
}

// Clear removes the crashes of a request that has completed.
func (t *Table) Clear(f types.Fingerprint) {
	delete(t.suspects, f)
	delete(t.repeated, f)
}

// Empty reports whether no request has crashes.
func (t *Table) Empty() bool { return len(t.suspects) == 0 }

// Suspect reports whether a request has crashes.
func (t *Table) Suspect(f types.Fingerprint) bool { return len(t.suspects[f]) > 0 }

// Targets returns the targets that have ended while they ran a request, in the order
// of their ends.
func (t *Table) Targets(f types.Fingerprint) []types.TargetID {
	var targets []types.TargetID
	for _, c := range t.suspects[f] {
		targets = append(targets, c.Target)
	}
	return targets
}

// Crashes returns all crashes.
func (t *Table) Crashes() []Crash {
	var all []Crash
	for _, list := range t.suspects {
		all = append(all, list...)
	}
	return all
}

// Ends returns the ends of targets that ran only requests that have completed since, as
// crashes of a fingerprint that no request has. Another table needs them to tell which
// targets ended at the same time.
func (t *Table) Ends() []Crash {
	var ends []Crash
	for _, e := range t.ends {
		c := Crash{
			Fingerprint: types.Fingerprint("end of " + string(e.target)), Attempt: types.AttemptID(strconv.FormatInt(int64(e.at), 10)),
			Target: e.target, Zone: e.zone, SentAt: e.at, EndedAt: e.at,
		}
		if !t.ranSuspect(e) {
			ends = append(ends, c)
		}
	}
	return ends
}

// ranSuspect reports whether a target ran a suspect when it ended.
func (t *Table) ranSuspect(e targetEnd) bool {
	for f := range t.suspects {
		if t.ranOn(f, e) {
			return true
		}
	}
	return false
}

// Verdicts returns the requests that are poisonous by the observations of a single host,
// and those that are not but have ended at least WatchThreshold targets. Only crashes that
// followed one another count, since other hosts may have seen targets end at the same time
// without the request. Both lists are sorted.
func (t *Table) Verdicts(zones ZoneSizes, now types.Mono) (poisonous, watched []types.Fingerprint) {
	return t.verdicts(now, func(f types.Fingerprint) (int, bool) {
		n, reachedAt := t.countSequence(f, zones)
		return n, n >= Threshold && now.Sub(reachedAt) >= settleTime
	})
}

// FleetVerdicts is like Verdicts for a table with the reports of all hosts. Each attempt
// counts, also those that ran at the same time.
func (t *Table) FleetVerdicts(zones ZoneSizes, now types.Mono) (poisonous, watched []types.Fingerprint) {
	return t.verdicts(now, func(f types.Fingerprint) (int, bool) {
		n, reachedAt := t.countSequence(f, zones)
		attempts, proven, provenAt := t.countAttempts(f, zones)
		return max(n, attempts), n >= Threshold && now.Sub(reachedAt) >= settleTime || proven && now.Sub(provenAt) >= copiesSettleTime
	})
}

// verdicts sorts the suspects by a function that returns the number of crashes that count
// against a request, and whether it is poisonous.
func (t *Table) verdicts(now types.Mono, judge func(types.Fingerprint) (int, bool)) (poisonous, watched []types.Fingerprint) {
	t.expire(now)
	for f := range t.repeated {
		switch n, proven := judge(f); {
		case proven:
			poisonous = append(poisonous, f)
		case n >= WatchThreshold:
			watched = append(watched, f)
		}
	}
	slices.Sort(poisonous)
	slices.Sort(watched)
	return poisonous, watched
}

// countAttempts returns the number of attempts that were interrupted by ends of targets,
// without those that may have been interrupted by a common cause: an attempt that did not
// follow the one before it does not count if another target ended without this request at
// the time of either. proven is set if Threshold attempts and minCopyEnds ends have been
// reached, and provenAt is when.
func (t *Table) countAttempts(f types.Fingerprint, zones ZoneSizes) (n int, proven bool, provenAt types.Mono) {
	var counted []Crash
	ends := 0
	for _, c := range t.suspects[f] {
		if t.inOutage(c, zones) {
			continue
		}
		if n > 0 {
			last := counted[n-1]
			if !c.follows(last) && (t.othersEnded(last) || t.othersEnded(c)) {
				continue
			}
		}
		if !slices.ContainsFunc(counted, c.sameEnd) {
			ends++
		}
		counted = append(counted, c)
		n++
		if !proven && n >= Threshold && ends >= minCopyEnds {
			proven, provenAt = true, c.EndedAt
		}
	}
	return n, proven, provenAt
}

// sameEnd reports whether two attempts were interrupted by the same end of a target.
func (c Crash) sameEnd(o Crash) bool {
	return c.Target == o.Target && distance(c.EndedAt, o.EndedAt) <= outageWindow
}

// countSequence returns the number of targets that a request has ended one after the other,
// and when the end of the one that reached Threshold was, if it has.
func (t *Table) countSequence(f types.Fingerprint, zones ZoneSizes) (n int, reachedAt types.Mono) {
	var last Crash // the last one counted
	for _, c := range t.suspects[f] {
		if t.inOutage(c, zones) || n > 0 && !c.follows(last) {
			continue
		}
		n++
		last = c
		if n == Threshold {
			reachedAt = c.EndedAt
		}
	}
	return n, reachedAt
}

// follows reports whether the request was sent to c's target after the end of the
// target of an earlier crash. Otherwise both may have ended together. An attempt runs
// on one target at a time, so the crashes of one attempt follow each other.
func (c Crash) follows(earlier Crash) bool {
	return c.Attempt == earlier.Attempt || c.SentAt >= earlier.EndedAt.Add(-clockError) && c.EndedAt > earlier.EndedAt.Add(clockError)
}

// inOutage reports whether more than half of the targets of the crashed target's zone
// ended at about the same time, at least minOutage of them without this request.
func (t *Table) inOutage(c Crash, zones ZoneSizes) bool {
	ended, unexplained := map[types.TargetID]bool{}, map[types.TargetID]bool{}
	for _, e := range t.endsNear(c.EndedAt) {
		if e.zone != c.Zone {
			continue
		}
		ended[e.target] = true
		if !t.ranOn(c.Fingerprint, e) {
			unexplained[e.target] = true
		}
	}
	return len(unexplained) >= minOutage && 2*len(ended) > zones[c.Zone]
}

// othersEnded reports whether a target that did not run the request ended at about the same
// time as the crashed one.
func (t *Table) othersEnded(c Crash) bool {
	return slices.ContainsFunc(t.endsNear(c.EndedAt), func(e targetEnd) bool { return !t.ranOn(c.Fingerprint, e) })
}

// endsNear returns the ends of targets within outageWindow of a point in time.
func (t *Table) endsNear(at types.Mono) []targetEnd {
	byTime := func(e targetEnd, at types.Mono) int { return cmp.Compare(e.at, at) }
	first, _ := slices.BinarySearchFunc(t.ends, at.Add(-outageWindow), byTime)
	end, _ := slices.BinarySearchFunc(t.ends, at.Add(outageWindow)+1, byTime)
	return t.ends[first:end]
}

// ranOn reports whether a request was running on a target when the target ended.
func (t *Table) ranOn(f types.Fingerprint, e targetEnd) bool {
	return slices.ContainsFunc(t.suspects[f], func(c Crash) bool {
		return c.Target == e.target && distance(c.EndedAt, e.at) <= outageWindow
	})
}

// expire removes crashes older than retention, once every expireInterval.
func (t *Table) expire(now types.Mono) {
	if now < t.expireAt {
		return
	}
	t.expireAt = now.Add(expireInterval)
	for f, list := range t.suspects {
		list = slices.DeleteFunc(list, func(c Crash) bool { return now.Sub(c.EndedAt) > retention })
		if len(list) == 0 {
			t.Clear(f)
			continue
		}
		t.suspects[f] = list
		if len(list) < WatchThreshold {
			delete(t.repeated, f)
		}
	}
	t.ends = slices.DeleteFunc(t.ends, func(e targetEnd) bool { return now.Sub(e.at) > retention })
}

// evictOldest removes the request whose latest crash is the oldest.
func (t *Table) evictOldest() {
	var oldest types.Fingerprint
	var at types.Mono
	for f, list := range t.suspects {
		if last := list[len(list)-1].EndedAt; oldest == "" || last < at {
			oldest, at = f, last
		}
	}
	t.Clear(oldest)
}

func distance(a, b types.Mono) time.Duration { return a.Sub(b).Abs() }
