package quorum

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

// Tick does the work that is due at now: it starts elections, sends heartbeats
// and makes a leader step down that has lost contact with its quorum.
func (c *Core) Tick(now types.Mono) {
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	c.tickColdStart(now)
	if now < c.electionDeadline {
		return
	}
	if !c.Members().IsVoter(c.id) {
		c.resetElectionDeadline(now)
		return
	}
	if c.awaitsVote {
		c.resetRetryDeadline(now) // Requests for pre-votes would wait for the same sync.
		return
	}
	if c.role == Candidate {
		c.lateElections++ // A majority has granted its pre-votes, and so would probably vote.
	}
	c.campaign(PreCandidate, bypassNone)
	c.resetRetryDeadline(now)
}

func (c *Core) tickLeader(now types.Mono) {
	c.noteDelay(now)
	silentSince := max(c.quorumAckTime(now), c.lastLeaderContact)
	if now.Sub(max(silentSince, c.resumedAt)) > c.timing.MinElectionTimeout || now.Sub(silentSince) > maxSilence*c.timing.MinElectionTimeout {
		// The lease has expired. Further heartbeats would only keep the other
		// replicas from electing a leader that receives their replies.
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	for _, m := range c.members.All() {
		if p := c.peers[m.ID]; now.Sub(p.lastSentAt) >= c.timing.Heartbeat {
			c.sendAppend(now, m.ID, p)
		}
	}
}

// maxSilence is the time, in units of MinElectionTimeout, after which a leader without
// replies resigns even if it was held up.
const maxSilence = 4

// noteDelay records when a leader whose process was held up has resumed. For as long as it was,
// it has sent no heartbeats, so that the silence of the others tells nothing. Its lease has
// run out meanwhile if it was held up for so long, so that it does no harm to ask them again:
// if they have elected another leader, their replies say so. Shorter delays do not count: a
// processor that is shared by quota causes them all the time, and a leader that hears nobody
// would lead for longer.
func (c *Core) noteDelay(now types.Mono) {
	if now.Sub(c.lastTick) > c.timing.MinElectionTimeout/2 {
		c.resumedAt = now
	}
	c.lastTick = now
}

// leaseBypass is why a voter may grant its vote to a candidate even though it may
// have had contact with a leader within MinElectionTimeout.
type leaseBypass uint8

const (
	bypassNone      leaseBypass = iota // no reason: the voter must wait
	bypassTransfer                     // the leader has given up its lease
	bypassColdStart                    // all voters have just started; see cold.go
)

// campaign sends requests to all voters: pre-vote requests if role is
// PreCandidate, or vote requests in a new term if it is Candidate.
func (c *Core) campaign(role Role, bypass leaseBypass) {
	c.role = role
	c.leader = ""
	c.preVotes = map[ReplicaID]bool{}
	kind, term := MsgPreVote, c.hardState.Term+1
	if role == Candidate {
		c.votes, c.preVotes, c.refusals = map[ReplicaID]bool{}, nil, 0
		c.hardState = HardState{Term: term, Vote: c.id}
		c.voteGiven()
		kind = MsgVote
	}
	lastTerm, _ := c.termAt(c.lastIndex())
	for _, v := range c.Members().Voters {
		m := Message{Kind: kind, To: v.ID, Term: term, Index: c.lastIndex(), LogTerm: lastTerm, Transfer: bypass == bypassTransfer, Cold: bypass == bypassColdStart}
		if m.Cold {
			m.VotersHash, m.SentAt = c.votersHash(), c.cold.probeSentAt
		}
		if v.ID == c.id {
			// The candidate's own vote, too, counts only after the sync.
			m = Message{Kind: kind + 1, To: c.id, Term: term}
		}
		c.sendAfterSync(m)
	}
}

// candidacy returns how many replicas have voted for this one in the current term. ok is false
// unless it is a candidate.
func (c *Core) candidacy() (votes int, ok bool) { return len(c.votes), c.votes != nil }

// becomeFollower makes the replica a follower of leader, which is empty if
// unknown. It raises the current term to term if that is later.
func (c *Core) becomeFollower(now types.Mono, term Term, leader ReplicaID) {
	if term > c.hardState.Term {
		c.hardState, c.awaitsVote = HardState{Term: term}, false
	}
	if c.role != Follower {
		c.resetElectionDeadline(now)
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.votes, c.preVotes = nil, nil
}

// becomeLeader makes the replica the leader of the current term.
func (c *Core) becomeLeader(now types.Mono) {
	c.role = Leader
	c.leader = c.id
	c.votes, c.preVotes = nil, nil
	c.lastLeaderContact, c.lastTick, c.resumedAt = now, now, now
	c.lateElections = 0
	c.cold = coldStart{}
	c.peers = map[ReplicaID]*progress{}
	c.updatePeers(now)
	c.termStartIndex = c.lastIndex() + 1
	c.append(now, Entry{Kind: KindNoop})
	c.broadcast(now)
}

// Step processes one message. It ignores messages to other replicas.
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
		c.stepVoteRequest(now, m)
		return
	case m.Kind == MsgPreVoteReply:
		c.stepPreVoteReply(now, m)
		return
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleLeader(m)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, "")
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

// TransferLeadership transfers leadership from a leader that is about to stop to
// the other voter with the highest match index. The leader gives up its lease at
// once and does not lead again in this term. The caller must publish the end of
// the lease before it sends the resulting message.
func (c *Core) TransferLeadership(now types.Mono) {
	if c.role != Leader {
		return
	}
	successor := ReplicaID("")
	for _, v := range c.Members().Voters {
		if v.ID != c.id && (successor == "" || c.Match(v.ID) > c.Match(successor)) {
			successor = v.ID
		}
	}
	c.becomeFollower(now, c.hardState.Term, "")
	if successor != "" {
		c.sendImmediately(Message{Kind: MsgTransfer, To: successor, Term: c.hardState.Term})
	}
}

// stepTransfer starts an election in the next term immediately, at the request
// of the leader of this term. A delayed message does no harm: if another leader
// has been elected meanwhile, it was in the next term or a later one, so this
// replica cannot win the next term as well.
func (c *Core) stepTransfer(now types.Mono, m Message) {
	if c.role != Follower || c.leader != m.From || !c.Members().IsVoter(c.id) {
		return
	}
	c.campaign(Candidate, bypassTransfer)
	c.resetRetryDeadline(now)
}

// rejectStaleLeader informs the leader of an earlier term that its term is over.
func (c *Core) rejectStaleLeader(m Message) {
	if m.Kind != MsgAppend && m.Kind != MsgSnapshot {
		return
	}
	c.sendAfterSync(Message{Kind: MsgAppendReply, To: m.From, Term: c.hardState.Term, Refused: true})
}

// stepVoteRequest handles a pre-vote or vote request. It ignores the request
// while a leader may hold a lease that relies on this replica.
func (c *Core) stepVoteRequest(now types.Mono, m Message) {
	if c.role == Leader && now < c.LeaseUntil(now) {
		return
	}
	if c.role != Leader && !m.Transfer && !c.grantsColdVote(m) && now.Sub(c.lastLeaderContact) < c.timing.MinElectionTimeout {
		return
	}
	pre := m.Kind == MsgPreVote
	if !pre && m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, "")
	}
	voteAvailable := pre && m.Term > c.hardState.Term ||
		!pre && m.Term == c.hardState.Term && (c.hardState.Vote == "" || c.hardState.Vote == m.From)
	granted := voteAvailable && c.isUpToDate(m.Index, m.LogTerm)
	if granted && !pre {
		c.hardState.Vote = m.From
		c.voteGiven()
		c.resetElectionDeadline(now)
	}
	reply := Message{Kind: m.Kind + 1, To: m.From, Term: m.Term, Refused: !granted}
	if !granted {
		reply.Term = max(c.hardState.Term, 1)
	}
	c.sendAfterSync(reply)
	if granted && !pre {
		c.sendAfterSync(Message{Kind: MsgVoteReply, To: c.id, Term: c.hardState.Term, Refused: true})
	}
}

// isUpToDate reports whether a log whose last entry has the given index and term
// contains every entry of this replica's log that may be committed.
func (c *Core) isUpToDate(index Index, term Term) bool {
	last := c.lastIndex()
	lastTerm, _ := c.termAt(last)
	return term > lastTerm || term == lastTerm && index >= last
}

func (c *Core) stepPreVoteReply(now types.Mono, m Message) {
	if m.Refused && m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, "")
		return
	}
	if c.role != PreCandidate || m.Refused || m.Term != c.hardState.Term+1 {
		return
	}
	if c.hasQuorumWith(c.preVotes, m.From) {
		c.campaign(Candidate, bypassNone)
		c.resetRetryDeadline(now)
	}
}

// stepVoteReply counts a vote. Votes of the current term count until the term ends, also while
// this replica asks for pre-votes for the next one: on slow disks they take longer than any
// deadline that was set before.
//
// A replica also tells itself that its vote is durable, with a refusal if it is for another one.
func (c *Core) stepVoteReply(now types.Mono, m Message) {
	if m.From == c.id {
		c.voteWritten(now)
	}
	switch {
	case c.votes == nil:
	case m.Refused:
		if c.refusals++; len(c.Members().Voters)-c.refusals < c.Members().Quorum() {
			c.retrySoon(now) // The others have given their votes, so that they need no more time.
		}
	case c.hasQuorumWith(c.votes, m.From):
		c.becomeLeader(now)
	}
}

// voteGiven is called when this replica has given its vote in the current term. Confirmations of
// a probe that it has sent before may arrive meanwhile, and must not begin another election.
func (c *Core) voteGiven() { c.awaitsVote, c.cold.eligible = true, false }

// voteWritten is called once this replica's vote in the current term is durable. The others may
// still be writing theirs, which takes them about as long as this one has taken, and up to twice
// that if another write was under way. The deadlines were set when that time was not known, as for
// the first write after a start: they would end the election before it is decided.
func (c *Core) voteWritten(now types.Mono) {
	c.awaitsVote = false
	if c.votes == nil {
		c.resetElectionDeadline(now)
	} else {
		c.resetRetryDeadline(now)
	}
	c.cold.nextProbe = max(c.cold.nextProbe, now.Add(c.votingTime()))
}

// retrySoon sets the deadline of a candidate that cannot win any more. The one that has won, if any,
// has time to tell the others.
func (c *Core) retrySoon(now types.Mono) {
	base := c.timing.MinElectionTimeout / 5
	c.electionDeadline = min(c.electionDeadline, now.Add(base+time.Duration(c.rand.Int64N(int64(2*base)))))
	c.cold.nextProbe = min(c.cold.nextProbe, c.electionDeadline)
}

// hasQuorumWith adds a replica to those that have granted a vote or pre-vote and reports
// whether they form a quorum.
func (c *Core) hasQuorumWith(granted map[ReplicaID]bool, from ReplicaID) bool {
	granted[from] = true
	members := c.Members()
	n := 0
	for _, v := range members.Voters {
		if granted[v.ID] {
			n++
		}
	}
	return n >= members.Quorum()
}
