package fleet

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Holdings are shared parts of prompts, by the targets that have read them.
type Holdings map[types.TargetID][]types.PartHash

// Mark is a point in what a leader has heard of holdings. The zero value is
// before all of it.
type Mark struct {
	TableID string `json:"table,omitempty"` // names the run of the leader
	Next    uint64 `json:"next,omitempty"`
}

const (
	// HoldingLife is for how long a target is taken to hold a part that it has
	// read and that nobody has used since: engines drop what was used least
	// recently, and a busy one fills its memory anew in about that time.
	HoldingLife = 15 * time.Second
	// cachedPartRefresh is how soon a holding that is still used is told again.
	cachedPartRefresh = HoldingLife * 2 / 5
)

// cachedPartTable is what hosts report of holdings. Each is told once, and again from
// time to time while it is used. The zero value is ready; it is not safe for
// concurrent use.
type cachedPartTable struct {
	id         string
	reportedAt map[cachedPart]types.Mono
	reports    []partReport // in the order of their time
	dropped    uint64       // how many have been dropped from the front of news
}

type cachedPart struct {
	target types.TargetID
	part   types.PartHash
}

type partReport struct {
	cachedPart
	at types.Mono
}

// record takes a host's report.
func (t *cachedPartTable) record(cached Holdings, now types.Mono) {
	if t.reportedAt == nil {
		t.id, t.reportedAt = types.RandomID(), map[cachedPart]types.Mono{}
	}
	t.expire(now)
	for target, parts := range cached {
		for _, part := range parts {
			key := cachedPart{target, part}
			if at, ok := t.reportedAt[key]; ok && now.Sub(at) < cachedPartRefresh {
				continue
			}
			t.reportedAt[key] = now
			t.reports = append(t.reports, partReport{key, now})
		}
	}
}

// expire drops what was told too long ago.
func (t *cachedPartTable) expire(now types.Mono) {
	expired := 0
	for expired < len(t.reports) && now.Sub(t.reports[expired].at) > HoldingLife {
		r := t.reports[expired]
		if t.reportedAt[r.cachedPart] == r.at {
			delete(t.reportedAt, r.cachedPart)
		}
		expired++
	}
	t.reports = t.reports[expired:]
	t.dropped += uint64(expired)
}

// since returns what was told after a mark, and the mark of now.
func (t *cachedPartTable) since(cursor Mark) (Holdings, Mark) {
	first := 0
	if cursor.TableID == t.id && cursor.Next > t.dropped {
		first = int(min(cursor.Next-t.dropped, uint64(len(t.reports))))
	}
	var cached Holdings
	for _, r := range t.reports[first:] {
		if cached == nil {
			cached = Holdings{}
		}
		cached[r.target] = append(cached[r.target], r.part)
	}
	return cached, Mark{TableID: t.id, Next: t.dropped + uint64(len(t.reports))}
}
