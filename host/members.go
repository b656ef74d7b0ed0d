package host

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	membersInterval = 200 * time.Millisecond
	joinTimeout     = time.Second
)

// keepMembers keeps the membership of a group in order: a replica that does not
// belong asks to join, and the leader makes learners voters.
func (c *Control) keepMembers(ctx context.Context, id types.GroupID, m member) error {
	for types.Sleep(ctx, membersInterval) {
		s := m.Status()
		if s.ID != "" && !s.Members.Has(s.ID) {
			c.askToJoin(ctx, id, s.ID)
		}
		if s.Role == quorum.Leader {
			// Refused while a change is pending; tried again.
			_ = m.ChangeMembers(ctx, func(now quorum.Members) quorum.Members { return s.NextMembers(now, 0) })
			_ = m.Step(ctx) // Fails only when the leader changes.
		}
	}
	return nil
}

// askToJoin asks every control host; only the leader can act on it.
func (c *Control) askToJoin(ctx context.Context, id types.GroupID, replica quorum.ReplicaID) {
	req := ctrl.JoinRequest{Group: id, Member: quorum.Member{ID: replica, Host: c.Settings.Host}}
	for _, h := range c.Settings.Control {
		askCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := wire.Call[ctrl.JoinRequest, ctrl.Done](askCtx, c.Client.Link(h.Host), ctrl.KindJoin, req)
		cancel()
		if err == nil {
			return
		}
	}
}

// join takes a replica in as a learner, on the leader.
func (c *Control) join(ctx context.Context, req ctrl.JoinRequest) (ctrl.Done, error) {
	m := c.member(req.Group)
	if m == nil {
		return ctrl.Done{}, types.NewFault(types.CodeNotFound, "there is no group %d", req.Group)
	}
	err := m.ChangeMembers(ctx, func(now quorum.Members) quorum.Members {
		if now.Has(req.Member.ID) {
			return now
		}
		return now.WithLearner(req.Member)
	})
	return ctrl.Done{}, err
}
