package types

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBootClock returns a clock that starts at zero now and includes time during
// which the machine is suspended. Upper bounds on elapsed time, such as the expiry
// of a lease, need this clock. If the system does not provide CLOCK_BOOTTIME,
// NewBootClock falls back to [NewClock]. The returned clock is safe for concurrent
// use.
func NewBootClock() Clock {
	start, err := bootTime()
	if err != nil {
		return NewClock()
	}
	return func() Mono {
		now, err := bootTime()
		if err != nil {
			// Not expected: the system call fails only if the clock is missing,
			// and the first reading succeeded.
			now = start
		}
		return Mono(now - start)
	}
}

// bootTime returns the time since the machine booted, suspension included.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
