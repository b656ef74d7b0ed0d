package fleet_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// listed returns an entry of the platform's list.
func listed(id types.TargetID, address string, draining bool) fleet.Target {
	return fleet.Target{ID: id, Service: "models", Address: address, Zone: "zone-a", Slots: 4, Draining: draining}
}

// foreign returns an entry of another writer, under another service.
func foreign(id types.TargetID, address string, draining bool) fleet.Target {
	t := listed(id, address, draining)
	t.Service = "other"
	return t
}

// TestConflictingEntriesNameOneTarget guards against an entry of another writer that keeps a
// draining target in use, or takes a target from its service: it names the ID or the address
// of a target that was listed before.
func TestConflictingEntriesNameOneTarget(t *testing.T) {
	const ready, draining = false, true
	a, b := listed("a", "10.0.0.1:80", ready), listed("b", "10.0.0.2:80", ready)
	aDrains, bDrains := listed("a", "10.0.0.1:80", draining), listed("b", "10.0.0.2:80", draining)
	for _, test := range []struct {
		name          string
		before, after []fleet.Target
		want          []fleet.Target
		dropped       int
	}{
		{"no conflict", nil, []fleet.Target{b, a}, []fleet.Target{a, b}, 0},
		{"the same entry twice", nil, []fleet.Target{a, a, b}, []fleet.Target{a, b}, 1},
		{"draining wins over a later ready", nil, []fleet.Target{aDrains, a, b}, []fleet.Target{aDrains, b}, 1},
		{"draining wins over an earlier ready", nil, []fleet.Target{a, b, aDrains}, []fleet.Target{aDrains, b}, 1},
		{"new entry with the ID, ready", []fleet.Target{a, b}, []fleet.Target{foreign("a", "10.0.0.9:80", ready), aDrains, b}, []fleet.Target{aDrains, b}, 1},
		{"new entry with the ID, draining", []fleet.Target{a, b}, []fleet.Target{foreign("a", "10.0.0.9:80", draining), a, b}, []fleet.Target{aDrains, b}, 1},
		{"new entry with the address, ready", []fleet.Target{b}, []fleet.Target{foreign("0", "10.0.0.2:80", ready), bDrains}, []fleet.Target{bDrains}, 1},
		{"new entry with the address, draining", []fleet.Target{b}, []fleet.Target{foreign("0", "10.0.0.2:80", draining), b}, []fleet.Target{bDrains}, 1},
		{"new entry with the ID of one and the address of another", []fleet.Target{a, b}, []fleet.Target{foreign("a", "10.0.0.2:80", draining), a, b}, []fleet.Target{aDrains, bDrains}, 1},
		{"the older entry is gone", []fleet.Target{a}, []fleet.Target{foreign("0", "10.0.0.1:80", ready)}, []fleet.Target{foreign("0", "10.0.0.1:80", ready)}, 0},
	} {
		var l fleet.Listings
		l.Merge(test.before, types.Mono(time.Second))
		got, added, dropped := l.Merge(test.after, types.Mono(2*time.Second))
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: targets (-want +got):\n%s", test.name, diff)
		}
		if dropped != test.dropped || len(added) != test.dropped {
			t.Errorf("%s: %d entries dropped, conflicts %+v, want %d", test.name, dropped, added, test.dropped)
		}
		if _, again, _ := l.Merge(test.after, types.Mono(3*time.Second)); len(again) > 0 {
			t.Errorf("%s: conflicts that are not new: %+v", test.name, again)
		}
	}
}

// TestEntryKeepsAgeWhileMissing guards against losing a target to the entry of another writer
// since one fetch of the list missed the target's own entry, and against ages that are kept
// forever.
func TestEntryKeepsAgeWhileMissing(t *testing.T) {
	own, other := listed("b", "10.0.0.2:80", false), foreign("0", "10.0.0.2:80", false)
	for missing, want := range map[time.Duration]fleet.Target{2 * time.Second: own, 11 * time.Second: other} {
		var l fleet.Listings
		l.Merge([]fleet.Target{own}, types.Mono(time.Second))
		for at := time.Second; at < missing; at += time.Second {
			l.Merge([]fleet.Target{other}, types.Mono(time.Second+at))
		}
		got, _, _ := l.Merge([]fleet.Target{own, other}, types.Mono(time.Second+missing))
		if diff := cmp.Diff([]fleet.Target{want}, got); diff != "" {
			t.Errorf("missing for %v (-want +got):\n%s", missing, diff)
		}
	}
}
