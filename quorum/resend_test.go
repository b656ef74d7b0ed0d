package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// TestLateReplicaGetsSnapshotOnce guards against a leader that reads, encodes and sends its
// whole snapshot again with each heartbeat, while the replica is still storing the first one.
func TestLateReplicaGetsSnapshotOnce(t *testing.T) {
	members := quorum.Members{
		Voters:   []quorum.Member{{ID: "a/0", Host: "a"}},
		Learners: []quorum.Member{{ID: "b/0", Host: "b"}},
	}
	c := quorum.NewCore(quorum.Options{
		ID: "a/0", Rand: rand.New(rand.NewPCG(1, 1)), Snapshot: quorum.Snapshot{Index: 10, Term: 1, Members: members},
		HardState: quorum.HardState{Term: 1},
	})
	snapshots, refused := 0, false
	handle := func(now types.Mono) {
		for range 20 {
			out := c.DrainOutput()
			for _, m := range append(out.Immediate, out.AfterSync...) {
				switch {
				case m.To == "a/0":
					c.Step(now, m)
				case m.Kind == quorum.MsgSnapshot:
					snapshots++ // The replica stores it, and has not replied yet.
				case m.Kind == quorum.MsgAppend && !refused:
					refused = true
					c.Step(now, quorum.Message{Kind: quorum.MsgAppendReply, From: "b/0", To: "a/0", Term: m.Term, SentAt: m.SentAt, Refused: true, RefusedIndex: m.Index})
				}
			}
		}
	}
	for now := types.Mono(0); now < types.Mono(4*time.Second); now = now.Add(5 * time.Millisecond) {
		c.Tick(now)
		handle(now)
		if snapshots > 0 && now > types.Mono(3*time.Second) {
			break
		}
	}
	if c.Role() != quorum.Leader || snapshots != 1 {
		t.Errorf("a replica that takes over a second to store a snapshot got it %d times (role %v)", snapshots, c.Role())
	}
}
