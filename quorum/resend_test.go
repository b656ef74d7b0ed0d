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

// pair is a leader and a learner whose messages a test may drop or hold up.
type pair struct {
	now             types.Mono
	leader, learner *quorum.Core
	// deliver decides whether the learner gets a message of the leader.
	deliver func(m quorum.Message) bool
	stalled bool             // the learner's disk holds up what it has to store
	held    []quorum.Message // its replies until then
	batches int              // messages with entries or a snapshot that the leader has sent
}

// newPair returns a pair. The leader has a snapshot, which the learner lacks.
func newPair() *pair {
	members := quorum.Members{
		Voters:   []quorum.Member{{ID: "a/0", Host: "a"}},
		Learners: []quorum.Member{{ID: "b/0", Host: "b"}},
	}
	p := &pair{deliver: func(quorum.Message) bool { return true }}
	p.leader = quorum.NewCore(quorum.Options{
		ID: "a/0", Rand: rand.New(rand.NewPCG(1, 1)), Snapshot: quorum.Snapshot{Index: 10, Term: 1, Members: members},
		HardState: quorum.HardState{Term: 1},
	})
	p.restartLearner()
	return p
}

// restartLearner starts the learner anew with an empty log.
func (p *pair) restartLearner() {
	p.learner = quorum.NewCore(quorum.Options{ID: "b/0", Rand: rand.New(rand.NewPCG(1, 2)), Start: p.now})
	p.held = nil
}

// run advances the time by d.
func (p *pair) run(d time.Duration) {
	for end := p.now.Add(d); p.now < end; p.now = p.now.Add(5 * time.Millisecond) {
		p.leader.Tick(p.now)
		for busy := true; busy; {
			busy = p.stepLeader()
			p.stepLearner()
		}
	}
}

// stepLeader handles an output of the leader and reports whether there was any.
func (p *pair) stepLeader() bool {
	out := p.leader.DrainOutput()
	messages := append(out.Immediate, out.AfterSync...)
	for _, m := range messages {
		if m.To == "a/0" {
			p.leader.Step(p.now, m)
			continue
		}
		if len(m.Entries) > 0 || m.Kind == quorum.MsgSnapshot {
			p.batches++
		}
		if p.deliver(m) {
			p.learner.Step(p.now, m)
		}
	}
	return len(messages) > 0
}

// stepLearner handles an output of the learner. While its disk stalls, it tells the leader only
// that it has heard it.
func (p *pair) stepLearner() {
	replies := p.learner.DrainOutput().AfterSync
	if p.stalled {
		p.held = append(p.held, replies...)
		for _, m := range replies {
			if contact, ok := m.Contact(); ok {
				p.leader.Step(p.now, contact)
			}
		}
		return
	}
	for _, m := range append(p.held, replies...) {
		p.leader.Step(p.now, m)
	}
	p.held = nil
}

// isCurrent reports whether the learner has all that the leader has.
func (p *pair) isCurrent() bool {
	return p.leader.Role() == quorum.Leader && p.leader.Match("b/0") == p.leader.Commit() && p.learner.Commit() == p.leader.Commit()
}

// TestLateReplicaGetsBatchesOnce guards against a leader that sends entries, or a snapshot, again
// with each heartbeat while the replica is storing them and says that it hears the leader.
func TestLateReplicaGetsBatchesOnce(t *testing.T) {
	p := newPair()
	p.stalled = true
	p.run(4 * time.Second)
	if p.batches > 2 { // The leader does not know that the learner is empty, and sends its first entry, too.
		t.Errorf("a replica that stores a snapshot got %d batches, want 2 at most", p.batches)
	}
	p.stalled = false
	p.run(time.Second)
	if !p.isCurrent() {
		t.Errorf("the replica has stored entries up to %d, the leader has %d", p.leader.Match("b/0"), p.leader.Commit())
	}
	p.stalled, p.batches = true, 0
	if _, err := p.leader.Propose(p.now, []byte("entry")); err != nil {
		t.Fatal(err)
	}
	p.run(4 * time.Second)
	if p.batches != 1 {
		t.Errorf("a replica that stores an entry got it %d times", p.batches)
	}
	p.stalled = false
	p.run(time.Second)
	if !p.isCurrent() {
		t.Errorf("the replica has stored entries up to %d, the leader has %d", p.leader.Match("b/0"), p.leader.Commit())
	}
}

// TestLostBatchIsSentAgain guards against a replica that stays behind since entries or a
// snapshot for it were lost on the way, several times in a row, or with its process.
func TestLostBatchIsSentAgain(t *testing.T) {
	for _, losses := range []int{1, 4} {
		p := newPair()
		lost, dropped := 0, quorum.MsgSnapshot
		p.deliver = func(m quorum.Message) bool {
			loses := lost < losses && m.Kind == dropped && (dropped == quorum.MsgSnapshot || len(m.Entries) > 0)
			if loses {
				lost++
			}
			return !loses
		}
		p.run(4 * time.Second)
		if lost != losses || !p.isCurrent() {
			t.Errorf("%d snapshots were lost; the replica has entries up to %d, the leader %d", lost, p.leader.Match("b/0"), p.leader.Commit())
		}
		lost, dropped = 0, quorum.MsgAppend
		if _, err := p.leader.Propose(p.now, []byte("entry")); err != nil {
			t.Fatal(err)
		}
		p.run(4 * time.Second)
		if lost != losses || !p.isCurrent() {
			t.Errorf("%d appends were lost; the replica has entries up to %d, the leader %d", lost, p.leader.Match("b/0"), p.leader.Commit())
		}
	}
	p := newPair()
	p.stalled = true
	p.run(2 * time.Second)
	p.restartLearner()
	p.stalled = false
	p.run(time.Second)
	if !p.isCurrent() {
		t.Errorf("the replica has restarted and has entries up to %d, the leader %d", p.leader.Match("b/0"), p.leader.Commit())
	}
}
