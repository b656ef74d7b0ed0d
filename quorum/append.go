package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// Errors of proposals. Nothing was appended when one of them is returned.
var (
	ErrNotLeader     = errors.New("quorum: not the leader")
	ErrChangePending = errors.New("quorum: a membership change is under way")
)

// Propose appends commands to the log and returns the index of the first.
func (c *Core) Propose(now types.Mono, commands ...[]byte) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	first := c.lastIndex() + 1
	for _, data := range commands {
		c.append(now, Entry{Kind: KindCommand, Data: data})
	}
	c.broadcast(now)
	return first, nil
}

// ProposeMembers appends a new membership, which differs from the newest one
// by at most one voter. A membership that changes nothing is not appended. It
// returns [ErrChangePending] until the membership
// before it and an entry of the leader's own term are committed.
func (c *Core) ProposeMembers(now types.Mono, m Members) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if m.Equal(c.Members()) {
		return c.lastIndex(), nil
	}
	if c.commit < c.termStart || c.changePending() {
		return 0, ErrChangePending
	}
	if voterDifference(c.Members(), m) > 1 {
		return 0, errors.New("quorum: a change may add or remove one voter only")
	}
	c.append(now, Entry{Kind: KindMembers, Members: &m})
	c.members, c.membersAt = m, c.lastIndex()
	c.syncPeers(now)
	c.broadcast(now)
	return c.lastIndex(), nil
}

func (c *Core) changePending() bool { return c.membersAt > c.commit }

func voterDifference(a, b Members) int {
	n := 0
	for _, v := range a.Voters {
		if !b.IsVoter(v.ID) {
			n++
		}
	}
	for _, v := range b.Voters {
		if !a.IsVoter(v.ID) {
			n++
		}
	}
	return n
}

// append adds an entry of the current term to the leader's log. It counts as
// acknowledged by the leader itself only after the sync.
func (c *Core) append(now types.Mono, e Entry) {
	e.Index = c.lastIndex() + 1
	e.Term = c.hard.Term
	c.noteLogTime(now, c.LogTime(now))
	e.Time = c.LogTime(now)
	c.log = append(c.log, e)
	c.logTime, c.logAt = e.Time, now
	c.replaceSelfAck()
}

// replaceSelfAck keeps one acknowledgement to itself per output.
func (c *Core) replaceSelfAck() {
	ack := Message{Kind: MsgAppendReply, To: c.id, Term: c.hard.Term, Index: c.lastIndex()}
	for i, m := range c.out.AfterSync {
		if m.Kind == MsgAppendReply && m.To == c.id {
			ack.From = c.id
			c.out.AfterSync[i] = ack
			return
		}
	}
	c.sendAfterSync(ack)
}

// syncPeers makes the leader's list of peers match the membership.
func (c *Core) syncPeers(now types.Mono) {
	members := c.Members()
	for id := range c.peers {
		if !members.Has(id) {
			delete(c.peers, id)
		}
	}
	for _, m := range members.All() {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.lastIndex() + 1, sentAt: now, since: now}
		}
		if m.ID == c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.lastIndex() + 1}
		}
	}
}

func (c *Core) broadcast(now types.Mono) {
	for _, m := range c.members.All() { // In their order, so that equal steps have equal outcomes.
		if p := c.peers[m.ID]; !p.waiting {
			c.sendAppend(now, m.ID, p)
		}
	}
}

// sendAppend sends a replica what it lacks, or a heartbeat if that is nothing.
func (c *Core) sendAppend(now types.Mono, id ReplicaID, p *progress) {
	if id == c.id {
		p.sentAt = now
		return
	}
	p.sentAt = now
	prev := p.next - 1
	term, ok := c.termAt(prev)
	if !ok {
		c.sendSnapshot(now, id, p)
		return
	}
	entries := c.batch(p.next)
	p.waiting = len(entries) > 0
	c.sendNow(Message{
		Kind: MsgAppend, To: id, Term: c.hard.Term, Index: prev, LogTerm: term,
		Entries: entries, Commit: c.commit, SentAt: now, Time: c.LogTime(now),
	})
}

// sendSnapshot asks the shell to send the newest snapshot, whose data the core
// does not hold.
func (c *Core) sendSnapshot(now types.Mono, id ReplicaID, p *progress) {
	p.waiting = true
	snap := c.snap
	c.sendNow(Message{
		Kind: MsgSnapshot, To: id, Term: c.hard.Term, Commit: c.commit,
		SentAt: now, Time: c.LogTime(now), Snapshot: &snap,
	})
}

func (c *Core) batch(first Index) []Entry {
	all := c.entries(first, c.lastIndex())
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if size > maxAppendBytes && i > 0 {
			return slices.Clone(all[:i])
		}
	}
	return slices.Clone(all)
}

// stepAppend takes entries from the leader of the current term.
func (c *Core) stepAppend(now types.Mono, m Message) {
	c.hearLeader(now, m)
	reply := Message{Kind: MsgAppendReply, To: m.From, Term: c.hard.Term, SentAt: m.SentAt}
	if m.Index < c.snap.Index {
		// The snapshot covers the start of the message: all of it is committed.
		reply.Index = c.commit
		c.sendAfterSync(reply)
		return
	}
	if term, ok := c.termAt(m.Index); !ok || term != m.LogTerm {
		reply.Refused = true
		reply.Probe = m.Index
		reply.Index = min(c.lastIndex(), m.Index-1)
		c.sendAfterSync(reply)
		return
	}
	c.merge(m.Entries)
	reply.Index = m.Index + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.sendAfterSync(reply)
}

func (c *Core) hearLeader(now types.Mono, m Message) {
	c.follow(now, m.Term, m.From)
	c.heard = now
	c.cold = coldStart{}
	c.resetDeadline(now)
	c.noteLogTime(now, m.Time)
}

// merge takes entries that follow on one this log holds, and drops those of
// the log that contradict them.
func (c *Core) merge(entries []Entry) {
	for i, e := range entries {
		term, ok := c.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		c.log = append(c.log[:e.Index-c.snap.Index-1], entries[i:]...)
		c.saved = min(c.saved, e.Index-1)
		c.findMembers()
		return
	}
}

func (c *Core) stepAppendReply(now types.Mono, m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if m.From != c.id {
		p.ackedAt = max(p.ackedAt, m.SentAt)
		p.answered = true
	}
	if m.Refused {
		c.stepRefusal(now, m, p)
		return
	}
	p.waiting = false
	p.match = max(p.match, m.Index)
	p.next = max(p.match+1, min(p.next, c.lastIndex()+1))
	c.advanceCommit()
	if p.match < c.lastIndex() {
		c.sendAppend(now, m.From, p)
	}
}

func (c *Core) stepRefusal(now types.Mono, m Message, p *progress) {
	if m.Probe != p.next-1 || m.Probe <= p.match {
		return // An answer to an append that has been superseded.
	}
	p.next = max(m.Index+1, p.match+1)
	c.sendAppend(now, m.From, p)
}

// advanceCommit commits what a quorum has synced, if it is of this term.
func (c *Core) advanceCommit() {
	members := c.Members()
	matches := make([]Index, 0, len(members.Voters))
	for _, v := range members.Voters {
		matches = append(matches, c.Match(v.ID))
	}
	slices.Sort(matches)
	if len(matches) == 0 {
		return
	}
	n := matches[len(matches)-members.Quorum()]
	if term, ok := c.termAt(n); ok && term == c.hard.Term && n > c.commit {
		c.commit = n
	}
}
