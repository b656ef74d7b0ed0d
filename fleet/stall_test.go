package fleet_test

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// lineFilter keeps the lines of a log that contain a text.
type lineFilter struct {
	mu    sync.Mutex
	text  []byte
	lines []string
}

func (c *lineFilter) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes.Contains(line, c.text) {
		c.lines = append(c.lines, string(line))
	}
	return len(line), nil
}

func (c *lineFilter) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.lines)
}

// TestPlansBesideStalledDisks guards against plans that wait for an election because the disks
// of two of five control hosts stall for 2 s at a time, the leader's among them. No host has
// failed, so no leader may be lost.
func TestPlansBesideStalledDisks(t *testing.T) {
	const hosts, stall = 5, 2 * time.Second
	lost := &lineFilter{text: fmt.Appendf(nil, `"event":%d`, event.LeaderLost.Number)}
	f := newFleet(t, hosts)
	f.log = event.New(lost)
	stalledUntil := make([]atomic.Int64, hosts)
	for i := range hosts {
		f.disk = append(f.disk, store.Disk{Sync: func(file *os.File) error {
			time.Sleep(time.Until(time.Unix(0, stalledUntil[i].Load())))
			return file.Sync()
		}})
	}
	f.runAll()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.waitForVoters(peers, hosts, f.controls...)
	before := len(lost.all())
	version, longest := types.Version(1), time.Duration(0)
	for first := range hosts { // Each host stalls twice.
		end := time.Now().Add(stall)
		stalledUntil[first].Store(end.UnixNano())
		stalledUntil[(first+1)%hosts].Store(end.UnixNano())
		for time.Now().Before(end) {
			version++
			start := time.Now()
			putPlan(t, c, version, "choir")
			longest = max(longest, time.Since(start))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(stall / 4)
	}
	t.Logf("%d plans, the longest took %v", version, longest)
	if lines := lost.all()[before:]; len(lines) > 0 {
		t.Errorf("%d leaders were lost: %s", len(lines), lines)
	}
	// The interval after which a leader that has failed would be replaced.
	if limit := time.Second; longest > limit {
		t.Errorf("a plan took %v, want at most %v", longest, limit)
	}
}
