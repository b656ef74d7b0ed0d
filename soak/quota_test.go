package soak_test

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/host"
)

// hostLimits is what the hosts of a role have. A limit of 0 is not enforced.
type hostLimits struct {
	share    float64 // of a processor
	memoryMB int     // in units of 2^20 bytes
	files    uint64  // descriptors
	linkMbps float64 // between hosts, in either direction
}

// deploymentLimits are those of a deployment that users run.
var deploymentLimits = map[host.NodeRole]hostLimits{
	host.NodeEntry:   {share: 0.192, memoryMB: 184, files: 4100, linkMbps: 30},
	host.NodeStore:   {share: 0.272, memoryMB: 324, files: 8200, linkMbps: 130},
	host.NodeControl: {share: 0.96, memoryMB: 280, files: 4096, linkMbps: 1000},
}

const (
	// quotaPeriod is the time for which a process gets its share of the processor at once.
	quotaPeriod = 100 * time.Millisecond
	// limitsInterval is how often limits other than that of the processor are checked.
	limitsInterval = 200 * time.Millisecond
)

// quota is why a process does not run though it has not exited. Both a fault and the quota of
// processor time stop it; it runs only while neither does.
type quota struct {
	spent  bool // its share of the current period is over
	frozen bool // by a fault
	// slowness divides the share of the processor, by a fault; 0 means 1.
	slowness int
}

// processEnd is the end of a process that the test has not stopped.
type processEnd struct {
	at     time.Time
	reason string
}

// enforceLimits holds a process to the limits of its host until it has exited. The periods of
// the hosts are spread, so that they do not run in step.
func (f *fleet) enforceLimits(h *testHost, cmd *exec.Cmd, exited <-chan struct{}) {
	limits := f.size.limits[h.role]
	if limits.files > 0 {
		// The process may have exited.
		_ = unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limits.files, Max: limits.files}, nil)
	}
	if limits.share > 0 {
		phase := time.Duration(h.number*37%100) * quotaPeriod / 100
		go h.limitProcessor(cmd, exited, time.Duration(limits.share*float64(quotaPeriod)), phase)
	}
	if limits.memoryMB > 0 {
		go h.limitMemory(cmd, exited, limits)
	}
}

// limitProcessor lets a process run for the given time of each quotaPeriod.
func (h *testHost) limitProcessor(cmd *exec.Cmd, exited <-chan struct{}, run, phase time.Duration) {
	timer := time.NewTimer(phase)
	defer timer.Stop()
	begin := time.Now().Add(phase) // of the current period
	for running := false; ; {
		select {
		case <-exited:
			return
		case <-timer.C:
		}
		running = !running
		h.setSpent(cmd, !running)
		if !running {
			timer.Reset(time.Until(begin.Add(quotaPeriod)))
			continue
		}
		for time.Since(begin) >= quotaPeriod {
			begin = begin.Add(quotaPeriod)
		}
		timer.Reset(run / time.Duration(h.slowness())) // Whole, also if the test was scheduled late.
	}
}

// slowness returns by how much a fault slows a host down.
func (h *testHost) slowness() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(1, h.quota.slowness)
}

// slowDown gives a host a seventh of its share of the processor for d.
func (f *fleet) slowDown(h *testHost, d time.Duration) {
	set := func(slowness int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.quota.slowness = slowness
	}
	set(7)
	time.Sleep(d)
	set(1)
	h.disturbedAt = time.Now()
}

// setSpent stops a process, or continues it unless a fault has frozen it.
func (h *testHost) setSpent(cmd *exec.Cmd, spent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.process == nil || h.process == cmd // nil while the process ends.
	if !current {
		return // Another process has taken its place, so this one has exited.
	}
	h.quota.spent = spent
	switch {
	case spent:
		_ = cmd.Process.Signal(syscall.SIGSTOP) // The process may have exited.
	case !h.quota.frozen:
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
}

// limitMemory kills a process whose anonymous memory exceeds the limit, as the platform does.
func (h *testHost) limitMemory(cmd *exec.Cmd, exited <-chan struct{}, limits hostLimits) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(limitsInterval):
		}
		used, ok := anonymousMemory(cmd.Process.Pid)
		if !ok {
			continue
		}
		h.mu.Lock()
		h.peakMemory = max(h.peakMemory, used)
		if used > limits.memoryMB<<20 {
			h.ends = append(h.ends, processEnd{at: time.Now(), reason: fmt.Sprintf("killed: %d MB of memory used, %d allowed", used>>20, limits.memoryMB)})
			_ = cmd.Process.Kill()
			h.mu.Unlock()
			<-exited
			return
		}
		h.mu.Unlock()
	}
}

// anonymousMemory returns the resident memory of a process that no file backs, in bytes.
func anonymousMemory(pid int) (int, bool) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for lines := bufio.NewScanner(bytes.NewReader(b)); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kb << 10, err == nil
		}
	}
	return 0, false // The process has exited.
}

// recordEnd records the end of a process if the test has not stopped it.
func (h *testHost) recordEnd(cmd *exec.Cmd) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == cmd {
		h.ends = append(h.ends, processEnd{at: time.Now(), reason: cmd.ProcessState.String()})
	}
}

// ownEndTime is the time after a fault of a host in which its process may end by itself.
const ownEndTime = time.Second

// checkEnds checks that no process has ended by itself, unless a fault of its host excuses
// it. Nothing excuses a process that exceeds its memory.
func (d *deployment) checkEnds() {
	peaks := map[host.NodeRole]int{}
	for _, h := range d.fleet.started {
		h.mu.Lock()
		ends := h.ends
		peaks[h.role] = max(peaks[h.role], h.peakMemory)
		h.mu.Unlock()
		for _, e := range ends {
			if strings.HasPrefix(e.reason, "killed") || !d.isFaulty(h.name, e.at, e.at.Add(-ownEndTime)) {
				d.t.Errorf("%s ended by itself at %.3f: %s", h.name, e.at.Sub(d.started).Seconds(), e.reason)
			}
		}
	}
	for role, bytes := range peaks {
		d.t.Logf("%s hosts used at most %d MB of memory of %d", role, bytes>>20, d.fleet.size.limits[role].memoryMB)
	}
}

// isFaulty reports whether a fault of a host, or of a group of hosts, was active before a time
// and has not ended before another one.
func (d *deployment) isFaulty(name string, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.faults {
		if !p.planned && (p.host == name || p.host == "group") && p.from.Before(from) && (p.to.IsZero() || p.to.After(to)) {
			return true
		}
	}
	return false
}
