package fleet_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
)

// eventWaiter is the output of a log that waits for an event.
type eventWaiter struct {
	number event.Number
	once   sync.Once
	seen   chan struct{} // closed once the event is written
}

func (w *eventWaiter) Write(b []byte) (int, error) {
	if bytes.Contains(b, fmt.Appendf(nil, `"event":%d,`, w.number)) {
		w.once.Do(func() { close(w.seen) })
	}
	return len(b), nil
}

// refuseWrites makes a control host that has not been started yet unable to create its data
// directory, as on a full disk, until the returned function is called.
func refuseWrites(t *testing.T, p *process) (accept func()) {
	t.Helper()
	if err := os.WriteFile(p.dir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := os.Remove(p.dir); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFleetBootstrapsAfterFullDisk guards against a fleet that never takes a change since
// the disk of one seed was full when all hosts started for the first time: a process that
// starts again is not told that the fleet starts for the first time.
func TestFleetBootstrapsAfterFullDisk(t *testing.T) {
	f := newFleet(t, 5)
	accept := refuseWrites(t, f.controls[1])
	f.runAll()
	time.Sleep(time.Second)
	accept()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.waitForVoters(peers, 5, f.controls...)
	if diff := cmp.Diff("1 choir", readPlan(t, c)); diff != "" {
		t.Errorf("plan read back (-want +got):\n%s", diff)
	}
}

// TestCommandSetsAreSavedOnceDiskHasRoom guards against orders that are refused while one
// control host is lost, since the disk refused the file of declared command sets once and the
// process was started again later: nothing wrote the file again as long as no set changed.
func TestCommandSetsAreSavedOnceDiskHasRoom(t *testing.T) {
	f := newFleet(t, 3)
	file := filepath.Join(f.controls[0].dir, "commands")
	if err := os.MkdirAll(file, 0o700); err != nil { // A directory cannot be replaced by a file.
		t.Fatal(err)
	}
	failed := &eventWaiter{number: event.DiskIOFailed.Number, seen: make(chan struct{})}
	f.log = event.New(failed)
	f.runAll()
	select {
	case <-failed.seen:
	case <-time.After(stepTimeout):
		t.Fatal("no write was refused")
	}
	if err := os.Remove(file); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the file of command sets", func() bool {
		info, err := os.Stat(file)
		return err == nil && info.Mode().IsRegular()
	})
}

// TestGroupFormsOnceIdentityIsStored guards against a group that is created with a voter that does
// not exist, since its host has told others an identity that its disk has refused, or that is not
// created once the disk has room.
func TestGroupFormsOnceIdentityIsStored(t *testing.T) {
	f := newFleet(t, 1)
	var full atomic.Bool
	var refused atomic.Int32
	full.Store(true)
	f.disk = []store.Disk{{Sync: func(file *os.File) error {
		if full.Load() && filepath.Base(file.Name()) == "identity.new" {
			refused.Add(1)
			return errors.New("no space left on device")
		}
		return file.Sync()
	}}}
	f.runAll()
	_, peers := f.client("entry-1")
	waitFor(t, "a refused identity", func() bool { return refused.Load() >= 2 })
	if r, err := hello(peers, f.controls[0].address); err == nil {
		t.Errorf("told %+v", r)
	}
	full.Store(false)
	f.waitForVoters(peers, 1, f.controls...)
}
