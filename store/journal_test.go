package store_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/store"
)

// openJournal opens a journal and returns the records that were found.
func openJournal(t *testing.T, dir string) (*store.Journal, []string) {
	t.Helper()
	var found []string
	j, err := store.OpenJournal(dir, func(_ store.Place, record []byte) error {
		found = append(found, string(record))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, found
}

func appendAll(t *testing.T, j *store.Journal, records ...string) []store.Place {
	t.Helper()
	var b [][]byte
	for _, r := range records {
		b = append(b, []byte(r))
	}
	places, err := j.Append(b)
	if err != nil {
		t.Fatal(err)
	}
	return places
}

func TestJournalFindsRecordsByPlaceAndInOrder(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	places := appendAll(t, j, "first", "", "third")
	if err := j.Rotate(); err != nil {
		t.Fatal(err)
	}
	places = append(places, appendAll(t, j, "fourth")...)
	want := []string{"first", "", "third", "fourth"}
	var read []string
	for _, p := range places {
		b, err := j.Read(p)
		if err != nil {
			t.Fatal(err)
		}
		read = append(read, string(b))
	}
	if diff := cmp.Diff(want, read); diff != "" {
		t.Errorf("records by place (-want +got):\n%s", diff)
	}
	_, found := openJournal(t, dir)
	if diff := cmp.Diff(want, found); diff != "" {
		t.Errorf("records in order (-want +got):\n%s", diff)
	}
}

func TestJournalForgetsWholeSegments(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	old := appendAll(t, j, "old")
	if err := j.Rotate(); err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, "new")
	if err := j.Forget(j.Segment()); err != nil {
		t.Fatal(err)
	}
	if _, err := j.Read(old[0]); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("reading a forgotten record: %v", err)
	}
	_, found := openJournal(t, dir)
	if diff := cmp.Diff([]string{"new"}, found); diff != "" {
		t.Errorf("records left (-want +got):\n%s", diff)
	}
}

// segmentPath returns the file of a segment, whose name is part of the format.
func segmentPath(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no segment: %v", err)
	}
	return files[0]
}

// TestJournalDropsAnUnfinishedEnd cuts the last frame at every length.
func TestJournalDropsAnUnfinishedEnd(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, "kept")
	whole, err := os.ReadFile(segmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, "torn", "too")
	all, err := os.ReadFile(segmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	for n := len(whole); n < len(all); n++ {
		cut := t.TempDir()
		if err := os.WriteFile(filepath.Join(cut, filepath.Base(segmentPath(t, dir))), all[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		_, found := openJournal(t, cut)
		if diff := cmp.Diff([]string{"kept"}, found); diff != "" {
			t.Errorf("records after a cut at byte %d (-want +got):\n%s", n, diff)
		}
	}
}

// TestJournalRefusesDamage changes each byte of a frame that another follows.
func TestJournalRefusesDamage(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, "damaged")
	first, err := os.ReadFile(segmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	places := appendAll(t, j, "intact")
	all, err := os.ReadFile(segmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	for i := range first {
		spoilt := t.TempDir()
		b := append([]byte(nil), all...)
		b[i] ^= 0x40
		if err := os.WriteFile(filepath.Join(spoilt, filepath.Base(segmentPath(t, dir))), b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := store.OpenJournal(spoilt, func(store.Place, []byte) error { return nil })
		if !errors.Is(err, store.ErrCorrupt) {
			t.Fatalf("damage at byte %d: %v", i, err)
		}
	}
	places[0].Sum++
	if _, err := j.Read(places[0]); !errors.Is(err, store.ErrCorrupt) {
		t.Errorf("a record with another checksum: %v", err)
	}
}
