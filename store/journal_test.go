package store_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/store"
)

// openJournal opens a journal and returns it with the records that it replayed.
func openJournal(t *testing.T, dir string) (*store.Journal, []string) {
	t.Helper()
	var records []string
	j, err := store.OpenJournal(dir, func(_ store.Location, record []byte) error {
		records = append(records, string(record))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j, records
}

// appendAll appends records as one frame and returns their locations.
func appendAll(t *testing.T, j *store.Journal, records ...string) []store.Location {
	t.Helper()
	var b [][]byte
	for _, r := range records {
		b = append(b, []byte(r))
	}
	locations, err := j.Append(b)
	if err != nil {
		t.Fatal(err)
	}
	return locations
}

func TestJournalReadsByLocationAndReplaysInOrder(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	locations := appendAll(t, j, "first", "", "third")
	if err := j.Rotate(); err != nil {
		t.Fatal(err)
	}
	locations = append(locations, appendAll(t, j, "fourth")...)
	want := []string{"first", "", "third", "fourth"}
	var read []string
	for _, location := range locations {
		b, err := j.Read(location)
		if err != nil {
			t.Fatal(err)
		}
		read = append(read, string(b))
	}
	if diff := cmp.Diff(want, read); diff != "" {
		t.Errorf("records by location (-want +got):\n%s", diff)
	}
	_, records := openJournal(t, dir)
	if diff := cmp.Diff(want, records); diff != "" {
		t.Errorf("replayed records (-want +got):\n%s", diff)
	}
}

// TestJournalRemovesWholeSegments removes a segment between two others, and the current
// one, which must be kept.
func TestJournalRemovesWholeSegments(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, "oldest")
	if err := j.Rotate(); err != nil {
		t.Fatal(err)
	}
	old := appendAll(t, j, "old")
	if err := j.Rotate(); err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, "new")
	for _, segment := range []uint64{old[0].Segment, j.Segment()} {
		if err := j.Remove(segment); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := j.Read(old[0]); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("reading a removed record: %v, want os.ErrNotExist", err)
	}
	_, records := openJournal(t, dir)
	if diff := cmp.Diff([]string{"oldest", "new"}, records); diff != "" {
		t.Errorf("remaining records (-want +got):\n%s", diff)
	}
}

// firstSegmentPath returns the path of the first segment in directory dir. Its
// file name is part of the storage format.
func firstSegmentPath(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no segment found: %v", err)
	}
	return files[0]
}

// TestJournalDropsIncompleteLastFrame opens journals whose last frame is
// truncated to each possible length, as after a crash during a write. Only that
// frame must be dropped.
func TestJournalDropsIncompleteLastFrame(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, "kept")
	intact, err := os.ReadFile(firstSegmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	appendAll(t, j, "torn", "too")
	all, err := os.ReadFile(firstSegmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	for n := len(intact); n < len(all); n++ {
		tornDir := t.TempDir()
		if err := os.WriteFile(filepath.Join(tornDir, filepath.Base(firstSegmentPath(t, dir))), all[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		_, records := openJournal(t, tornDir)
		if diff := cmp.Diff([]string{"kept"}, records); diff != "" {
			t.Errorf("records after truncation at byte %d (-want +got):\n%s", n, diff)
		}
	}
}

// TestJournalDetectsCorruption damages each byte of a frame that is followed by
// an intact one.
func TestJournalDetectsCorruption(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	appendAll(t, j, "damaged")
	first, err := os.ReadFile(firstSegmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	locations := appendAll(t, j, "intact")
	all, err := os.ReadFile(firstSegmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	for i := range first {
		corruptDir := t.TempDir()
		b := append([]byte(nil), all...)
		b[i] ^= 0x40
		if err := os.WriteFile(filepath.Join(corruptDir, filepath.Base(firstSegmentPath(t, dir))), b, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := store.OpenJournal(corruptDir, func(store.Location, []byte) error { return nil })
		if !errors.Is(err, store.ErrCorrupt) {
			t.Fatalf("damage at byte %d: %v, want ErrCorrupt", i, err)
		}
	}
	locations[0].Checksum++
	if _, err := j.Read(locations[0]); !errors.Is(err, store.ErrCorrupt) {
		t.Errorf("reading a record with another checksum: %v, want ErrCorrupt", err)
	}
}

// TestJournalSyncsFewSegments guards against stores that are not back for many seconds after a
// restart on a slow disk, since they sync each segment of their journal before they serve, though
// only the last one may have frames that are not durable.
func TestJournalSyncsFewSegments(t *testing.T) {
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	const segments = 20
	for range segments {
		appendAll(t, j, "record")
		if err := j.Rotate(); err != nil {
			t.Fatal(err)
		}
	}
	appendAll(t, j, "last")
	var synced []string
	d := store.Disk{Sync: func(f *os.File) error {
		synced = append(synced, filepath.Base(f.Name()))
		return f.Sync()
	}}
	records := 0
	next, err := d.OpenJournal(dir, func(store.Location, []byte) error { records++; return nil })
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if records != segments+1 {
		t.Errorf("%d records were found, want %d", records, segments+1)
	}
	want := []string{filepath.Base(filepath.Dir(dir)), fmt.Sprintf("log-%016d", j.Segment()), filepath.Base(dir)}
	if diff := cmp.Diff(want, synced); diff != "" {
		t.Errorf("synced when the journal was opened (-want +got):\n%s", diff)
	}
}
