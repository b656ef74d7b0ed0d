package store_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/store"
)

func write(t *testing.T, dir string, frames ...string) {
	t.Helper()
	l, _, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, f := range frames {
		if err := l.Append([]byte(f)); err != nil {
			t.Fatal(err)
		}
	}
}

func read(t *testing.T, dir string) (frames []string, cut int, err error) {
	t.Helper()
	l, r, err := store.Open(dir)
	if err != nil {
		return nil, 0, err
	}
	defer l.Close()
	for _, f := range r.Frames {
		frames = append(frames, string(f))
	}
	return frames, r.Cut, nil
}

func segment(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	return files[0]
}

// TestTornTail cuts a log at every byte: what was whole stays, what was torn
// goes, and the log can be written on.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "one", "two", "three")
	whole, err := os.ReadFile(segment(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	for size := range whole {
		torn := filepath.Join(t.TempDir(), fmt.Sprint(size))
		write(t, torn)
		if err := os.WriteFile(segment(t, torn), whole[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		before, _, err := read(t, torn)
		if err != nil {
			t.Fatalf("size %d: %v", size, err)
		}
		write(t, torn, "more")
		after, cut, err := read(t, torn)
		if diff := cmp.Diff(append(before, "more"), after); diff != "" || cut != 0 || err != nil {
			t.Errorf("size %d: cut %d, %v (-want +got):\n%s", size, cut, err, diff)
		}
	}
}

// TestCorruption flips every byte before the last frame: the log refuses, and
// nothing is cut.
func TestCorruption(t *testing.T) {
	dir := t.TempDir()
	write(t, dir, "one", "two", "three")
	file := segment(t, dir)
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	last := len(whole) - len("three") - 16
	for at := range last {
		bad := append([]byte(nil), whole...)
		bad[at] ^= 0x40
		if err := os.WriteFile(file, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := read(t, dir); !errors.Is(err, store.ErrCorrupt) {
			t.Errorf("byte %d: %v", at, err)
		}
		if after, _ := os.ReadFile(file); len(after) != len(whole) {
			t.Fatalf("byte %d: the log was cut", at)
		}
	}
}

// TestReset replaces the log by a snapshot and a first frame.
func TestReset(t *testing.T) {
	dir := t.TempDir()
	l, _, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []error{l.Append([]byte("old")), l.Reset([]byte("state"), []byte("first")), l.Append([]byte("new")), l.Close()} {
		if step != nil {
			t.Fatal(step)
		}
	}
	frames, _, err := read(t, dir)
	if diff := cmp.Diff([]string{"first", "new"}, frames); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	snapshot, err := store.ReadSnapshot(dir)
	if diff := cmp.Diff("state", string(snapshot)); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}

// FuzzOpen opens logs of arbitrary bytes.
func FuzzOpen(f *testing.F) {
	f.Add([]byte("no frame"))
	f.Add([]byte{0xe9, 0x51, 0xa7, 0xb5, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "log-0000000000000001"), b, 0o600); err != nil {
			t.Fatal(err)
		}
		l, _, err := store.Open(dir)
		if err != nil {
			if !errors.Is(err, store.ErrCorrupt) {
				t.Fatal(err)
			}
			return
		}
		defer l.Close()
		if err := l.Append([]byte("more")); err != nil {
			t.Fatal(err)
		}
	})
}
