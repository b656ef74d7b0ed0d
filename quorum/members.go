package quorum

import "time"

// caughtUp is how many entries a learner may lack when it becomes a voter.
const caughtUp = 64

// NextMembers returns the next step from m towards a membership of voters that
// answer, as seen by the leader whose status s is, or m if there is none to
// take. Learners that have caught up become voters. A voter whose place one of
// them takes goes first, since counting it would leave the group without a
// spare for longer: one on the same host, whose folder is lost so that it can
// never answer again, or else one that has been silent for goneAfter. A silent
// voter of an even number goes as well: the others bear as many losses without
// it. A goneAfter of 0 keeps silent voters.
func (s Status) NextMembers(m Members, goneAfter time.Duration) Members {
	silent := s.silent(m, goneAfter)
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
		if silent != "" {
			return m.Without(silent)
		}
		return m.Promote(l.ID)
	}
	if silent != "" && len(m.Voters)%2 == 0 {
		return m.Without(silent)
	}
	return m
}

// silent returns a voter that has not answered for goneAfter, or nothing.
func (s Status) silent(m Members, goneAfter time.Duration) ReplicaID {
	for _, v := range m.Voters {
		if goneAfter > 0 && s.Silence[v.ID] > goneAfter {
			return v.ID
		}
	}
	return ""
}
