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

// writeLog opens the log in directory dir and appends frames to it.
func writeLog(t *testing.T, dir string, frames ...string) {
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

// readLog opens the log in directory dir and returns its frames and the number
// of bytes truncated from its end.
func readLog(t *testing.T, dir string) (frames []string, truncated int, err error) {
	t.Helper()
	l, r, err := store.Open(dir)
	if err != nil {
		return nil, 0, err
	}
	defer l.Close()
	for _, f := range r.Frames {
		frames = append(frames, string(f))
	}
	return frames, r.TruncatedBytes, nil
}

// onlySegmentPath returns the path of the segment in directory dir, which must
// have exactly one.
func onlySegmentPath(t *testing.T, dir string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "log-*"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	return files[0]
}

// TestTornTailIsTruncated truncates a log to every possible size, as after a
// crash during a write. Complete frames must stay, an incomplete one must be
// removed, and the log must accept new frames.
func TestTornTailIsTruncated(t *testing.T) {
	dir := t.TempDir()
	writeLog(t, dir, "one", "two", "three")
	content, err := os.ReadFile(onlySegmentPath(t, dir))
	if err != nil {
		t.Fatal(err)
	}
	for size := range content {
		tornDir := filepath.Join(t.TempDir(), fmt.Sprint(size))
		writeLog(t, tornDir)
		if err := os.WriteFile(onlySegmentPath(t, tornDir), content[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		before, _, err := readLog(t, tornDir)
		if err != nil {
			t.Fatalf("size %d: %v", size, err)
		}
		writeLog(t, tornDir, "more")
		after, truncated, err := readLog(t, tornDir)
		if diff := cmp.Diff(append(before, "more"), after); diff != "" || truncated != 0 || err != nil {
			t.Errorf("size %d: truncated %d bytes, %v (-want +got):\n%s", size, truncated, err, diff)
		}
	}
}

// TestCorruptionIsDetected damages each byte before the last frame. The log must
// not open, and its file must keep its size.
func TestCorruptionIsDetected(t *testing.T) {
	dir := t.TempDir()
	writeLog(t, dir, "one", "two", "three")
	file := onlySegmentPath(t, dir)
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lastFrameStart := len(content) - len("three") - 16
	for i := range lastFrameStart {
		corrupt := append([]byte(nil), content...)
		corrupt[i] ^= 0x40
		if err := os.WriteFile(file, corrupt, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := readLog(t, dir); !errors.Is(err, store.ErrCorrupt) {
			t.Errorf("damage at byte %d: %v, want ErrCorrupt", i, err)
		}
		if after, _ := os.ReadFile(file); len(after) != len(content) {
			t.Fatalf("damage at byte %d: the log was truncated", i)
		}
	}
}

// TestResetKeepsSnapshotAndFirstFrame resets a log and opens it again. Only the
// snapshot, the first frame and later frames must be left.
func TestResetKeepsSnapshotAndFirstFrame(t *testing.T) {
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
	frames, _, err := readLog(t, dir)
	if diff := cmp.Diff([]string{"first", "new"}, frames); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
	snapshot, err := store.ReadSnapshot(dir)
	if diff := cmp.Diff("state", string(snapshot)); diff != "" || err != nil {
		t.Errorf("%v (-want +got):\n%s", err, diff)
	}
}

// FuzzOpen opens logs with arbitrary content. Open must either return ErrCorrupt
// or a log that accepts new frames.
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
