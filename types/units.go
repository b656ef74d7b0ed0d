package types

import "time"

// Mono is a reading of a process's monotonic clock: the time since that
// process started. Readings of different processes are not comparable.
type Mono time.Duration

// Add returns the reading d later than m.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the time from o to m.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

// LogTime is the time that a shard group's log carries, in nanoseconds since
// the group's first record. It never runs backwards and never runs faster
// than real time.
type LogTime int64

// Add returns the time d later than t.
func (t LogTime) Add(d time.Duration) LogTime { return t + LogTime(d) }

// Sub returns the time from o to t.
func (t LogTime) Sub(o LogTime) time.Duration { return time.Duration(t - o) }

// PartHash names a part of prompts among those that hosts know.
type PartHash uint64

// Tokens counts tokens of a model.
type Tokens int64

// PerSecond is a rate of requests per second.
type PerSecond float64

// Bytes counts bytes.
type Bytes int64

// Clock reads a process's monotonic clock.
type Clock func() Mono

// NewClock returns a clock that starts at zero now. It is safe for concurrent
// use. Under testing/synctest it follows the test's clock.
func NewClock() Clock {
	start := time.Now()
	return func() Mono { return Mono(time.Since(start)) }
}
