package quorum

import (
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// maxLearnerLag is the number of committed entries that a learner may lack when
	// it becomes a voter.
	maxLearnerLag = 64
	// learnerTimeoutShare is the part of the voter timeout, as a divisor, within which a
	// learner must have replied to become a voter. A voter that is only briefly away is
	// not replaced by a learner that is away as well.
	learnerTimeoutShare = 4
)

// ShouldJoin reports whether the replica should ask the group to accept it as a member.
//
// A replica that has had no contact with a leader for timeout should do so even if it is
// a member by its own log: the group may have removed it while it was away, sends nothing
// to those that it has removed, and ignores their pre-votes. Asking is harmless if the
// replica is still a member. If it was removed, it returns as a learner under its old ID,
// with the votes that it has given, and counts again only once it has caught up.
func (s Status) ShouldJoin(now types.Mono, timeout time.Duration) bool {
	if s.ID == "" || s.Role == Leader {
		return false
	}
	return !s.Members.Has(s.ID) || now.Sub(s.LeaderContact) > timeout
}

// NextMembers returns the membership that should follow m so that all voters
// become responsive, or m if no change is due. s is the leader's status.
//
// A learner that has caught up and still replies becomes a voter. If it replaces a voter,
// that voter is removed first, since counting it would leave the group without a spare for
// longer. The learner replaces the voter on its own host, whose directory is lost so that
// it can never reply again, or else, in an odd group, a voter that has not replied for
// voterTimeout.
//
// An unresponsive voter is also removed if the number of voters is even, since
// the others tolerate as many failures without it. With a voterTimeout of 0,
// unresponsive voters are kept. A voter that was removed while it was away returns as a
// learner; see [Status.ShouldJoin].
func (s Status) NextMembers(m Members, voterTimeout time.Duration) Members {
	unresponsive := s.unresponsiveVoter(m, voterTimeout)
	for _, l := range m.Learners {
		match := s.Match[l.ID]
		away := voterTimeout > 0 && s.SinceLastReply[l.ID] > voterTimeout/learnerTimeoutShare
		if away || match == 0 || match+maxLearnerLag < s.Commit {
			continue
		}
		for _, v := range m.Voters {
			if v.Host == l.Host {
				return m.Without(v.ID)
			}
		}
		if unresponsive != "" && len(m.Voters)%2 == 1 {
			return m.Without(unresponsive)
		}
		return m.Promote(l.ID) // One more than an even number does not raise the quorum.
	}
	if unresponsive != "" && len(m.Voters)%2 == 0 {
		return m.Without(unresponsive)
	}
	return m
}

// unresponsiveVoter returns a voter that has not replied for voterTimeout, or the
// empty string if there is none or voterTimeout is 0.
func (s Status) unresponsiveVoter(m Members, voterTimeout time.Duration) ReplicaID {
	for _, v := range m.Voters {
		if voterTimeout > 0 && s.SinceLastReply[v.ID] > voterTimeout {
			return v.ID
		}
	}
	return ""
}
