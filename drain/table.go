package drain

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// GraceTime is how long a target may still get requests after its first
	// announcement if its service has no other target. Targets serve for a few seconds
	// after they have announced that they drain.
	GraceTime = 1500 * time.Millisecond
	// ConfirmTime is how long the platform's list may take to show that a target drains.
	// If the list still shows the target as ready when its last announcement is that
	// old, the announcement was wrong.
	ConfirmTime = 10 * time.Second
)

// State is what the platform's list says about a target.
type State uint8

const (
	// Ready targets accept requests according to the list.
	Ready State = iota
	// Draining targets drain according to the list.
	Draining
	// Announced targets drain according to the leader, but not yet to the list.
	Announced
)

// Table holds the targets that have announced that they drain. The zero value is ready to
// use. It is not safe for concurrent use.
type Table struct {
	entries map[types.TargetID]entry
	// ended holds when an announcement of a listed target ended. Responses to earlier
	// requests are from an earlier process.
	ended map[types.TargetID]types.Mono
}

// entry is the state of one target in a [Table].
type entry struct {
	since  types.Mono // when the target was first known to drain
	last   types.Mono // when it last announced it; not set if only others have heard it
	heard  bool       // last is set
	listed bool       // the list has shown it as draining since
}

// Announce records an announcement in the response to a request that was sent at sentAt.
// It reports whether the target was not known to drain.
func (t *Table) Announce(id types.TargetID, sentAt, now types.Mono) (first bool) {
	if at, ok := t.ended[id]; ok && sentAt <= at {
		return false
	}
	e, known := t.entries[id]
	if !known {
		e.since = now
	}
	e.last, e.heard = max(e.last, now), true
	t.put(id, e)
	return !known
}

// Learn records that others have heard a target announce that it drains.
func (t *Table) Learn(id types.TargetID, now types.Mono) {
	if !t.Has(id) {
		t.put(id, entry{since: now})
	}
}

func (t *Table) put(id types.TargetID, e entry) {
	if t.entries == nil {
		t.entries = map[types.TargetID]entry{}
	}
	t.entries[id] = e
}

// Empty reports whether no target has announced that it drains.
func (t *Table) Empty() bool { return len(t.entries) == 0 }

// Has reports whether a target has announced that it drains.
func (t *Table) Has(id types.TargetID) bool {
	_, ok := t.entries[id]
	return ok
}

// InGrace reports whether a target has announced that it drains, but less than
// [GraceTime] ago.
func (t *Table) InGrace(id types.TargetID, now types.Mono) bool {
	e, ok := t.entries[id]
	return ok && !e.listed && now.Sub(e.since) < GraceTime
}

// Heard returns the age of the last announcement of each target that has made one to
// this host.
func (t *Table) Heard(now types.Mono) map[types.TargetID]time.Duration {
	ages := map[types.TargetID]time.Duration{}
	for id, e := range t.entries {
		if e.heard {
			ages[id] = now.Sub(e.last)
		}
	}
	return ages
}

// Reason is why an announcement has ended.
type Reason string

const (
	// Unlisted means that the list no longer contains the target.
	Unlisted Reason = "unlisted"
	// Replaced means that the list shows the target as ready after it has shown it as
	// draining: another process has started under the same ID.
	Replaced Reason = "replaced"
	// Unconfirmed means that the list has contradicted the announcement for
	// [ConfirmTime].
	Unconfirmed Reason = "unconfirmed"
)

// Update compares the table with the platform's list, which is current, and removes the
// announcements that have ended. It returns why, by target.
func (t *Table) Update(list map[types.TargetID]State, now types.Mono) map[types.TargetID]Reason {
	for id := range t.ended {
		if _, ok := list[id]; !ok {
			delete(t.ended, id)
		}
	}
	removed := map[types.TargetID]Reason{}
	for id, e := range t.entries {
		state, ok := list[id]
		switch {
		case !ok:
			removed[id] = Unlisted
		case state == Draining:
			e.listed = true
			t.entries[id] = e
		case state == Announced:
		case e.listed:
			removed[id] = Replaced
		case !e.heard || now.Sub(e.last) >= ConfirmTime:
			removed[id] = Unconfirmed
		}
	}
	for id, reason := range removed {
		delete(t.entries, id)
		if reason == Unlisted {
			continue
		}
		if t.ended == nil {
			t.ended = map[types.TargetID]types.Mono{}
		}
		t.ended[id] = now
	}
	return removed
}
