package gate

import (
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// minFullTime and maxFullTime bound how long a target at its limit gets no
	// requests of this host before the issuer is asked again.
	minFullTime = 20 * time.Millisecond
	maxFullTime = 500 * time.Millisecond
)

// targetLimits holds the limits that targets name in their responses. The zero value
// is ready to use. It is safe for concurrent use.
type targetLimits struct {
	mu         sync.Mutex
	notices    limit.Notices
	unreported map[types.TargetID]bool // targets with notices that the leader does not have
	cursor     fleet.Cursor            // of the leader's notices that this host has
	// full holds the targets that are at their limits.
	full map[types.TargetID]fullTarget
}

// fullTarget is a target that is at its limit: when the issuer may next be asked for a
// part of the limit, and when for a request with low precedence.
type fullTarget struct {
	until, lowUntil types.Mono
}

// rate returns the limit that a target names, and false if it names none.
func (l *targetLimits) rate(id types.TargetID) (types.PerSecond, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.notices.Get(id)
	return n.Rate, ok && !n.Lifted
}

// add records a notice and reports whether the target's limit has changed. The caller
// must hold mu.
func (l *targetLimits) add(id types.TargetID, n limit.Notice) (changed bool) {
	changed = l.notices.Add(id, n)
	if changed {
		delete(l.full, id)
	}
	return changed
}

// observe records the limit that a target has named in a response, or that it has named
// none, and reports whether it has changed. A response without a limit lifts an earlier
// one only if its request was sent after the limit was last named, since responses on
// different connections may overtake each other.
func (l *targetLimits) observe(id types.TargetID, rate types.PerSecond, named bool, sentAt, now types.Mono) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous, known := l.notices.Get(id)
	if !named && (!known || previous.Lifted || sentAt < previous.At) {
		return false
	}
	l.markUnreported(id)
	return l.add(id, limit.Notice{Rate: rate, Lifted: !named, At: now})
}

// markUnreported makes the next report include a target's notice. The caller must hold mu.
func (l *targetLimits) markUnreported(id types.TargetID) {
	if l.unreported == nil {
		l.unreported = map[types.TargetID]bool{}
	}
	l.unreported[id] = true
}

// merge records notices of other hosts.
func (l *targetLimits) merge(notices fleet.TargetNotices, now types.Mono) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range notices {
		l.add(id, n.Received(now))
	}
}

// noticesOf returns the notices of the demanded targets.
func (l *targetLimits) noticesOf(demands map[types.TargetID]limit.Demand, now types.Mono) fleet.TargetNotices {
	l.mu.Lock()
	defer l.mu.Unlock()
	notices := map[types.TargetID]limit.Notice{}
	for id := range demands {
		if n, ok := l.notices.Get(id); ok {
			notices[id] = n
		}
	}
	return fleet.NewTargetNotices(notices, now)
}

// report returns the notices to report to the leader and the position of those that it
// has sent. It drops expired notices.
func (l *targetLimits) report(now types.Mono) (fleet.TargetNotices, fleet.Cursor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices.Expire(now)
	notices := map[types.TargetID]limit.Notice{}
	for id := range l.unreported {
		if n, ok := l.notices.Get(id); ok {
			notices[id] = n
		}
	}
	return fleet.NewTargetNotices(notices, now), l.cursor
}

// reported records that the leader has received the given notices and replied. A new
// leader gets all notices with the next report.
func (l *targetLimits) reported(notices fleet.TargetNotices, reply fleet.LoadsReply, now types.Mono) {
	l.merge(reply.Notices, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, n := range notices {
		if current, ok := l.notices.Get(id); !ok || current.At <= n.Received(now).At {
			delete(l.unreported, id)
		}
	}
	if reply.NoticesCursor.TableID != l.cursor.TableID {
		all, _ := l.notices.Since(0)
		for id := range all {
			l.markUnreported(id)
		}
	}
	l.cursor = reply.NoticesCursor
}

// setFull records that a target is at its limit for the given time, which is bounded by
// minFullTime and maxFullTime, or only for requests with low precedence.
func (l *targetLimits) setFull(id types.TargetID, low bool, d time.Duration, now types.Mono) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.full == nil {
		l.full = map[types.TargetID]fullTarget{}
	}
	f := l.full[id]
	f.lowUntil = now.Add(max(minFullTime, min(d, maxFullTime)))
	if !low {
		f.until = f.lowUntil
	}
	l.full[id] = f
}

// fullFor returns for how long a target is at its limit for a request with or without
// low precedence, 0 if it is not.
func (l *targetLimits) fullFor(id types.TargetID, low bool, now types.Mono) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.full[id]
	if ok && max(f.until, f.lowUntil) <= now {
		delete(l.full, id)
	}
	if low {
		return max(0, f.lowUntil.Sub(now))
	}
	return max(0, f.until.Sub(now))
}
