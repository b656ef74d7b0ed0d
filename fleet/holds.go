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
	Table string `json:"table,omitempty"` // names the run of the leader
	Next  uint64 `json:"next,omitempty"`
}

const (
	// HoldingLife is for how long a target is taken to hold a part that it has
	// read and that nobody has used since: engines drop what was used least
	// recently, and a busy one fills its memory anew in about that time.
	HoldingLife = 15 * time.Second
	// holdingRefresh is how soon a holding that is still used is told again.
	holdingRefresh = HoldingLife * 2 / 5
)

// holdTable is what hosts report of holdings. Each is told once, and again from
// time to time while it is used. The zero value is ready; it is not safe for
// concurrent use.
type holdTable struct {
	name   string
	told   map[holding]types.Mono
	news   []toldHolding // in the order of their time
	before uint64        // how many have been dropped from the front of news
}

type holding struct {
	target types.TargetID
	part   types.PartHash
}

type toldHolding struct {
	holding
	at types.Mono
}

// note takes a host's report.
func (t *holdTable) note(held Holdings, now types.Mono) {
	if t.told == nil {
		t.name, t.told = types.RandomID(), map[holding]types.Mono{}
	}
	t.expire(now)
	for target, parts := range held {
		for _, part := range parts {
			h := holding{target, part}
			if at, ok := t.told[h]; ok && now.Sub(at) < holdingRefresh {
				continue
			}
			t.told[h] = now
			t.news = append(t.news, toldHolding{h, now})
		}
	}
}

// expire drops what was told too long ago.
func (t *holdTable) expire(now types.Mono) {
	old := 0
	for old < len(t.news) && now.Sub(t.news[old].at) > HoldingLife {
		n := t.news[old]
		if t.told[n.holding] == n.at {
			delete(t.told, n.holding)
		}
		old++
	}
	t.news = t.news[old:]
	t.before += uint64(old)
}

// since returns what was told after a mark, and the mark of now.
func (t *holdTable) since(m Mark) (Holdings, Mark) {
	from := 0
	if m.Table == t.name && m.Next > t.before {
		from = int(min(m.Next-t.before, uint64(len(t.news))))
	}
	var held Holdings
	for _, n := range t.news[from:] {
		if held == nil {
			held = Holdings{}
		}
		held[n.target] = append(held[n.target], n.part)
	}
	return held, Mark{Table: t.name, Next: t.before + uint64(len(t.news))}
}
