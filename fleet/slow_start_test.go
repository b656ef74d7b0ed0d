package fleet_test

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/store"
)

// TestRestartOnSlowDisks guards against a group that has no leader for long after all of its hosts
// have restarted, since each step of their start syncs the same directories again before they take
// part in an election. The plan can be read after six syncs one after the other: three at the
// start, of the data directory, the replica's directory and its log, and three of an election, of
// the candidate's vote, the others' votes and the first entry. Two more may be under way when one
// of these should begin.
func TestRestartOnSlowDisks(t *testing.T) {
	const hosts, syncTime = 3, 400 * time.Millisecond
	var slow atomic.Bool
	f := newFleet(t, hosts)
	for range hosts {
		f.disk = append(f.disk, store.Disk{Sync: func(file *os.File) error {
			if slow.Load() {
				time.Sleep(syncTime)
			}
			return file.Sync()
		}})
	}
	f.runAll()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.allowBootstrap.Store(false)
	f.waitForVoters(peers, hosts, f.controls...)
	for _, p := range f.controls {
		p.stop()
	}
	slow.Store(true)
	start := time.Now()
	f.runAll()
	waitFor(t, "the plan", func() bool {
		_, err := c.Read(context.Background())
		return err == nil
	})
	took := time.Since(start)
	t.Logf("the plan was read %v after the restart, syncs take %v", took, syncTime)
	if limit := 8 * syncTime; took > limit {
		t.Errorf("the plan was read %v after the restart, want at most %v", took, limit)
	}
}
