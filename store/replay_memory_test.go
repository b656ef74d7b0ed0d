package store_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/banyanspur/banyanspur/store"
)

// TestReplayReusesMemory guards against a start that takes new memory for each segment: a host with little memory spends half of
// its processor time on garbage then, while callers wait for it.
func TestReplayReusesMemory(t *testing.T) {
	const segments, size = 8, 1 << 20
	dir := t.TempDir()
	j, _ := openJournal(t, dir)
	for range segments {
		appendAll(t, j, string(make([]byte, size)))
		if err := j.Rotate(); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	found := 0
	again, err := store.OpenJournal(dir, func(_ store.Location, record []byte) error {
		if len(record) != size {
			return fmt.Errorf("a record of %d bytes", len(record))
		}
		found++
		return nil
	})
	runtime.ReadMemStats(&after)
	if err != nil || found != segments {
		t.Fatalf("%d records: %v", found, err)
	}
	t.Cleanup(func() { _ = again.Close() })
	if n := after.TotalAlloc - before.TotalAlloc; n > 2*size {
		t.Errorf("a start with %d segments of %d bytes has taken %d bytes", segments, size, n)
	}
}
