package sched

import (
	"math"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// FairShare assigns fair-share priorities: keys, such as client accounts, that have
// recently received more service get a lower priority, so that a burst of calls
// from one does not delay the others. The zero value is ready to use. It is safe
// for concurrent use.
type FairShare[K comparable] struct {
	// HalfLife is the half-life by which recorded service decays. The default
	// is 30 seconds.
	HalfLife time.Duration

	mu   sync.Mutex
	used map[K]decayedUsage
}

// decayedUsage is the decayed service of one key as of a time.
type decayedUsage struct {
	tokens float64
	at     types.Mono
}

const (
	defaultHalfLife = 30 * time.Second
	// maxPriority is the maximum priority; the minimum is -maxPriority.
	maxPriority = 8
	// stepsPerDoubling is how much the priority falls when the service doubles.
	stepsPerDoubling = 2
	// minTokens is the decayed number of tokens below which a key is dropped.
	minTokens = 1
)

// AddUsage records service to a key: the number of tokens that were prefilled and
// generated for it.
func (f *FairShare[K]) AddUsage(key K, tokens types.Tokens, now types.Mono) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.used == nil {
		f.used = map[K]decayedUsage{}
	}
	f.used[key] = decayedUsage{tokens: f.decayedTokens(f.used[key], now) + float64(tokens), at: now}
}

// Priority returns the priority of the key's next call, from -8 to 8; calls with a
// higher priority go first. A key with the average service has priority 0, and
// each doubling of its service lowers the priority by 2.
func (f *FairShare[K]) Priority(key K, now types.Mono) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := f.mean(now)
	own := f.decayedTokens(f.used[key], now)
	if mean == 0 {
		return 0
	}
	level := stepsPerDoubling * math.Log2(mean/math.Max(own, minTokens))
	return int(math.Round(math.Min(maxPriority, math.Max(-maxPriority, level))))
}

// mean returns the average service of all keys that were served recently, and
// drops the others.
func (f *FairShare[K]) mean(now types.Mono) float64 {
	sum := 0.0
	for key, u := range f.used {
		tokens := f.decayedTokens(u, now)
		if tokens < minTokens {
			delete(f.used, key)
			continue
		}
		sum += tokens
	}
	if len(f.used) == 0 {
		return 0
	}
	return sum / float64(len(f.used))
}

func (f *FairShare[K]) decayedTokens(u decayedUsage, now types.Mono) float64 {
	halfLife := f.HalfLife
	if halfLife == 0 {
		halfLife = defaultHalfLife
	}
	return u.tokens * math.Exp2(-now.Sub(u.at).Seconds()/halfLife.Seconds())
}
