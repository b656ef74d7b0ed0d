package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/store"
)

// volatileDisk knows how much of each file has been synced. While killed is set, syncs fail, as
// if the process had ended before them.
type volatileDisk struct {
	mu     sync.Mutex
	synced map[string]int64 // by path
	killed bool
}

func (d *volatileDisk) disk() store.Disk { return store.Disk{Sync: d.sync} }

func (d *volatileDisk) sync(f *os.File) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.killed {
		return errors.New("the process has ended")
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	d.synced[f.Name()] = info.Size()
	return nil
}

// losePower removes what has not been synced from the segments in dir.
func (d *volatileDisk) losePower(t *testing.T, dir string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("segments %v, %v", paths, err)
	}
	for _, path := range paths {
		if err := os.Truncate(path, d.synced[path]); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRecoveredFramesAreDurable guards against a vote or an entry that a replica acknowledges
// after a restart and loses with the power: its process ended between the write of the frame
// and the sync, and the next one has found the frame in the kernel's cache.
func TestRecoveredFramesAreDurable(t *testing.T) {
	dir, d := t.TempDir(), &volatileDisk{synced: map[string]int64{}}
	l, _, err := d.disk().Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Append([]byte("first")); err != nil {
		t.Fatal(err)
	}
	d.killed = true
	if l.Append([]byte("second")) == nil {
		t.Fatal("acknowledged without a sync")
	}
	_ = l.Close()
	d.killed = false
	l, found, err := d.disk().Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	d.losePower(t, dir)
	_, left, err := d.disk().Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(found.Frames, left.Frames); diff != "" {
		t.Errorf("frames found at the start and after a loss of power (-start +after):\n%s", diff)
	}
}

// TestRecoveredRecordsAreDurable guards against a turn that a store lists or acknowledges after a
// restart and loses with the power, as [TestRecoveredFramesAreDurable] does for replicas. The
// journal has gone on after the failed sync.
func TestRecoveredRecordsAreDurable(t *testing.T) {
	dir, d := t.TempDir(), &volatileDisk{synced: map[string]int64{}}
	open := func() (records []string) {
		j, err := d.disk().OpenJournal(dir, func(_ store.Location, record []byte) error {
			records = append(records, string(record))
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		return records
	}
	j, err := d.disk().OpenJournal(dir, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i, record := range []string{"first", "second", "third", "fourth"} {
		d.killed = i%2 == 1
		if _, err := j.Append([][]byte{[]byte(record)}); (err != nil) != d.killed {
			t.Fatalf("append %q: %v", record, err)
		}
	}
	d.killed = false
	_ = j.Close()
	found := open()
	d.losePower(t, dir)
	if diff := cmp.Diff(found, open()); diff != "" {
		t.Errorf("records found at the start and after a loss of power (-start +after):\n%s", diff)
	}
}
