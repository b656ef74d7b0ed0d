package quorum

import "github.com/banyanspur/banyanspur/types"

// stepSnapshot takes a snapshot from the leader in place of the whole log.
func (c *Core) stepSnapshot(now types.Mono, m Message) {
	c.hearLeader(now, m)
	s := *m.Snapshot
	reply := Message{Kind: MsgAppendReply, To: m.From, Term: c.hard.Term, SentAt: m.SentAt, Index: max(s.Index, c.commit)}
	if s.Index > c.commit {
		c.install(now, s)
	}
	c.sendAfterSync(reply)
}

func (c *Core) install(now types.Mono, s Snapshot) {
	c.out.Install = &s
	c.out.Entries = nil
	c.snap = s
	c.snap.Data = nil
	c.log = nil
	c.findMembers()
	c.saved = s.Index
	c.commit = s.Index
	c.applied = s.Index
	c.noteLogTime(now, s.Time)
}

// SnapshotAt returns the frame of a snapshot of the state machine after the
// entry at i, which must have been applied. Data is left to the caller.
func (c *Core) SnapshotAt(i Index) Snapshot {
	term, _ := c.termAt(i)
	s := Snapshot{Index: i, Term: term, Time: c.snap.Time, Members: c.snap.Members}
	for _, e := range c.log {
		if e.Index > i {
			break
		}
		s.Time = e.Time
		if e.Kind == KindMembers {
			s.Members = *e.Members
		}
	}
	return s
}

// Compact drops the entries that snapshot s covers and returns those that
// follow it.
func (c *Core) Compact(s Snapshot) []Entry {
	rest := append([]Entry(nil), c.entries(s.Index+1, c.lastIndex())...)
	c.snap = s
	c.snap.Data = nil
	c.log = rest
	c.findMembers()
	return rest
}

// HardState returns the term and vote that must be durable.
func (c *Core) HardState() HardState { return c.hard }
