package turns_test

import (
	"os"
	"path/filepath"
	"testing"
)

// corruptJournal flips a bit in the first frame of the journal of the store in
// directory dir.
func corruptJournal(t *testing.T, dir string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "journal", "log-*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if len(b) < 40 {
			continue
		}
		b[30] ^= 1
		if err := os.WriteFile(f, b, 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Fatal("the journal is empty")
}
