package crash_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/store"
)

// TestSearchFindsUnsyncedName guards against a search that tries too few states: a file is
// acknowledged whose directory is synced only by the process that has written it, so that it
// is lost if that process is killed and the power is lost after the next one has found it.
func TestSearchFindsUnsyncedName(t *testing.T) {
	search := func(continued float64) error {
		s := crash.Search[bool]{
			Dir: t.TempDir(), ContinuedShare: continued,
			Open: func(_ store.Disk, root string) (bool, error) {
				_, err := os.Stat(filepath.Join(root, "file"))
				return err == nil, nil
			},
			Check: func(acknowledged, found bool) error {
				if acknowledged && !found {
					return errors.New("the file is missing")
				}
				return nil
			},
		}
		return s.Run(func(disk store.Disk, root string, acknowledge func(bool)) error {
			err := disk.WriteFile(root, "file", []byte("content"))
			acknowledge(true)
			return err
		})
	}
	if err := search(0); err != nil {
		t.Errorf("without a second process: %v", err)
	}
	if search(1) == nil {
		t.Error("a file that a killed process has not synced was not found to be lost")
	}
}
