package quorum

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/types"
)

// Errors returned for proposals. Each means that nothing was appended.
var (
	ErrNotLeader     = errors.New("quorum: not the leader")
	ErrChangePending = errors.New("quorum: a membership change is pending")
)

// Propose appends commands to the log and returns the index of the first. It
// returns [ErrNotLeader] unless the replica is the leader.
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

// ProposeMembers appends a new membership and returns its index. The new
// membership may differ from the newest one by at most one voter; one that is
// equal to it is not appended. ProposeMembers returns [ErrChangePending] until
// the previous membership and an entry of the leader's own term are committed.
func (c *Core) ProposeMembers(now types.Mono, m Members) (Index, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if m.Equal(c.Members()) {
		return c.lastIndex(), nil
	}
	if c.commit < c.termStartIndex || c.membersChangePending() {
		return 0, ErrChangePending
	}
	if countVoterChanges(c.Members(), m) > 1 {
		return 0, errors.New("quorum: a membership change may add or remove only one voter")
	}
	c.append(now, Entry{Kind: KindMembers, Members: &m})
	c.members, c.membersIndex = m, c.lastIndex()
	c.updatePeers(now)
	c.broadcast(now)
	return c.lastIndex(), nil
}

// membersChangePending reports whether the newest membership is not committed.
func (c *Core) membersChangePending() bool { return c.membersIndex > c.commit }

// countVoterChanges returns the number of voters that only one of a and b has.
func countVoterChanges(a, b Members) int {
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

// append adds an entry of the current term to the leader's log. The leader's own
// acknowledgement of the entry counts only after the sync.
func (c *Core) append(now types.Mono, e Entry) {
	e.Index = c.lastIndex() + 1
	e.Term = c.hardState.Term
	c.advanceLogTime(now, c.LogTime(now))
	e.Time = c.LogTime(now)
	c.log = append(c.log, e)
	c.logTime, c.logTimeAt = e.Time, now
	c.queueSelfAck()
}

// queueSelfAck queues the leader's acknowledgement of its own log. It replaces an
// earlier one in the same output, so that there is at most one.
func (c *Core) queueSelfAck() {
	ack := Message{Kind: MsgAppendReply, To: c.id, Term: c.hardState.Term, Index: c.lastIndex()}
	for i, m := range c.out.AfterSync {
		if m.Kind == MsgAppendReply && m.To == c.id {
			ack.From = c.id
			c.out.AfterSync[i] = ack
			return
		}
	}
	c.sendAfterSync(ack)
}

// updatePeers adds and removes replicas in c.peers so that they match the
// membership.
func (c *Core) updatePeers(now types.Mono) {
	members := c.Members()
	for id := range c.peers {
		if !members.Has(id) {
			delete(c.peers, id)
		}
	}
	for _, m := range members.All() {
		if m.ID != c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.lastIndex() + 1, lastSentAt: now, trackedSince: now}
		}
		if m.ID == c.id && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.lastIndex() + 1}
		}
	}
}

// broadcast sends an append to every replica that has none in flight.
func (c *Core) broadcast(now types.Mono) {
	for _, m := range c.members.All() { // In a fixed order, to keep the core deterministic.
		if p := c.peers[m.ID]; !p.inFlight {
			c.sendAppend(now, m.ID, p)
		}
	}
}

// sendAppend sends a replica the next entries that it lacks, or a heartbeat if it lacks none or
// has not acknowledged the last ones yet. If they have been compacted away it sends a snapshot
// instead.
func (c *Core) sendAppend(now types.Mono, id ReplicaID, p *progress) {
	p.lastSentAt = now
	if id == c.id {
		return
	}
	if p.inFlight {
		c.sendHeartbeat(now, id, p)
		return
	}
	prev := p.next - 1
	term, ok := c.termAt(prev)
	if !ok {
		c.sendSnapshot(now, id, p)
		return
	}
	entries := c.nextBatch(p.next)
	if len(entries) > 0 {
		p.inFlight = true
		p.batch.end, p.batch.sentAt = prev+Index(len(entries)), now
	}
	c.sendAppendAfter(now, id, prev, term, entries)
}

// sendHeartbeat sends a replica an append without entries, after an entry that it is known to
// have. Every log has the start, before the first entry, in common.
func (c *Core) sendHeartbeat(now types.Mono, id ReplicaID, p *progress) {
	prev := p.match
	term, ok := c.termAt(prev)
	if !ok {
		prev, term = 0, 0
	}
	c.sendAppendAfter(now, id, prev, term, nil)
}

func (c *Core) sendAppendAfter(now types.Mono, id ReplicaID, prev Index, prevTerm Term, entries []Entry) {
	c.sendImmediately(Message{
		Kind: MsgAppend, To: id, Term: c.hardState.Term, Index: prev, LogTerm: prevTerm,
		Entries: entries, Commit: c.commit, SentAt: now, Time: c.LogTime(now),
	})
}

// sendSnapshot sends a message with the newest snapshot. The core does not keep
// the snapshot's data; the caller of the core adds it before sending.
func (c *Core) sendSnapshot(now types.Mono, id ReplicaID, p *progress) {
	p.inFlight = true
	p.batch.end, p.batch.sentAt = c.snap.Index, now
	snap := c.snap
	c.sendImmediately(Message{
		Kind: MsgSnapshot, To: id, Term: c.hardState.Term, Commit: c.commit,
		SentAt: now, Time: c.LogTime(now), Snapshot: &snap,
	})
}

// nextBatch returns the entries from first on, up to maxAppendBytes of data but
// at least one if there are any.
func (c *Core) nextBatch(first Index) []Entry {
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

// stepAppend handles an append from the leader of the current term.
func (c *Core) stepAppend(now types.Mono, m Message) {
	c.acceptLeader(now, m)
	reply := Message{Kind: MsgAppendReply, To: m.From, Term: c.hardState.Term, SentAt: m.SentAt}
	if m.Index < c.snap.Index {
		// The snapshot covers the start of the message, and the log matches the
		// leader's up to the commit index.
		reply.Index = c.commit
		c.sendAfterSync(reply)
		return
	}
	if term, ok := c.termAt(m.Index); !ok || term != m.LogTerm {
		reply.Refused = true
		reply.RefusedIndex = m.Index
		reply.Index = min(c.lastIndex(), m.Index-1)
		c.sendAfterSync(reply)
		return
	}
	c.mergeEntries(m.Entries)
	reply.Index = m.Index + Index(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.sendAfterSync(reply)
}

// acceptLeader makes the replica a follower of the sender of m and records the
// contact.
func (c *Core) acceptLeader(now types.Mono, m Message) {
	c.becomeFollower(now, m.Term, m.From)
	c.lastLeaderContact = now
	c.lateElections = 0
	c.cold = coldStart{}
	c.resetElectionDeadline(now)
	c.advanceLogTime(now, m.Time)
}

// mergeEntries adds entries whose predecessor is in the log. From the first entry
// with a conflicting term on, they replace those in the log.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := c.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		c.log = append(c.log[:e.Index-c.snap.Index-1], entries[i:]...)
		c.reportedIndex = min(c.reportedIndex, e.Index-1)
		c.reloadMembers()
		return
	}
}

// stepAppendReply handles a replica's reply to an append or a snapshot, or the
// leader's own acknowledgement.
func (c *Core) stepAppendReply(now types.Mono, m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	if m.From != c.id {
		p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
		p.hasReplied = true
	}
	if m.Refused {
		c.stepAppendRefusal(now, m, p)
		return
	}
	c.updateInFlight(now, m, p)
	p.match = max(p.match, m.Index)
	p.next = max(p.match+1, min(p.next, c.lastIndex()+1))
	c.advanceCommit()
	if p.match < c.lastIndex() && !p.inFlight {
		c.sendAppend(now, m.From, p)
	}
}

// maxResendDoublings makes the longest delay until a batch is sent again 8 heartbeats, 0.7 s in a
// fleet: a follower stays behind for up to that time after a loss has ended.
const maxResendDoublings = 3

// updateInFlight finds out from a replica's reply whether the batch in flight was acknowledged
// or lost. A replica replies to what it was sent in that order, once that is stored; so a reply
// to a later heartbeat that does not acknowledge the batch shows that it was lost, or that the
// replica has restarted. Since a heartbeat may overtake a large batch on the way, the batch is
// sent again after a delay that doubles each time.
func (c *Core) updateInFlight(now types.Mono, m Message, p *progress) {
	switch {
	case !p.inFlight:
	case m.Index >= p.batch.end || m.SentAt == p.batch.sentAt:
		p.inFlight = false
		p.batch.resends = 0
	case m.SentAt > p.batch.sentAt && now.Sub(p.batch.sentAt) >= c.timing.Heartbeat<<min(p.batch.resends, maxResendDoublings):
		p.inFlight = false
		p.batch.resends++
	}
}

// stepAppendRefusal moves the replica's next index back and retries the append.
func (c *Core) stepAppendRefusal(now types.Mono, m Message, p *progress) {
	if m.RefusedIndex != p.next-1 || m.RefusedIndex <= p.match {
		return // The reply is to an append that has been superseded.
	}
	p.next = max(m.Index+1, p.match+1)
	p.inFlight = false
	c.sendAppend(now, m.From, p)
}

// advanceCommit raises the commit index to the highest entry that a quorum has
// synced, if that entry is of the current term.
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
	if term, ok := c.termAt(n); ok && term == c.hardState.Term && n > c.commit {
		c.commit = n
	}
}
