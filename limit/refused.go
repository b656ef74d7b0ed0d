package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// refusedTime is for how long a turn that was refused precedes others. It covers the tries of a caller:
	// three turns of two attempts each, a second and less apart.
	refusedTime = 8 * time.Second
	// refusedSweep is the pause between two removals of turns that no longer do.
	refusedSweep = time.Second
	// maxRefused is how many such turns an issuer holds, 16 B each, and a holder until it has told the issuer.
	maxRefused = 4096
)

// refusedTurns holds the turns that holders have refused, and when they were first. The zero value is
// ready to use. It is not safe for concurrent use.
type refusedTurns struct {
	at      map[TurnKey]types.Mono // at most maxRefused
	sweepAt types.Mono
}

func (r *refusedTurns) add(keys []TurnKey, now types.Mono) {
	if now >= r.sweepAt {
		r.sweepAt = now.Add(refusedSweep)
		for key, at := range r.at {
			if now.Sub(at) > refusedTime {
				delete(r.at, key)
			}
		}
	}
	for _, key := range keys[:min(len(keys), maxKeys)] {
		if _, ok := r.at[key]; ok || len(r.at) >= maxRefused {
			continue
		}
		if r.at == nil {
			r.at = map[TurnKey]types.Mono{}
		}
		r.at[key] = now
	}
}

// among returns those of keys that were refused.
func (r *refusedTurns) among(keys []TurnKey, now types.Mono) (refused []TurnKey) {
	for _, key := range keys[:min(len(keys), maxKeys)] {
		if at, ok := r.at[key]; ok && now.Sub(at) <= refusedTime {
			refused = append(refused, key)
		}
	}
	return refused
}
