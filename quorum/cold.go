package quorum

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/banyanspur/banyanspur/types"
)

// This file speeds up the first election after all replicas of a group have
// started at the same time.
//
// A replica that has just started does not know whether it acknowledged a leader
// before it stopped and thereby promised not to elect another. It therefore
// grants no vote for MinElectionTimeout. If all replicas have just started, no
// leader can rely on such a promise, because leadership ends with the leader's
// process.
//
// A replica that has had no contact with a leader since its start is called cold.
// It confirms this in reply to probes of other replicas. Once all voters have
// confirmed the same probe, and no other voter's log is more up to date, the
// replica that sent the probe requests votes immediately. A voter that is still
// cold grants its vote.
//
// The order of messages, not a time limit, keeps elections apart: a replica sends no probe
// before its own vote is durable and its vote requests are on their way, and a voter confirms
// the next probe after it has sent the vote that it is writing. However long writes take, all
// votes for a candidate arrive before all confirmations that could begin its next election.
//
// This preserves the lease of a leader that was elected in the meantime. That
// lease relies on a quorum of replicas that had contact with the leader and so
// are no longer cold. If one of them has restarted since, it does not grant its
// vote either, because it has not confirmed this probe. Replicas confirm only the
// probes of replicas that know the same voters, so that a leader unknown to one
// of them cannot be overlooked.

// coldStart is the state of a cold replica's probes. The zero value is that of a
// replica that is not cold.
type coldStart struct {
	active      bool
	probeSentAt types.Mono         // SentAt of the latest probe, which identifies it
	nextProbe   types.Mono         // when to send the next probe
	interval    time.Duration      // between two probes, at least; raised if confirmations take longer
	confirmedBy map[ReplicaID]bool // the replicas that confirmed the latest probe
	// eligible is set until this replica has given its vote or the probe has been confirmed
	// by a replica that takes precedence: one with a more up-to-date log, or with
	// an equal log and a lower ID.
	eligible        bool
	confirmedSentAt map[ReplicaID]types.Mono // SentAt of the last probe confirmed to each replica
}

const (
	// coldProbesPerMinElectionTimeout is how many probes a cold replica sends in
	// MinElectionTimeout, unless confirmations take longer.
	coldProbesPerMinElectionTimeout = 10
	// minColdProbes is how many it sends at least. If confirmations take longer than that allows,
	// ordinary elections are as fast.
	minColdProbes = 2
)

// tickColdStart sends a probe to all other voters if one is due.
func (c *Core) tickColdStart(now types.Mono) {
	if !c.cold.active || now < c.cold.nextProbe || c.awaitsVote || !c.Members().IsVoter(c.id) {
		return
	}
	c.cold.probeSentAt, c.cold.nextProbe = now, now.Add(max(c.cold.interval, c.timing.MinElectionTimeout/coldProbesPerMinElectionTimeout))
	c.cold.confirmedBy, c.cold.eligible = map[ReplicaID]bool{c.id: true}, true
	for _, v := range c.Members().Voters {
		if v.ID != c.id {
			c.sendImmediately(Message{Kind: MsgPreVote, To: v.ID, Term: c.hardState.Term, Cold: true, VotersHash: c.votersHash(), SentAt: now})
		}
	}
	c.campaignColdStart(now) // This replica may be the only voter.
}

// stepColdProbe handles another replica's probe. It confirms the probe if this
// replica is cold as well, after the writes under way: a vote that is being
// written then reaches its candidate before the confirmation, which may begin the
// next election.
func (c *Core) stepColdProbe(m Message) {
	if !c.cold.active || c.role == Leader || m.VotersHash != c.votersHash() {
		return
	}
	if c.cold.confirmedSentAt == nil {
		c.cold.confirmedSentAt = map[ReplicaID]types.Mono{}
	}
	c.cold.confirmedSentAt[m.From] = m.SentAt
	lastTerm, _ := c.termAt(c.lastIndex())
	c.sendAfterSync(Message{
		Kind: MsgPreVoteReply, To: m.From, Term: c.hardState.Term, Cold: true,
		Index: c.lastIndex(), LogTerm: lastTerm, SentAt: m.SentAt,
	})
}

// stepColdReply records another replica's confirmation of the latest probe.
func (c *Core) stepColdReply(now types.Mono, m Message) {
	if !c.cold.active || c.role == Leader {
		return
	}
	if m.SentAt != c.cold.probeSentAt {
		c.slowProbes(now.Sub(m.SentAt))
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, "")
	}
	c.cold.confirmedBy[m.From] = true
	lastTerm, _ := c.termAt(c.lastIndex())
	behind := m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index > c.lastIndex()
	equal := m.LogTerm == lastTerm && m.Index == c.lastIndex()
	if behind || equal && m.From < c.id {
		c.cold.eligible = false
	}
	c.campaignColdStart(now)
}

// slowProbes delays the next probes, since a confirmation has taken so long that the next probe had
// replaced its own.
func (c *Core) slowProbes(took time.Duration) {
	c.cold.interval = max(c.cold.interval, min(2*took, c.timing.MinElectionTimeout/minColdProbes))
	c.cold.nextProbe = max(c.cold.nextProbe, c.cold.probeSentAt.Add(c.cold.interval))
}

// campaignColdStart requests votes if all voters have confirmed the latest probe
// and the replica is eligible.
func (c *Core) campaignColdStart(now types.Mono) {
	if !c.cold.eligible {
		return
	}
	for _, v := range c.Members().Voters {
		if !c.cold.confirmedBy[v.ID] {
			return
		}
	}
	c.campaign(Candidate, bypassColdStart) // One election per probe: it is not eligible from then on.
	c.resetRetryDeadline(now)
}

// grantsColdVote reports whether this replica, being cold, may vote for the
// sender of m within MinElectionTimeout of its own start.
func (c *Core) grantsColdVote(m Message) bool {
	confirmedTo, ok := c.cold.confirmedSentAt[m.From]
	return m.Kind == MsgVote && m.Cold && c.cold.active && ok && m.SentAt == confirmedTo && m.VotersHash == c.votersHash()
}

// votersHash returns a hash of the voters known to this replica, in order.
func (c *Core) votersHash() uint64 {
	h := xxhash.New()
	for _, v := range c.Members().Voters {
		_, _ = h.WriteString(string(v.ID) + "\n") // It never returns an error.
	}
	return h.Sum64()
}
