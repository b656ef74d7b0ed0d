package quorum_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/quorum"
)

// TestMergeKeepsPreVoteAndConfirmation guards against a pre-vote that is left out since the replica
// confirms a probe of the same candidate before the write under way has ended, or the other way
// round: neither replaces the other.
func TestMergeKeepsPreVoteAndConfirmation(t *testing.T) {
	granted := quorum.Message{Kind: quorum.MsgPreVoteReply, From: "b", To: "a", Term: 3}
	confirmed := quorum.Message{Kind: quorum.MsgPreVoteReply, From: "b", To: "a", Term: 2, Cold: true, SentAt: 5}
	later := confirmed
	later.SentAt = 6
	for _, order := range [][]quorum.Message{{granted, confirmed, later}, {confirmed, granted, later}, {confirmed, later, granted}} {
		var queued quorum.Output
		for _, m := range order {
			queued.Merge(quorum.Output{AfterSync: []quorum.Message{m}})
		}
		want := slices.DeleteFunc(slices.Clone(order), func(m quorum.Message) bool { return m.SentAt == confirmed.SentAt })
		if diff := cmp.Diff(want, queued.AfterSync); diff != "" {
			t.Errorf("after the write (-want +got):\n%s", diff)
		}
	}
}
