package types

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBootClock returns a clock that also counts the time for which the machine
// was suspended, as everything must that says "not later than". Where the
// system has no such clock it returns [NewClock].
func NewBootClock() Clock {
	start, err := bootTime()
	if err != nil {
		return NewClock()
	}
	return func() Mono {
		now, err := bootTime()
		if err != nil {
			now = start // It answered before; the system call has no other failure.
		}
		return Mono(now - start)
	}
}

func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
