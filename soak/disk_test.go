package soak_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// changeBound is the time within which a change is acknowledged while no more hosts than
	// tolerated are lost, by the largest deployment (ack_ms).
	changeBound = 5 * time.Second
	// diskFullTime is how long each disk is full.
	diskFullTime = 3 * time.Second
	// exitRestartDelay is the time after which a process that has ended by itself is
	// started again.
	exitRestartDelay = 200 * time.Millisecond
)

// pipeWriter hides the type of a file, so that a process that writes to it does so through
// a pipe, which a limit on the size of its files does not affect.
type pipeWriter struct{ io.Writer }

// fileLimit returns the size beyond which a process can write to files whose disk is full or
// not.
func fileLimit(full bool) uint64 {
	if full {
		return 0
	}
	return math.MaxUint64
}

// fillDisk fills the disk of a host for d. If the host's process ends, it is started again,
// also while the disk is full. fillDisk returns how often the process has ended.
func (f *fleet) fillDisk(h *testHost, d time.Duration) (exits int) {
	start := time.Now()
	for time.Since(start) < d+time.Second { // The process may end late.
		h.limitFiles(fileLimit(time.Since(start) < d))
		if h.hasExited() {
			h.stop(syscall.SIGKILL)
			time.Sleep(exitRestartDelay)
			f.start(h, false)
			exits++
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.disturbedAt = time.Now()
	return exits
}

// putChanges sends a change every 100 ms until ctx ends, to one control host after the other
// until one acknowledges it, and returns the longest time until an acknowledgment.
func (f *fleet) putChanges(ctx context.Context, acked *atomic.Int64) (longest time.Duration) {
	n := 0
	for version := 2; ctx.Err() == nil; version++ {
		start := time.Now()
		for code := 0; code != http.StatusOK && ctx.Err() == nil; n++ {
			if code, _ = f.requestConfig(n, http.MethodPut, planDocument(version)); code == http.StatusOK {
				acked.Store(int64(version))
			} else {
				time.Sleep(50 * time.Millisecond)
			}
		}
		longest = max(longest, time.Since(start))
		time.Sleep(100 * time.Millisecond)
	}
	return longest
}

// TestDisksFullInTurn guards against changes that are refused or stay unanswered, and hosts
// that run and count as lost, when the disks of the control hosts and stores are full one
// after the other: any process may end, none may stay up without its replica, and after the
// last disk has room again, the loss of any control host must be tolerated.
func TestDisksFullInTurn(t *testing.T) {
	c, tg := startServing(t, 11, 3, 2)
	f := c.fleet
	f.waitRecovered()
	stop := c.runInBackground(11)
	ctx, cancel := context.WithCancel(context.Background())
	var acked atomic.Int64
	acked.Store(1)
	var longest time.Duration
	var g errgroup.Group
	g.Go(func() error { longest = f.putChanges(ctx, &acked); return nil })
	for _, h := range f.hosts[:6] {
		start := time.Now()
		exits := f.fillDisk(h, diskFullTime)
		f.waitRecovered()
		t.Logf("%s: disk full for %v, process ended %d times, recovered %v after the disk filled up", h.name, diskFullTime, exits, time.Since(start).Round(10*time.Millisecond))
	}
	for _, h := range f.hosts[:3] {
		f.killAndRestart(h, 2*time.Second)
		f.waitRecovered()
	}
	cancel()
	_ = g.Wait() // The goroutine always returns nil.
	stop()
	t.Logf("%d changes, the longest took %v", acked.Load(), longest)
	if longest > changeBound {
		t.Errorf("a change was acknowledged after %v, want at most %v", longest, changeBound)
	}
	checkConfiguration(t, f, int(acked.Load()))
	checkRuns(t, c, tg)
	checkPrompts(t, c, tg)
	checkBudgets(t, c)
	checkTurnsRetained(t, c)
}
