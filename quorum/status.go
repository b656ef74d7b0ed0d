package quorum

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

// Status describes a replica and its view of its group.
type Status struct {
	ID         ReplicaID  `json:"id"`
	Role       Role       `json:"role"`
	Term       Term       `json:"term"`
	Leader     ReplicaID  `json:"leader"`
	Commit     Index      `json:"commit"`
	Applied    Index      `json:"applied"`
	Members    Members    `json:"members"`
	LeaseUntil types.Mono `json:"leaseUntil"`
	// LeaderContact is when the replica last had contact with a leader, or was started.
	LeaderContact types.Mono `json:"leaderContact"`
	// LeadsSince is when the replica became leader, if it is the leader.
	LeadsSince types.Mono `json:"leadsSince"`
	// LogTime is the group's log time at the clock reading LogTimeAt.
	LogTime   types.LogTime `json:"logTime"`
	LogTimeAt types.Mono    `json:"logTimeAt"`
	// Match is set on a leader only. It is the index up to which each replica is
	// known to have synced the log.
	Match map[ReplicaID]Index `json:"match,omitempty"`
	// SinceLastReply is set on a leader only. It is the time since each other
	// replica last replied, or since the leader began to track the replica if that
	// is later.
	SinceLastReply map[ReplicaID]time.Duration `json:"silence,omitempty"`
}

// publishStatus updates the status that other goroutines read and handles a
// change of role.
func (r *Replica[C, R]) publishStatus() {
	now := r.Clock()
	s := Status{
		ID: r.core.id, Role: r.core.Role(), Term: r.core.Term(), Leader: r.core.Leader(),
		Commit: r.core.Commit(), Applied: r.applied, Members: r.core.Members(),
		LeaseUntil: r.core.LeaseUntil(now), LeadsSince: r.Status().LeadsSince, LeaderContact: r.core.LastLeaderContact(),
		LogTime: r.core.LogTime(now), LogTimeAt: now,
	}
	if s.Role == Leader {
		s.Match = map[ReplicaID]Index{}
		s.SinceLastReply = map[ReplicaID]time.Duration{}
		for _, m := range s.Members.All() {
			s.Match[m.ID] = r.core.Match(m.ID)
			s.SinceLastReply[m.ID] = r.core.SinceLastReply(m.ID, now)
		}
	}
	r.recordElection(&s, now)
	if s.Role != r.lastRole {
		r.recordRoleChange(&s, now)
	}
	r.status.Store(&s)
}

// recordRoleChange logs that leadership was gained or lost, and sets s.LeadsSince
// or fails the pending proposals.
func (r *Replica[C, R]) recordRoleChange(s *Status, now types.Mono) {
	fields := event.Fields{"group": r.Group, "term": s.Term, "replica": s.ID}
	if s.Role == Leader {
		s.LeadsSince = now
		r.transferCause = ""
		r.Log.Write(event.LeaderElected, fields)
	}
	if r.lastRole == Leader {
		reason := r.lossReason(s.Term)
		fields["reason"], fields["writeMs"] = reason, max(r.lastWrite, r.writeTime(now)).Milliseconds()
		metrics.GetOrCreateCounter(`banyanspur_quorum_leader_losses_total{reason="` + reason + `"}`).Inc()
		r.Log.Write(event.LeaderLost, fields)
		r.failPending()
	}
	r.lastRole = s.Role
}

// lossReason returns why this replica no longer leads: it has given up its leadership, it
// has heard of a newer term, or a quorum did not reply in time to extend the lease. term is
// the current one.
func (r *Replica[C, R]) lossReason(term Term) string {
	switch {
	case r.transferCause != "":
		return r.transferCause
	case term > r.Status().Term:
		return "newerTerm"
	}
	return "leaseExpired"
}

// Status returns the most recently published status.
func (r *Replica[C, R]) Status() Status {
	if s := r.status.Load(); s != nil {
		return *s
	}
	return Status{}
}
