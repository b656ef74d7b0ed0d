package quorum

import "github.com/banyanspur/banyanspur/types"

// Tick lets time pass: it starts elections, sends heartbeats and makes a
// leader that lost its quorum step down.
func (c *Core) Tick(now types.Mono) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	c.tickCold(now)
	if now < c.deadline {
		return
	}
	if !c.Members().IsVoter(c.id) {
		c.resetDeadline(now)
		return
	}
	c.campaign(PreCandidate, basisNone)
	c.retryDeadline(now)
}

func (c *Core) tickLeader(now types.Mono) {
	if now.Sub(max(c.quorumAck(now), c.heard)) > c.timing.ElectionMin {
		// The lease has run out. Heartbeats would only keep the others from
		// electing a leader that hears them.
		c.follow(now, c.hard.Term, "")
		return
	}
	for _, m := range c.members.All() {
		if p := c.peers[m.ID]; now.Sub(p.sentAt) >= c.timing.Heartbeat {
			c.sendAppend(now, m.ID, p)
		}
	}
}

// basis is why replicas may vote for a candidate although a leader may have been
// heard of within ElectionMin.
type basis uint8

const (
	basisNone     basis = iota // they may not
	basisTransfer              // the leader has given its lease up
	basisCold                  // all voters have just started, see cold.go
)

// campaign asks all voters for a vote, or whether they would give one.
func (c *Core) campaign(role Role, basis basis) {
	c.role = role
	c.leader = ""
	c.votes = map[ReplicaID]bool{}
	kind, term := MsgPreVote, c.hard.Term+1
	if role == Candidate {
		c.hard = HardState{Term: term, Vote: c.id}
		kind = MsgVote
	}
	lastTerm, _ := c.termAt(c.lastIndex())
	for _, v := range c.Members().Voters {
		m := Message{Kind: kind, To: v.ID, Term: term, Index: c.lastIndex(), LogTerm: lastTerm, Transfer: basis == basisTransfer, Cold: basis == basisCold}
		if m.Cold {
			m.Voters, m.SentAt = c.voters(), c.cold.asked
		}
		if v.ID == c.id {
			// The own vote counts like any other: only after the sync.
			m = Message{Kind: kind + 1, To: c.id, Term: term}
		}
		c.sendAfterSync(m)
	}
}

// follow makes the replica a follower in the given term.
func (c *Core) follow(now types.Mono, term Term, leader ReplicaID) {
	if term > c.hard.Term {
		c.hard = HardState{Term: term}
	}
	if c.role != Follower {
		c.resetDeadline(now)
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.votes = nil
}

// lead makes the replica the leader of its term.
func (c *Core) lead(now types.Mono) {
	c.role = Leader
	c.leader = c.id
	c.votes = nil
	c.heard = now
	c.cold = coldStart{}
	c.peers = map[ReplicaID]*progress{}
	c.syncPeers(now)
	c.termStart = c.lastIndex() + 1
	c.append(now, Entry{Kind: KindNoop})
	c.broadcast(now)
}

// Step takes one message.
func (c *Core) Step(now types.Mono, m Message) {
	if m.To != c.id || m.Kind == MsgSnapshot && m.Snapshot == nil {
		return
	}
	switch {
	case m.Kind == MsgPreVote && m.Cold:
		c.stepColdProbe(m)
		return
	case m.Kind == MsgPreVoteReply && m.Cold:
		c.stepColdReply(now, m)
		return
	case m.Kind == MsgPreVote || m.Kind == MsgVote:
		c.stepVote(now, m)
		return
	case m.Kind == MsgPreVoteReply:
		c.stepPreVoteReply(now, m)
		return
	}
	if m.Term < c.hard.Term {
		c.refuseStale(m)
		return
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term, "")
	}
	switch m.Kind {
	case MsgVoteReply:
		c.stepVoteReply(now, m)
	case MsgAppend:
		c.stepAppend(now, m)
	case MsgSnapshot:
		c.stepSnapshot(now, m)
	case MsgAppendReply:
		c.stepAppendReply(now, m)
	case MsgTransfer:
		c.stepTransfer(now, m)
	}
}

// Transfer makes a leader that is about to stop hand its lead over. It gives
// its lease up first, for good: the replica does not lead in this term again.
// The shell must publish that before it sends the message.
func (c *Core) Transfer(now types.Mono) {
	if c.role != Leader {
		return
	}
	best := ReplicaID("")
	for _, v := range c.Members().Voters {
		if v.ID != c.id && (best == "" || c.Match(v.ID) > c.Match(best)) {
			best = v.ID
		}
	}
	c.follow(now, c.hard.Term, "")
	if best != "" {
		c.sendNow(Message{Kind: MsgTransfer, To: best, Term: c.hard.Term})
	}
}

// stepTransfer starts an election at once, on behalf of the leader of this
// term. A message that comes late finds another term and changes nothing: any
// other leader is elected in the next term or later, in which this replica
// then cannot win.
func (c *Core) stepTransfer(now types.Mono, m Message) {
	if c.role != Follower || c.leader != m.From || !c.Members().IsVoter(c.id) {
		return
	}
	c.campaign(Candidate, basisTransfer)
	c.retryDeadline(now)
}

// refuseStale tells a leader of an earlier term that its reign is over.
func (c *Core) refuseStale(m Message) {
	if m.Kind != MsgAppend && m.Kind != MsgSnapshot {
		return
	}
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Term: c.hard.Term, Refused: true})
}

// stepVote answers a request for a vote. While a leader may hold a lease that
// counts on this replica, the request is ignored.
func (c *Core) stepVote(now types.Mono, m Message) {
	if c.role == Leader && now < c.LeaseUntil(now) {
		return
	}
	if c.role != Leader && !m.Transfer && !c.grantsCold(m) && now.Sub(c.heard) < c.timing.ElectionMin {
		return
	}
	pre := m.Kind == MsgPreVote
	if !pre && m.Term > c.hard.Term {
		c.follow(now, m.Term, "")
	}
	free := pre && m.Term > c.hard.Term ||
		!pre && m.Term == c.hard.Term && (c.hard.Vote == "" || c.hard.Vote == m.From)
	granted := free && c.upToDate(m.Index, m.LogTerm)
	if granted && !pre {
		c.hard.Vote = m.From
		c.resetDeadline(now)
	}
	reply := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term, Refused: !granted}
	if !granted {
		reply.Term = max(c.hard.Term, 1)
	}
	c.sendAfterSync(reply)
}

// upToDate reports whether a log that ends with the given entry holds all that
// this replica's log may have committed.
func (c *Core) upToDate(index Index, term Term) bool {
	last := c.lastIndex()
	lastTerm, _ := c.termAt(last)
	return term > lastTerm || term == lastTerm && index >= last
}

func (c *Core) stepPreVoteReply(now types.Mono, m Message) {
	if m.Refused && m.Term > c.hard.Term {
		c.follow(now, m.Term, "")
		return
	}
	if c.role != PreCandidate || m.Refused || m.Term != c.hard.Term+1 {
		return
	}
	if c.countVote(m.From) {
		c.campaign(Candidate, basisNone)
		c.retryDeadline(now)
	}
}

func (c *Core) stepVoteReply(now types.Mono, m Message) {
	if c.role != Candidate || m.Refused {
		return
	}
	if c.countVote(m.From) {
		c.lead(now)
	}
}

// countVote notes a vote and reports whether a quorum has been reached.
func (c *Core) countVote(from ReplicaID) bool {
	c.votes[from] = true
	members := c.Members()
	n := 0
	for _, v := range members.Voters {
		if c.votes[v.ID] {
			n++
		}
	}
	return n >= members.Quorum()
}
