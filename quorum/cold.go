package quorum

import (
	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// A replica that has just started does not know whether it promised a leader,
// before its end, to elect no other, so it gives no vote for ElectionMin. When
// all replicas of a group start at once, nobody can hold such a promise: a
// leader's reign ends with its process. So a replica that has heard of no leader
// since its start is cold, and confirms that to others that ask. One that has the
// confirmation of all voters, for one and the same question, asks for votes at
// once, if no other's log is better; a voter that is still cold gives its vote.
//
// The lease of a leader that was elected meanwhile holds: it counts on a quorum
// that has heard the leader, and they are not cold any more. Nor does one of them
// that has started once more give its vote, since it has not confirmed this
// question. And only replicas that know the same voters confirm each other's: a
// leader that one of them does not know of cannot be missed.

// coldStart is what a cold replica knows of the others. The zero value is that
// of a replica that is not cold.
type coldStart struct {
	is          bool
	asked       types.Mono // when it asked the others last
	next        types.Mono // when to ask again
	confirmed   map[ReplicaID]bool
	best        bool                     // no other's log is better than the own one
	confirmedTo map[ReplicaID]types.Mono // the question of each other that it confirmed last
}

// coldPause is the part of ElectionMin after which a cold replica asks again.
const coldPause = 10

// tickCold asks all voters whether they are cold.
func (c *Core) tickCold(now types.Mono) {
	if !c.cold.is || now < c.cold.next || !c.Members().IsVoter(c.id) {
		return
	}
	c.cold.asked, c.cold.next = now, now.Add(c.timing.ElectionMin/coldPause)
	c.cold.confirmed, c.cold.best = map[ReplicaID]bool{c.id: true}, true
	for _, v := range c.Members().Voters {
		if v.ID != c.id {
			c.sendNow(Message{Kind: MsgPreVote, To: v.ID, Term: c.hard.Term, Cold: true, Voters: c.voters(), SentAt: now})
		}
	}
	c.campaignCold(now) // It may be the only voter.
}

// stepColdProbe confirms to another replica that this one is cold.
func (c *Core) stepColdProbe(m Message) {
	if !c.cold.is || c.role == Leader || m.Voters != c.voters() {
		return
	}
	if c.cold.confirmedTo == nil {
		c.cold.confirmedTo = map[ReplicaID]types.Mono{}
	}
	c.cold.confirmedTo[m.From] = m.SentAt
	lastTerm, _ := c.termAt(c.lastIndex())
	c.sendNow(Message{
		Kind: MsgPreVoteReply, To: m.From, Term: c.hard.Term, Cold: true,
		Index: c.lastIndex(), LogTerm: lastTerm, SentAt: m.SentAt,
	})
}

// stepColdReply notes the confirmation of another replica.
func (c *Core) stepColdReply(now types.Mono, m Message) {
	if !c.cold.is || c.role == Leader || m.SentAt != c.cold.asked {
		return
	}
	if m.Term > c.hard.Term {
		c.follow(now, m.Term, "")
	}
	c.cold.confirmed[m.From] = true
	lastTerm, _ := c.termAt(c.lastIndex())
	worse := m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index > c.lastIndex()
	equal := m.LogTerm == lastTerm && m.Index == c.lastIndex()
	if worse || equal && m.From < c.id {
		c.cold.best = false
	}
	c.campaignCold(now)
}

// campaignCold asks for votes if all voters have confirmed.
func (c *Core) campaignCold(now types.Mono) {
	if !c.cold.best {
		return
	}
	for _, v := range c.Members().Voters {
		if !c.cold.confirmed[v.ID] {
			return
		}
	}
	c.cold.next = now.Add(c.timing.ElectionMin / 2) // Votes need a sync.
	c.campaign(Candidate, basisCold)
	c.cold.best = false // Once for each question.
	c.retryDeadline(now)
}

// grantsCold reports whether a request for a vote is one that a cold replica
// need not refuse.
func (c *Core) grantsCold(m Message) bool {
	confirmedTo, ok := c.cold.confirmedTo[m.From]
	return m.Kind == MsgVote && m.Cold && c.cold.is && ok && m.SentAt == confirmedTo && m.Voters == c.voters()
}

// voters identifies the voters that this replica knows.
func (c *Core) voters() uint64 {
	h := xxhash.New()
	for _, v := range c.Members().Voters {
		_, _ = h.WriteString(string(v.ID) + "\n") // It does not fail.
	}
	return h.Sum64()
}
