package store_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/store"
)

// limitFiles makes writes of this process that reach beyond size bytes of a file fail, as on
// a disk that fills up, and returns a function that ends that. Part of a write that crosses
// the limit is written.
func limitFiles(t *testing.T, size int) (restore func()) {
	t.Helper()
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_FSIZE, &before); err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: uint64(size), Max: before.Max}); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Setrlimit(unix.RLIMIT_FSIZE, &before); err != nil {
			t.Fatal(err)
		}
	}
}

// maxLimit is larger than any file of these tests.
const maxLimit = 120

// TestLogSurvivesRefusedWrites guards against a log that does not open again, or lacks an
// acknowledged frame, after the disk has refused a write at any byte of an append or a reset.
func TestLogSurvivesRefusedWrites(t *testing.T) {
	for limit := range maxLimit {
		dir := t.TempDir()
		writeLog(t, dir, "acknowledged before")
		acked, reset := writeUntilRefused(t, dir, limit)
		_, r, err := store.Open(dir)
		if err != nil {
			t.Errorf("limit of %d bytes: %v", limit, err)
			continue
		}
		content := string(r.Snapshot) + "|" + string(bytes.Join(r.Frames, []byte("|")))
		for _, f := range acked {
			if !strings.Contains(content, f) {
				t.Errorf("limit of %d bytes: %q is lost, reset %t, found %q", limit, f, reset, content)
			}
		}
		writeLog(t, dir, "after")
		if frames, _, err := readLog(t, dir); err != nil || frames[len(frames)-1] != "after" {
			t.Errorf("limit of %d bytes: frames %q after the disk has room again, %v", limit, frames, err)
		}
	}
}

// writeUntilRefused appends two frames, resets the log and appends another frame while files
// are limited. It returns what must be found afterwards and whether the reset succeeded.
func writeUntilRefused(t *testing.T, dir string, limit int) (acked []string, reset bool) {
	t.Helper()
	acked = []string{"acknowledged before"}
	l, _, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	defer limitFiles(t, limit)()
	for i := range 2 {
		f := fmt.Sprint("frame ", i)
		if l.Append([]byte(f)) == nil {
			acked = append(acked, f)
		}
	}
	// The snapshot contains the first frame, as that of a state machine contains all
	// applied entries, and the first frame of the new segment the rest.
	rest := strings.Join(acked[1:], ",")
	if reset = l.Reset([]byte("acknowledged before"), []byte("rest "+rest)) == nil && l.Append([]byte("last")) == nil; reset {
		acked = append(acked, "last")
	}
	return acked, reset
}

// TestWriteFileKeepsOldContent guards against a file, such as an identity, that is empty,
// incomplete or gone after the disk has refused to replace it.
func TestWriteFileKeepsOldContent(t *testing.T) {
	const before, after = "the identity before", "another, longer identity"
	for limit := range len(after) + 1 {
		dir := t.TempDir()
		if err := store.WriteFile(dir, "identity", []byte(before)); err != nil {
			t.Fatal(err)
		}
		restore := limitFiles(t, limit)
		err := store.WriteFile(dir, "identity", []byte(after))
		restore()
		want := after
		if err != nil {
			want = before
		}
		if b, readErr := os.ReadFile(filepath.Join(dir, "identity")); readErr != nil || string(b) != want {
			t.Errorf("limit of %d bytes: %q, %v, want %q", limit, b, readErr, want)
		}
		if err := store.WriteFile(dir, "identity", []byte(after)); err != nil {
			t.Errorf("limit of %d bytes: %v after the disk has room again", limit, err)
		}
	}
}

// TestJournalSurvivesRefusedWrites guards against a journal that refuses writes once the disk
// has room again, or loses an acknowledged record.
func TestJournalSurvivesRefusedWrites(t *testing.T) {
	for limit := range maxLimit {
		dir := t.TempDir()
		j, err := store.OpenJournal(dir, func(store.Location, []byte) error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		var acked []string
		write := func(name string) error {
			_, err := j.Append([][]byte{[]byte(name)})
			if err == nil {
				acked = append(acked, name)
			}
			return err
		}
		if err := write("before"); err != nil {
			t.Fatal(err)
		}
		restore := limitFiles(t, limit)
		for i := range 4 {
			_ = write(fmt.Sprint("record ", i)) // Refused at some limits.
		}
		_ = j.Rotate()
		restore()
		if err := write("after"); err != nil {
			t.Errorf("limit of %d bytes: %v after the disk has room again", limit, err)
		}
		if err := j.Close(); err != nil {
			t.Error(err)
		}
		found := map[string]bool{}
		j, err = store.OpenJournal(dir, func(_ store.Location, b []byte) error { found[string(b)] = true; return nil })
		if err != nil {
			t.Errorf("limit of %d bytes: %v", limit, err)
			continue
		}
		_ = j.Close() // Nothing was written.
		for _, name := range acked {
			if !found[name] {
				t.Errorf("limit of %d bytes: %q is lost", limit, name)
			}
		}
	}
}
