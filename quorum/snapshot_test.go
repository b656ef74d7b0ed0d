package quorum_test

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// TestSnapshotKeepsAcknowledgedEntries guards against the loss of entries that a replica has
// acknowledged and that follow a snapshot which arrives late. The leader may commit them by the
// acknowledgement, which may be under way, or waiting for the disk, when the snapshot arrives.
func TestSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	members := quorum.Members{Voters: []quorum.Member{{ID: "a/0", Host: "a"}, {ID: "b/0", Host: "b"}, {ID: "c/0", Host: "c"}}}
	c := quorum.NewCore(quorum.Options{
		ID: "a/0", Rand: rand.New(rand.NewPCG(1, 1)), Snapshot: quorum.Snapshot{Members: members},
	})
	var entries []quorum.Entry
	for i := range 10 {
		entries = append(entries, quorum.Entry{Index: quorum.Index(i + 1), Term: 1, Kind: quorum.KindCommand, Data: []byte("x")})
	}
	c.Step(1, quorum.Message{Kind: quorum.MsgAppend, From: "b/0", To: "a/0", Term: 1, Entries: entries, SentAt: 1})
	replyIndex := func(out quorum.Output) (quorum.Index, bool) {
		m := out.AfterSync[len(out.AfterSync)-1]
		return m.Index, !m.Refused
	}
	if i, ok := replyIndex(c.DrainOutput()); i != 10 || !ok {
		t.Fatalf("acknowledged %d, %v", i, ok)
	}
	snapshot := quorum.Snapshot{Index: 5, Term: 1, Members: members, Data: []byte("state")}
	c.Step(2, quorum.Message{Kind: quorum.MsgSnapshot, From: "b/0", To: "a/0", Term: 1, Commit: 5, SentAt: 2, Snapshot: &snapshot})
	out := c.DrainOutput()
	if out.Install != nil {
		t.Error("the snapshot replaces a log that has its last entry")
	}
	if i, ok := replyIndex(out); i != 5 || !ok {
		t.Errorf("reply to the snapshot: %d, %v", i, ok)
	}
	if diff := cmp.Diff(entries[:5], out.Committed); diff != "" {
		t.Errorf("entries that the snapshot shows to be committed (-want +got):\n%s", diff)
	}
	c.Step(3, quorum.Message{Kind: quorum.MsgAppend, From: "b/0", To: "a/0", Term: 1, Index: 10, LogTerm: 1, Commit: 10, SentAt: types.Mono(3)})
	if i, ok := replyIndex(c.DrainOutput()); i != 10 || !ok {
		t.Errorf("the entries after the snapshot are gone: reply %d, %v", i, ok)
	}
}
