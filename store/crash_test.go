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
	s := crash.Search[int]{Dir: t.TempDir(), Open: openLog, ContinuedShare: 1, Check: func(acknowledged, found int) error {
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
		Dir: t.TempDir(), ContinuedShare: 1,
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

// journalState are the records that a journal has, and those that were in segments that have been
// removed.
type journalState struct{ has, removed []string }

func checkJournal(acknowledged, found journalState) error {
	for _, r := range acknowledged.has {
		if !slices.Contains(found.has, r) {
			return errors.Newf("found %q, acknowledged %q", found.has, acknowledged.has)
		}
	}
	for _, r := range acknowledged.removed {
		if slices.Contains(found.has, r) {
			return errors.Newf("found %q, removed %q", found.has, acknowledged.removed)
		}
	}
	return nil
}

// openOwned opens the journal below root.
func openOwned(disk store.Disk, root string) (*store.Journal, []string, error) {
	var found []string
	j, err := disk.OpenJournalOf(store.JournalOwner{ID: "own"}, filepath.Join(root, "data", "journal"), func(_ store.Location, b []byte) error {
		found = append(found, string(b))
		return nil
	})
	return j, found, err
}

// TestJournalSurvivesPowerLoss guards against a journal that lacks acknowledged records after a
// loss of power, since the name of a directory or a segment is not durable, and against segments
// that are back after their removal, with records that later ones have replaced.
func TestJournalSurvivesPowerLoss(t *testing.T) {
	s := crash.Search[journalState]{
		Dir: t.TempDir(), Check: checkJournal, States: 16, ContinuedShare: 0.4,
		Open: func(disk store.Disk, root string) (journalState, error) {
			j, found, err := openOwned(disk, root)
			if err != nil {
				return journalState{}, err
			}
			return journalState{has: found}, j.Close()
		},
	}
	err := s.Run(func(disk store.Disk, root string, acknowledge func(journalState)) error {
		var state journalState
		for i := range 2 {
			j, _, err := openOwned(disk, root)
			if err != nil {
				return err
			}
			for k := range 4 {
				r := fmt.Sprint("record ", i, k)
				if _, err := j.Append([][]byte{[]byte(r)}); err != nil {
					return err
				}
				state.has = append(slices.Clone(state.has), r)
				acknowledge(state)
				if k%2 == 1 {
					if err := j.Rotate(); err != nil {
						return err
					}
				}
			}
			gone := state.has[:2] // Those of the first segment.
			state.has = state.has[2:]
			acknowledge(state)
			segments, err := j.Segments()
			if err == nil {
				err = errors.CombineErrors(j.Remove(segments[0]), j.Close())
			}
			if err != nil {
				return err
			}
			state.removed = append(slices.Clone(state.removed), gone...)
			acknowledge(state)
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d states", s.Tried())
}

// TestJournalIsComplete guards against a journal of which a segment is missing or emptied,
// whatever the file system has done, and that counts as one that has all records.
func TestJournalIsComplete(t *testing.T) {
	write := func(t *testing.T) string {
		root := t.TempDir()
		j, _, err := openOwned(store.Disk{}, root)
		if err != nil {
			t.Fatal(err)
		}
		appendAll(t, j, "first")
		if err := j.Rotate(); err != nil {
			t.Fatal(err)
		}
		appendAll(t, j, "second")
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
		return root
	}
	for _, c := range []struct {
		name   string
		damage func(dir string) error
	}{
		{"the first segment is missing", func(dir string) error { return os.Remove(filepath.Join(dir, "log-0000000000000001")) }},
		{"the current segment is missing", func(dir string) error { return os.Remove(filepath.Join(dir, "log-0000000000000002")) }},
		{"the first segment is empty", func(dir string) error { return os.Truncate(filepath.Join(dir, "log-0000000000000001"), 0) }},
		{"the list is missing", func(dir string) error { return os.Remove(filepath.Join(dir, "segments")) }},
		{"all is missing", os.RemoveAll},
		{"another owner's", func(dir string) error {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
			j, err := store.Disk{}.OpenJournalOf(store.JournalOwner{ID: "other"}, dir, nil)
			if err != nil {
				return err
			}
			return j.Close()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(write(t), "data", "journal")
			if err := c.damage(dir); err != nil {
				t.Fatal(err)
			}
			owner := store.JournalOwner{ID: "own", MustExist: true}
			if _, err := (store.Disk{}).OpenJournalOf(owner, dir, func(store.Location, []byte) error { return nil }); !errors.Is(err, store.ErrCorrupt) {
				t.Errorf("opened with error %v, want that it is corrupt", err)
			}
		})
	}
}

// TestJournalContinuedByEarlierBuildOpens guards against a journal that counts as corrupt after an
// earlier build has used it, which removes and adds segments without a change of the list.
func TestJournalContinuedByEarlierBuildOpens(t *testing.T) {
	root := t.TempDir()
	j, _, err := openOwned(store.Disk{}, root)
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, "first")
	if err := j.Rotate(); err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, "second")
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	dir := filepath.Join(root, "data", "journal")
	if err := os.Rename(filepath.Join(dir, "log-0000000000000001"), filepath.Join(dir, "log-0000000000000003")); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		j, found, err := openOwned(store.Disk{}, root)
		if err != nil || !slices.Contains(found, "first") || !slices.Contains(found, "second") {
			t.Fatalf("found %q, %v; want the records of both segments", found, err)
		}
		appendAll(t, j, "later")
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
	// The list is complete again.
	if err := os.Remove(filepath.Join(dir, "log-0000000000000003")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := openOwned(store.Disk{}, root); !errors.Is(err, store.ErrCorrupt) {
		t.Errorf("opened with error %v, want that it is corrupt", err)
	}
}
