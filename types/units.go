package types

import "time"

// Mono is a reading of a monotonic [Clock]: the time since the clock was created.
// Readings of different clocks, and so of different processes, are not
// comparable.
type Mono time.Duration

// Add returns m + d.
func (m Mono) Add(d time.Duration) Mono { return m + Mono(d) }

// Sub returns the duration m - o.
func (m Mono) Sub(o Mono) time.Duration { return time.Duration(m - o) }

// LogTime is the replicated clock of a shard group, in nanoseconds since the
// first record of the group's log. It never goes backwards and never advances
// faster than real time.
type LogTime int64

// Add returns t + d.
func (t LogTime) Add(d time.Duration) LogTime { return t + LogTime(d) }

// Sub returns the duration t - o.
func (t LogTime) Sub(o LogTime) time.Duration { return time.Duration(t - o) }

// PartHash is a hash that identifies a part of a prompt between hosts.
type PartHash uint64

// Tokens is a number of model tokens.
type Tokens int64

// PerSecond is a rate of requests per second.
type PerSecond float64

// Bytes is a number of bytes.
type Bytes int64

// Clock reads a process's monotonic clock.
type Clock func() Mono

// NewClock returns a clock that starts at zero now. It is safe for concurrent
// use. Under testing/synctest it uses the fake clock of the test.
func NewClock() Clock {
	start := time.Now()
	return func() Mono { return Mono(time.Since(start)) }
}
