package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/host"
)

// TestProcessLimits guards against processes that get more than their share of the processor
// or of descriptors, and against a quota that continues a process which a fault has frozen, or
// that a fault's end removes.
func TestProcessLimits(t *testing.T) {
	const share, files, span = 0.2, 321, 2 * time.Second
	f := &fleet{t: t, size: fleetSize{limits: map[host.NodeRole]hostLimits{host.NodeEntry: {share: share, files: files}}}}
	cmd, exited := exec.Command("sh", "-c", "while :; do :; done"), make(chan struct{})
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = cmd.Wait() // The test kills it.
		close(exited)
	}()
	h := &testHost{t: t, role: host.NodeEntry, process: cmd, exited: exited} // Its first period begins at once.
	f.enforceLimits(h, cmd, exited)
	defer h.stop(syscall.SIGKILL)
	var limit unix.Rlimit
	if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, nil, &limit); err != nil || limit.Cur != files || limit.Max != files {
		t.Errorf("the limit of descriptors is %+v, %v, want %d", limit, err, files)
	}
	used := func(d time.Duration) time.Duration {
		before := processorTime(t, cmd.Process.Pid)
		time.Sleep(d)
		return processorTime(t, cmd.Process.Pid) - before
	}
	// The part of a period more than whole ones, and some delay of each signal.
	most := time.Duration(share*float64(span)) * 3 / 2
	running := used(span)
	h.signal(syscall.SIGSTOP)
	time.Sleep(20 * time.Millisecond)
	frozen := used(span)
	h.signal(syscall.SIGCONT)
	again := used(span)
	t.Logf("of %v used %v, %v while frozen, %v after that", span, running, frozen, again)
	if running == 0 || running > most || again == 0 || again > most {
		t.Errorf("the process used %v and %v of %v, its share is %.2f", running, again, span, share)
	}
	if frozen > 0 {
		t.Errorf("the process used %v while a fault had frozen it", frozen)
	}
}

// processorTime returns the processor time that a process has used, in steps of 10 ms.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:])) // From the state on.
	user, _ := strconv.Atoi(fields[11])                                           // Written by the kernel.
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
