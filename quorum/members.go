package quorum

import "time"

// maxLearnerLag is the number of committed entries that a learner may lack when
// it becomes a voter.
const maxLearnerLag = 64

// NextMembers returns the membership that should follow m so that all voters
// become responsive, or m if no change is due. s is the leader's status.
//
// A learner that has caught up becomes a voter. If it replaces a voter, that
// voter is removed first, since counting it would leave the group without a
// spare for longer. The learner replaces the voter on its own host, whose
// directory is lost so that it can never reply again, or else a voter that has
// not replied for voterTimeout.
//
// An unresponsive voter is also removed if the number of voters is even, since
// the others tolerate as many failures without it. With a voterTimeout of 0,
// unresponsive voters are kept.
func (s Status) NextMembers(m Members, voterTimeout time.Duration) Members {
	unresponsive := s.unresponsiveVoter(m, voterTimeout)
	for _, l := range m.Learners {
		match := s.Match[l.ID]
		if match == 0 || match+maxLearnerLag < s.Commit {
			continue
		}
		for _, v := range m.Voters {
			if v.Host == l.Host {
				return m.Without(v.ID)
			}
		}
		if unresponsive != "" {
			return m.Without(unresponsive)
		}
		return m.Promote(l.ID)
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
