package limit

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Limit is what a client account may use. The zero value admits nothing.
type Limit struct {
	// Rate is the sustained rate, in requests per second.
	Rate types.PerSecond `json:"rate"`
	// Burst is how many requests may come at once, after a pause.
	Burst int `json:"burst"`
	// Version is the configuration version that the limit comes from.
	Version types.Version `json:"version"`
}

// Bucket is a token bucket over log time. Since log time never runs faster
// than real time, no window of real time sees more than burst plus rate times
// its length. The zero value is a full bucket without a limit; call
// [Bucket.Adjust] before use.
type Bucket struct {
	Limit Limit         `json:"limit"`
	Level float64       `json:"level"` // 0 <= Level <= Limit.Burst
	At    types.LogTime `json:"at"`    // when Level was true; never falls
}

// Adjust brings a newer limit into force. A new bucket starts full; a limit
// that is older than the one in force is ignored.
func (b *Bucket) Adjust(at types.LogTime, l Limit) {
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

// Take spends one request and reports whether there was one to spend.
func (b *Bucket) Take(at types.LogTime) bool {
	b.refill(at)
	if b.Level < 1 {
		return false
	}
	b.Level--
	return true
}

// Wait returns how long it takes, from the given time on, until the bucket
// holds n requests. It changes nothing.
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

// Never stands for a wait without end.
const Never = time.Duration(1<<63 - 1)

func (b *Bucket) refill(at types.LogTime) {
	if at <= b.At {
		return
	}
	b.Level += at.Sub(b.At).Seconds() * float64(b.Limit.Rate)
	b.Level = min(b.Level, float64(b.Limit.Burst))
	b.At = at
}
