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
	membershipInterval = 200 * time.Millisecond
	joinTimeout        = time.Second
)

// maintainMembership checks the membership of a group periodically until ctx
// ends. A replica that is not a member requests to join; the leader promotes
// learners to voters and does the group's periodic work.
func (c *Control) maintainMembership(ctx context.Context, id types.GroupID, replica groupReplica) error {
	for types.Sleep(ctx, membershipInterval) {
		s := replica.Status()
		if s.ID != "" && !s.Members.Has(s.ID) {
			c.requestJoin(ctx, id, s.ID)
		}
		if s.Role == quorum.Leader {
			// Fails while another change is pending; the next round retries.
			_ = replica.ChangeMembers(ctx, func(members quorum.Members) quorum.Members { return s.NextMembers(members, 0) })
			_ = replica.Maintain(ctx) // Fails only when the leader changes.
		}
	}
	return nil
}

// requestJoin sends a join request to the control hosts in turn until one of
// them, which must be the group's leader, accepts it.
func (c *Control) requestJoin(ctx context.Context, id types.GroupID, replicaID quorum.ReplicaID) {
	req := ctrl.JoinRequest{Group: id, Member: quorum.Member{ID: replicaID, Host: c.Settings.Host}}
	for _, h := range c.Settings.Control {
		reqCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := wire.Call[ctrl.JoinRequest, ctrl.Done](reqCtx, c.Client.Link(h.Host), ctrl.KindJoin, req)
		cancel()
		if err == nil {
			return
		}
	}
}

// join adds a replica to a group as a learner. It fails on hosts that do not
// lead the group.
func (c *Control) join(ctx context.Context, req ctrl.JoinRequest) (ctrl.Done, error) {
	replica := c.replica(req.Group)
	if replica == nil {
		return ctrl.Done{}, types.NewFault(types.CodeNotFound, "group %d does not exist", req.Group)
	}
	err := replica.ChangeMembers(ctx, func(members quorum.Members) quorum.Members {
		if members.Has(req.Member.ID) {
			return members
		}
		return members.WithLearner(req.Member)
	})
	return ctrl.Done{}, err
}
