package fleet

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// CachedParts lists, for each target, the shared parts of prompts that it is
// assumed to have in its prompt cache.
type CachedParts map[types.TargetID][]types.PartHash

// Cursor is a position in a leader's sequence of reports on cached parts. The
// zero value precedes all reports.
type Cursor struct {
	// TableID identifies the leader's table. A new leader starts a new one.
	TableID string `json:"table,omitempty"`
	// Next is the sequence number of the next report.
	Next uint64 `json:"next,omitempty"`
}

const (
	// CachedPartTTL is how long a target is assumed to keep an unused part in its
	// prompt cache. Engines evict the least recently used parts, and a busy
	// engine replaces the content of its whole cache in about this time.
	CachedPartTTL = 15 * time.Second
	// cachedPartRefresh is the minimum interval between two reports of the same
	// part on the same target that are distributed to hosts.
	cachedPartRefresh = CachedPartTTL * 2 / 5
)

// cachedPartTable collects the hosts' reports on the parts that targets have
// cached, for distribution to all hosts. A part is distributed once, and again
// every cachedPartRefresh while hosts keep reporting it. The zero value is ready
// to use. It is not safe for concurrent use.
type cachedPartTable struct {
	id         string                    // random, set by the first call of record
	reportedAt map[cachedPart]types.Mono // when each part was added to reports last
	reports    []partReport              // ordered by time
	dropped    uint64                    // number of reports removed from the front of reports
}

// cachedPart identifies a part in the prompt cache of a target.
type cachedPart struct {
	target types.TargetID
	part   types.PartHash
}

type partReport struct {
	cachedPart
	at types.Mono
}

// record adds a host's report, and removes expired ones.
func (t *cachedPartTable) record(cached CachedParts, now types.Mono) {
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

// expire removes reports that are older than [CachedPartTTL].
func (t *cachedPartTable) expire(now types.Mono) {
	expired := 0
	for expired < len(t.reports) && now.Sub(t.reports[expired].at) > CachedPartTTL {
		r := t.reports[expired]
		if t.reportedAt[r.cachedPart] == r.at {
			delete(t.reportedAt, r.cachedPart)
		}
		expired++
	}
	t.reports = t.reports[expired:]
	t.dropped += uint64(expired)
}

// since returns the parts reported since cursor, and the current end of the
// sequence. It returns all parts if cursor belongs to another table.
func (t *cachedPartTable) since(cursor Cursor) (CachedParts, Cursor) {
	first := 0
	if cursor.TableID == t.id && cursor.Next > t.dropped {
		first = int(min(cursor.Next-t.dropped, uint64(len(t.reports))))
	}
	var cached CachedParts
	for _, r := range t.reports[first:] {
		if cached == nil {
			cached = CachedParts{}
		}
		cached[r.target] = append(cached[r.target], r.part)
	}
	return cached, Cursor{TableID: t.id, Next: t.dropped + uint64(len(t.reports))}
}
