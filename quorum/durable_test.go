package quorum_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// record is a frame of a replica's log.
type record struct {
	Hard    *quorum.HardState `json:"hard,omitempty"`
	Entries []quorum.Entry    `json:"entries,omitempty"`
}

// TestSnapshotReplacesConflictingLog guards against a vote for a log that lacks committed
// entries: the disk refuses the first write after a snapshot of the leader, so that entries
// of an earlier term that it replaces are still in the directory. The replica must request
// votes with the last entry of the snapshot.
func TestSnapshotReplacesConflictingLog(t *testing.T) {
	dir := t.TempDir()
	self, err := quorum.LoadOrCreateID(dir, "h0")
	if err != nil {
		t.Fatal(err)
	}
	members := quorum.Members{Voters: []quorum.Member{{ID: self, Host: "h0"}, {ID: "h1/x", Host: "h1"}}}
	if err := quorum.Bootstrap(dir, members); err != nil {
		t.Fatal(err)
	}
	old := record{Hard: &quorum.HardState{Term: 5}}
	for i := range quorum.Index(5) {
		old.Entries = append(old.Entries, quorum.Entry{Index: i + 1, Term: 3, Kind: quorum.KindNoop})
	}
	appendRecord(t, dir, old)
	writeSnapshot(t, dir, quorum.Snapshot{Index: 3, Term: 5, Members: members})
	sent := make(chan quorum.Message, 100)
	r := &quorum.Replica[[]byte, int]{Dir: dir, Host: "h0", Machine: &counter{}, Clock: types.NewClock(), Send: func(m quorum.Message) {
		if m.Kind == quorum.MsgPreVote && !m.Cold {
			select {
			case sent <- m:
			default:
			}
		}
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return r.Run(ctx) })
	select {
	case m := <-sent:
		if m.Index != 3 || m.LogTerm != 5 {
			t.Errorf("votes requested for a log that ends with entry %d of term %d, want entry 3 of term 5", m.Index, m.LogTerm)
		}
	case <-ctx.Done():
		t.Error("the replica requested no votes")
	}
	cancel()
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
}

func appendRecord(t *testing.T, dir string, r record) {
	t.Helper()
	l, _, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := l.Append(types.Encode(r)); err != nil {
		t.Fatal(err)
	}
}

// writeSnapshot replaces the snapshot in dir and leaves the log as it is.
func writeSnapshot(t *testing.T, dir string, s quorum.Snapshot) {
	t.Helper()
	other := t.TempDir()
	l, _, err := store.Open(other)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := l.Reset(types.Encode(s), nil); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(filepath.Join(other, "snapshot"))
	if err != nil {
		t.Fatal(err)
	}
	if err := store.WriteFile(dir, "snapshot", b); err != nil {
		t.Fatal(err)
	}
}
