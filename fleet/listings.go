package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// listingMemory is how long an entry that is missing from the platform's list keeps its age.
// A fetch of the list may miss an entry that a writer is about to replace.
const listingMemory = 10 * time.Second

// entryKey identifies an entry of the platform's list, whatever it says about the state.
type entryKey struct {
	id      types.TargetID
	service types.ServiceID
	address string
	zone    types.ZoneID
}

func keyOf(t Target) entryKey {
	return entryKey{id: t.ID, service: t.Service, address: t.Address, zone: t.Zone}
}

// listing is when the platform's list first and last had an entry.
type listing struct {
	first, last types.Mono
}

// Conflict is an entry of the platform's list that names the ID or the address of another
// entry.
type Conflict struct {
	// Kept is the entry that counts, and Dropped the one that does not.
	Kept, Dropped Target
	// KeptAge and DroppedAge are the times since this host first saw the entries.
	KeptAge, DroppedAge time.Duration
}

// Listings merges the entries of the platform's list that name the same target. The zero
// value is ready to use. It is not safe for concurrent use.
type Listings struct {
	// known has the entries of the last listingMemory.
	known map[entryKey]listing
	// conflicting has the dropped entries of the last list.
	conflicting map[entryKey]bool
}

// Merge returns the targets that a list names, sorted by ID, with different IDs and
// addresses. Of the entries with the same ID or address, the one counts that has been listed
// longest, so that an entry of another writer takes nothing from the others. It drains if
// any of them says so. Merge also returns the conflicts that the list before did not have,
// and how many entries were dropped.
func (l *Listings) Merge(list []Target, now types.Mono) (merged []Target, added []Conflict, dropped int) {
	l.update(list, now)
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b Target) int {
		return cmp.Or(cmp.Compare(l.known[keyOf(a)].first, l.known[keyOf(b)].first), cmp.Compare(a.ID, b.ID),
			cmp.Compare(a.Address, b.Address), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Slots, b.Slots))
	})
	byID, byAddress := map[types.TargetID]int{}, map[string]int{} // indexes into merged
	conflicting := map[entryKey]bool{}
	for _, t := range list {
		i, sameID := byID[t.ID]
		j, sameAddress := byAddress[t.Address]
		if !sameID && !sameAddress {
			byID[t.ID], byAddress[t.Address] = len(merged), len(merged)
			merged = append(merged, t)
			continue
		}
		if sameID {
			merged[i].Draining = merged[i].Draining || t.Draining
		} else {
			i = j
		}
		if sameAddress {
			merged[j].Draining = merged[j].Draining || t.Draining
		}
		dropped++
		if key := keyOf(t); !conflicting[key] {
			conflicting[key] = true
			if !l.conflicting[key] {
				kept := merged[i]
				added = append(added, Conflict{Kept: kept, Dropped: t, KeptAge: now.Sub(l.known[keyOf(kept)].first), DroppedAge: now.Sub(l.known[key].first)})
			}
		}
	}
	l.conflicting = conflicting
	slices.SortFunc(merged, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return merged, added, dropped
}

// update records which entries a list has, and forgets those that have been missing for
// listingMemory.
func (l *Listings) update(list []Target, now types.Mono) {
	if l.known == nil {
		l.known = map[entryKey]listing{}
	}
	maps.DeleteFunc(l.known, func(_ entryKey, k listing) bool { return now.Sub(k.last) > listingMemory })
	for _, t := range list {
		key := keyOf(t)
		known, ok := l.known[key]
		if !ok {
			known.first = now
		}
		known.last = now
		l.known[key] = known
	}
}
