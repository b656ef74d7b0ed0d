package turns_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// fillStore creates a store in dir whose journal has turns with so many bytes of inputs.
func fillStore(t testing.TB, dir string, size int) {
	t.Helper()
	const inputBytes, batch, segmentBytes = 17_000, 16, 8 << 20
	state, err := reopenStore(store.Disk{}, dir)
	if err != nil {
		t.Fatal(err)
	}
	j, err := store.Disk{}.OpenJournalOf(store.JournalOwner{ID: string(state.id)}, filepath.Join(dir, "journal"), func(store.Location, []byte) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for n := 0; n*inputBytes < size; n += batch {
		var records [][]byte
		for i := range batch {
			id := fmt.Sprint("t", n+i)
			records = append(records,
				types.Encode(journalRecord{Program: &turns.Program{Account: "choir", Program: "p", Claims: []turns.Claim{{Attempt: types.AttemptID(id), MaxTokens: 9, Used: 9, Settled: true}}}}),
				types.Encode(journalRecord{Turn: &turns.Turn{Account: "choir", ID: turns.TurnID(id), Program: "p", Input: make([]byte, inputBytes), Output: make([]byte, inputBytes/10)}}))
		}
		if _, err := j.Append(records); err != nil {
			t.Fatal(err)
		}
		if j.Size() > segmentBytes {
			if err := j.Rotate(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestOpeningSyncsNoCompleteSegments guards against a store that is late after a restart since it
// syncs each segment of its journal, one after the other: at the rate of a deployment it has many,
// all but the last of them known to be durable.
func TestOpeningSyncsNoCompleteSegments(t *testing.T) {
	dir := t.TempDir()
	fillStore(t, dir, 64<<20)
	files := 0
	s := &turns.Store{Dir: dir, Clock: types.NewClock(), Disk: store.Disk{Sync: func(f *os.File) error {
		if info, err := f.Stat(); err == nil && !info.IsDir() {
			files++
		}
		return f.Sync()
	}}}
	if _, err := s.Open(); err != nil {
		t.Fatal(err)
	}
	if files > 1 {
		t.Errorf("%d files were synced, want at most the last segment", files)
	}
}

// BenchmarkOpen opens a store with as many turns as one of a small deployment has.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	const size = 128 << 20
	fillStore(b, dir, size)
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		s := &turns.Store{Dir: dir, Clock: types.NewClock()}
		if _, err := s.Open(); err != nil {
			b.Fatal(err)
		}
		ended, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
		_ = s.Run(ended) // Closes the journal.
		cancel()
	}
}
