package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/drain"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// DrainStates returns what a list that the leader has sent says about targets.
func DrainStates(list []Target) map[types.TargetID]drain.State {
	states := make(map[types.TargetID]drain.State, len(list))
	for _, t := range list {
		switch {
		case t.Announced:
			states[t.ID] = drain.Announced
		case t.Draining:
			states[t.ID] = drain.Draining
		default:
			states[t.ID] = drain.Ready
		}
	}
	return states
}

// LogDrainsEnded logs that announcements of targets that they drain have ended.
func LogDrainsEnded(log event.Log, ended map[types.TargetID]drain.Reason) {
	for id, reason := range ended {
		log.Write(event.TargetDrainEnded, event.Fields{"target": id, "reason": reason})
	}
}

// recordAnnouncements records which targets have announced to a host that they drain, and
// reports whether one was not known to. It must be called within asLeader.
func (c *Control) recordAnnouncements(ages map[types.TargetID]time.Duration, now types.Mono) (changed bool) {
	for id, age := range ages {
		heardAt := now.Add(-age)
		if age >= drain.ConfirmTime || !c.listed(id) || !c.draining.Announce(id, heardAt, heardAt) {
			continue
		}
		c.Log.Write(event.TargetDraining, event.Fields{"target": id, "ageMs": age.Milliseconds()})
		changed = true
	}
	if changed {
		c.mergeTargets()
	}
	return changed
}

// listed reports whether the platform's list contains a target.
func (c *Control) listed(id types.TargetID) bool {
	return slices.ContainsFunc(c.platformTargets, func(t Target) bool { return t.ID == id })
}

// mergeTargets sets the targets that hosts get: the platform's list, with those draining
// that have announced it. It must be called within asLeader.
func (c *Control) mergeTargets() {
	list := slices.Clone(c.platformTargets)
	for i, t := range list {
		if !t.Draining && c.draining.Has(t.ID) {
			list[i].Draining, list[i].Announced = true, true
		}
	}
	c.targets = Targets{Checksum: max(1, xxhash.Sum64(append(types.Encode(list), c.coldRevisions()...))), List: list}
}
