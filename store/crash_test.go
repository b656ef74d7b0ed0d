package store_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/store"
)

// checkPrefix returns an error unless found begins with all that is acknowledged.
func checkPrefix(acknowledged, found []string) error {
	if len(found) < len(acknowledged) || !slices.Equal(acknowledged, found[:len(acknowledged)]) {
		return errors.Newf("found %q, acknowledged %q", found, acknowledged)
	}
	return nil
}

// openLog returns the snapshot and the frames of the log below root.
func openLog(disk store.Disk, root string) ([]string, error) {
	l, r, err := disk.Open(filepath.Join(root, "data", "log"))
	if err != nil {
		return nil, err
	}
	found := []string{}
	if r.Snapshot != nil {
		found = append(found, string(r.Snapshot))
	}
	for _, f := range r.Frames {
		found = append(found, string(f))
	}
	return found, l.Close()
}

// TestLogSurvivesPowerLoss guards against a log that lacks acknowledged frames after a loss of
// power, since the name of a directory or a segment is not durable.
func TestLogSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[[]string]{Dir: t.TempDir(), Open: openLog, Check: checkPrefix, Restarts: 2}
	err := s.Run(func(disk store.Disk, root string, acknowledge func([]string)) error {
		l, _, err := disk.Open(filepath.Join(root, "data", "log"))
		if err != nil {
			return err
		}
		defer l.Close()
		var frames []string
		for i := range 3 {
			f := fmt.Sprint("frame ", i)
			if err := l.Append([]byte(f)); err != nil {
				return err
			}
			frames = append(frames, f)
			acknowledge(slices.Clone(frames))
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// TestJournalSurvivesPowerLoss guards against a journal that lacks acknowledged records after a
// loss of power, since the name of a directory or a segment is not durable.
func TestJournalSurvivesPowerLoss(t *testing.T) {
	open := func(disk store.Disk, root string, acknowledge func([]string)) (*store.Journal, []string, error) {
		found := []string{}
		j, err := disk.OpenJournal(filepath.Join(root, "data", "turns", "journal"), func(_ store.Location, b []byte) error {
			found = append(found, string(b))
			return nil
		})
		return j, found, err
	}
	s := crash.Search[[]string]{
		Dir: t.TempDir(), Check: checkPrefix, Restarts: 2,
		Open: func(disk store.Disk, root string) ([]string, error) {
			j, found, err := open(disk, root, nil)
			if err != nil {
				return nil, err
			}
			return found, j.Close()
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func([]string)) error {
		var records []string
		for i := range 2 {
			j, _, err := open(disk, root, acknowledge)
			if err != nil {
				return err
			}
			for k := range 4 {
				r := fmt.Sprint("record ", i, k)
				if _, err := j.Append([][]byte{[]byte(r)}); err != nil {
					return err
				}
				records = append(records, r)
				acknowledge(slices.Clone(records))
				if k == 1 {
					if err := j.Rotate(); err != nil {
						return err
					}
				}
			}
			if err := j.Close(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}
