package soak_test

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxReportWait is how long a host may wait for the test to read what it reports of its disk: the time from which on
// stores log a write as slow.
const maxReportWait = 250 * time.Millisecond

// reportOwnLoad logs what the test itself has taken: its processor time, with that of all callers and targets, and how long hosts have waited
// for it to read what they report of their disks. That includes the time in which a host has used up its share of the processor, so that
// it does not fail a run, and tells that its times of writes do not count.
func (d *deployment) reportOwnLoad() {
	var used unix.Rusage
	if err := unix.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		d.t.Fatal(err)
	}
	processor := time.Duration(used.Utime.Nano() + used.Stime.Nano())
	var longest time.Duration
	for _, h := range d.fleet.hosts {
		if h.disk != nil {
			longest = max(longest, h.disk.LongestWait())
		}
	}
	elapsed := time.Since(d.started)
	d.t.Logf("the test used %.2f processors, %v in %v; hosts waited for %v at most to report what they did with their disks; load average %s",
		processor.Seconds()/elapsed.Seconds(), processor.Round(time.Millisecond), elapsed.Round(time.Millisecond), longest.Round(time.Millisecond), loadAverage())
	if longest > maxReportWait {
		d.t.Logf("not measured: a host has waited for %v to report what it did with its disk, which counts as a slow write from %v on", longest, maxReportWait)
	}
}
