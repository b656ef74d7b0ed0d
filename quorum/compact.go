package quorum

import (
	"slices"

	"github.com/banyanspur/banyanspur/types"
)

// stepSnapshot handles a snapshot from the leader, which replaces the whole log
// unless the log contains the snapshot's last entry. If it does, the entries that
// follow are kept, since the leader may count on those that are acknowledged.
func (c *Core) stepSnapshot(now types.Mono, m Message) {
	c.acceptLeader(now, m)
	s := *m.Snapshot
	reply := Message{Kind: MsgAppendReply, To: m.From, Term: c.hardState.Term, SentAt: m.SentAt, Index: max(s.Index, c.commit)}
	if term, ok := c.termAt(s.Index); ok && term == s.Term {
		c.commit = max(c.commit, s.Index)
	}
	if s.Index > c.commit {
		c.installSnapshot(now, s)
	}
	c.sendAfterSync(reply)
}

// installSnapshot replaces the log by s and leaves s to the caller of the core to
// make durable.
func (c *Core) installSnapshot(now types.Mono, s Snapshot) {
	c.out.Install = &s
	c.out.Entries = nil
	c.snap = s
	c.snap.Data = nil
	c.log = nil
	c.reloadMembers()
	c.reportedIndex = s.Index
	c.commit = s.Index
	c.applied = s.Index
	c.advanceLogTime(now, s.Time)
}

// SnapshotAt returns the metadata of a snapshot of the state machine after the
// entry at i, which must have been applied. The caller sets Data.
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

// EntriesAfter returns a copy of the entries after index i, which must not be less than that
// of the snapshot.
func (c *Core) EntriesAfter(i Index) []Entry {
	return slices.Clone(c.entries(i+1, c.lastIndex()))
}

// Compact drops the entries that snapshot s covers and returns the remaining
// entries.
func (c *Core) Compact(s Snapshot) []Entry {
	rest := append([]Entry(nil), c.entries(s.Index+1, c.lastIndex())...)
	c.snap = s
	c.snap.Data = nil
	c.log = rest
	c.reloadMembers()
	return rest
}

// HardState returns the term and vote that must be durable.
func (c *Core) HardState() HardState { return c.hardState }
