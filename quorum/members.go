package quorum

import "time"

// caughtUp is how many entries a learner may lack when it becomes a voter.
const caughtUp = 64

// NextMembers returns the next step from m towards a membership of voters
// alone, as seen by the leader whose status s is, or m if there is none to
// take. A voter whose place a learner takes goes first, since counting it would
// leave the group without a spare for longer: one on the same host, whose
// folder is lost so that it can never answer again, or else one that has been
// silent for goneAfter, unless that is 0.
func (s Status) NextMembers(m Members, goneAfter time.Duration) Members {
	for _, l := range m.Learners {
		match := s.Match[l.ID]
		if match == 0 || match+caughtUp < s.Commit {
			continue
		}
		for _, v := range m.Voters {
			if v.Host == l.Host {
				return m.Without(v.ID)
			}
		}
		for _, v := range m.Voters {
			if goneAfter > 0 && s.Silence[v.ID] > goneAfter {
				return m.Without(v.ID)
			}
		}
		return m.Promote(l.ID)
	}
	return m
}
