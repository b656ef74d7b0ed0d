package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// candidacy is what a replica records of an election that it has started.
type candidacy struct {
	term      Term // 0 if there is none
	startedAt types.Mono
	votes     int // the most votes that it had
}

// recordElection logs that the replica has started an election, and that the election has ended
// without making it the leader.
func (r *Replica[C, R]) recordElection(s *Status, now types.Mono) {
	votes, underWay := r.core.candidacy()
	if r.candidacy.term != 0 && (!underWay || s.Term != r.candidacy.term) {
		r.recordElectionEnd(s, now)
	}
	if !underWay {
		return
	}
	if r.candidacy.term == 0 {
		r.candidacy = candidacy{term: s.Term, startedAt: now}
		r.Log.Write(event.ElectionStarted, event.Fields{
			"group": r.Group, "term": s.Term, "replica": s.ID, "voters": len(s.Members.Voters), "sinceContactMs": now.Sub(s.LeaderContact).Milliseconds(),
		})
	}
	r.candidacy.votes = max(r.candidacy.votes, votes)
}

// recordElectionEnd counts how the election under way has ended, and logs it unless the replica
// was elected. An election lasts as long as its term: another replica was elected in that, the
// replica itself has begun the next one, or it has heard of a newer term.
func (r *Replica[C, R]) recordElectionEnd(s *Status, now types.Mono) {
	ended := r.candidacy
	r.candidacy = candidacy{}
	outcome := "superseded"
	_, underWay := r.core.candidacy()
	switch {
	case s.Role == Leader && s.Term == ended.term:
		outcome = "won"
	case s.Term == ended.term:
		outcome = "lost"
	case underWay && s.Term == ended.term+1:
		outcome = "undecided"
	}
	metrics.GetOrCreateCounter(`banyanspur_quorum_elections_total{outcome="` + outcome + `"}`).Inc()
	if outcome == "won" {
		return // LeaderElected is logged.
	}
	r.Log.Write(event.ElectionLost, event.Fields{
		"group": r.Group, "term": ended.term, "replica": s.ID, "outcome": outcome, "votes": ended.votes, "voters": len(s.Members.Voters),
		"ms": now.Sub(ended.startedAt).Milliseconds(), "writeMs": max(r.lastWrite, r.writeTime(now)).Milliseconds(),
	})
}

// recordVote logs that a vote is durable, if the write that has ended contains one.
func (r *Replica[C, R]) recordVote(written HardState, took time.Duration) {
	if written.Vote == "" || written == r.durableHard {
		return
	}
	r.Log.Write(event.VoteStored, event.Fields{
		"group": r.Group, "term": written.Term, "replica": r.core.id, "candidate": written.Vote, "writeMs": took.Milliseconds(),
	})
}
