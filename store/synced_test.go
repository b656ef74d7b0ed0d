package store_test

import (
	"os"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/store"
)

// TestChangedNameIsSyncedAgain guards against a file that counts as durable because its directory
// was synced before the file was renamed: the sync that should have followed has failed.
func TestChangedNameIsSyncedAgain(t *testing.T) {
	dir := t.TempDir()
	fails, syncs := false, 0
	d := store.Disk{Sync: func(f *os.File) error {
		info, err := f.Stat()
		if err != nil || !info.IsDir() {
			return err
		}
		if fails {
			return errors.New("the disk fails")
		}
		syncs++
		return nil
	}}.RememberingSyncs()
	if err := d.WriteFile(dir, "a", []byte("1")); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := d.ReadFile(dir, "a"); err != nil {
			t.Fatal(err)
		}
	}
	if syncs != 1 {
		t.Errorf("the directory was synced %d times for a write and two reads, want 1", syncs)
	}
	fails = true
	if err := d.WriteFile(dir, "a", []byte("2")); err == nil {
		t.Fatal("the write succeeded without a sync of its directory")
	}
	if _, err := d.ReadFile(dir, "a"); err == nil {
		t.Error("the file was read as durable though its directory could not be synced")
	}
	fails = false
	if _, err := d.ReadFile(dir, "a"); err != nil || syncs != 2 {
		t.Errorf("the directory was synced %d times (%v), want 2", syncs, err)
	}
}
