package sched

import (
	"math"
	"sync"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Fair gives a lower priority to whoever has been served more of late, so that
// one client account's rush does not hold up the others. The zero value is
// ready. It is safe for concurrent use.
type Fair[K comparable] struct {
	// HalfLife is the time in which service counts half. The default is 30
	// seconds.
	HalfLife time.Duration

	mu   sync.Mutex
	used map[K]usage
}

// usage is the service that was attained, as of a moment.
type usage struct {
	tokens float64
	at     types.Mono
}

const (
	defaultHalfLife = 30 * time.Second
	// maxPriority bounds priorities on both sides of 0.
	maxPriority = 8
	// steps is how many priorities lie between one amount and twice as much.
	steps = 2
	// forgotten is the number of tokens below which an account is dropped.
	forgotten = 1
)

// Note counts service: tokens computed and generated.
func (f *Fair[K]) Note(k K, tokens types.Tokens, now types.Mono) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.used == nil {
		f.used = map[K]usage{}
	}
	f.used[k] = usage{tokens: f.decayed(f.used[k], now) + float64(tokens), at: now}
}

// Priority returns the priority of the next call, from -8 to 8; higher goes
// first. Whoever has had the average has 0, and each doubling costs 2.
func (f *Fair[K]) Priority(k K, now types.Mono) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	mean := f.mean(now)
	own := f.decayed(f.used[k], now)
	if mean == 0 {
		return 0
	}
	level := steps * math.Log2(mean/math.Max(own, forgotten))
	return int(math.Round(math.Min(maxPriority, math.Max(-maxPriority, level))))
}

// mean returns the average service of those who were served of late, and
// forgets the others.
func (f *Fair[K]) mean(now types.Mono) float64 {
	sum := 0.0
	for k, u := range f.used {
		tokens := f.decayed(u, now)
		if tokens < forgotten {
			delete(f.used, k)
			continue
		}
		sum += tokens
	}
	if len(f.used) == 0 {
		return 0
	}
	return sum / float64(len(f.used))
}

func (f *Fair[K]) decayed(u usage, now types.Mono) float64 {
	halfLife := f.HalfLife
	if halfLife == 0 {
		halfLife = defaultHalfLife
	}
	return u.tokens * math.Exp2(-now.Sub(u.at).Seconds()/halfLife.Seconds())
}
