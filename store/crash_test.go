package store_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
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

// openLog returns the highest number up to which the log below root has all: a frame contains its
// number, a snapshot that of the last frame that it replaces.
func openLog(disk store.Disk, root string) (int, error) {
	l, r, err := disk.Open(filepath.Join(root, "data", "log"))
	if err != nil {
		return 0, err
	}
	n := 0
	for _, b := range append([][]byte{r.Snapshot}, r.Frames...) {
		if i, _ := strconv.Atoi(string(b)); i == n+1 || len(r.Snapshot) > 0 && string(b) == string(r.Snapshot) {
			n = max(n, i)
		}
	}
	return n, l.Close()
}

// TestLogSurvivesPowerLoss guards against a log that lacks acknowledged frames after a loss of
// power, since the name of a directory, a segment or a snapshot is not durable, or a segment was
// removed before what replaces it is durable.
func TestLogSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[int]{Dir: t.TempDir(), Open: openLog, Restarts: 2, Check: func(acknowledged, found int) error {
		if found < acknowledged {
			return errors.Newf("found frames up to %d, acknowledged up to %d", found, acknowledged)
		}
		return nil
	}}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(int)) error {
		l, _, err := disk.Open(filepath.Join(root, "data", "log"))
		if err != nil {
			return err
		}
		defer l.Close()
		for i := 1; i <= 6; i++ {
			b := []byte(strconv.Itoa(i))
			err := l.Append(b)
			if i%3 == 0 {
				err = errors.CombineErrors(err, l.Reset(b, b))
			}
			if err != nil {
				return err
			}
			acknowledge(i)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// TestFileSurvivesPowerLoss guards against a file that has neither its old nor its new content
// after a loss of power.
func TestFileSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[int]{
		Dir: t.TempDir(), Restarts: 2,
		Open: func(disk store.Disk, root string) (int, error) {
			if err := disk.MakeDir(filepath.Join(root, "data")); err != nil {
				return 0, err
			}
			b, err := disk.ReadFile(filepath.Join(root, "data"), "file")
			if errors.Is(err, os.ErrNotExist) {
				return 0, nil
			}
			if err != nil {
				return 0, err
			}
			return strconv.Atoi(string(b))
		},
		Check: func(acknowledged, found int) error {
			if found < acknowledged {
				return errors.Newf("found %d, acknowledged %d", found, acknowledged)
			}
			return nil
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(int)) error {
		for i := 1; i <= 3; i++ {
			if err := disk.WriteFile(filepath.Join(root, "data"), "file", []byte(strconv.Itoa(i))); err != nil {
				return err
			}
			acknowledge(i)
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
