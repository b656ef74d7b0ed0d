package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Limit is the rate limit of a client account. The zero value admits nothing.
type Limit struct {
	// Rate is the sustained rate, in requests per second.
	Rate types.PerSecond `json:"rate"`
	// Burst is how many requests may be admitted at once after a pause.
	Burst int `json:"burst"`
	// Version is the configuration version that the limit comes from.
	Version types.Version `json:"version"`
}

// Bucket is a token bucket over log time. Since log time never runs faster than
// real time, a window of real time admits at most burst plus rate times its
// length. The zero value has no limit; call [Bucket.SetLimit] before use.
type Bucket struct {
	Limit Limit         `json:"limit"`
	Level float64       `json:"level"` // 0 <= Level <= Limit.Burst
	At    types.LogTime `json:"at"`    // time of Level; never decreases
}

// SetLimit sets a newer limit. A new bucket starts full. A limit whose version is
// not higher than that of the current one is ignored.
func (b *Bucket) SetLimit(at types.LogTime, l Limit) {
	if b.Limit == (Limit{}) {
		*b = Bucket{Limit: l, Level: float64(l.Burst), At: at}
		return
	}
	if l.Version <= b.Limit.Version {
		return
	}
	b.refill(at)
	b.Limit = l
	b.Level = min(b.Level, float64(l.Burst))
}

// Take spends one token and reports whether there was one.
func (b *Bucket) Take(at types.LogTime) bool {
	b.refill(at)
	if b.Level < 1 {
		return false
	}
	b.Level--
	return true
}

// Wait returns the time from at until the bucket has tokens for n requests, or
// [Never] if it never has. It does not modify the bucket.
func (b *Bucket) Wait(at types.LogTime, n int) time.Duration {
	c := *b
	c.refill(at)
	missing := float64(n) - c.Level
	if missing <= 0 {
		return 0
	}
	if c.Limit.Rate <= 0 || n > c.Limit.Burst {
		return Never
	}
	return time.Duration(missing / float64(c.Limit.Rate) * float64(time.Second))
}

// Never is the duration of an endless wait.
const Never = time.Duration(1<<63 - 1)

func (b *Bucket) refill(at types.LogTime) {
	if at <= b.At {
		return
	}
	b.Level += at.Sub(b.At).Seconds() * float64(b.Limit.Rate)
	b.Level = min(b.Level, float64(b.Limit.Burst))
	b.At = at
}
