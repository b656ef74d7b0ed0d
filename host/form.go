package host

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// bootstrapInterval is the pause between attempts to bootstrap the groups.
const bootstrapInterval = 100 * time.Millisecond

// bootstrap waits until each of this host's replicas belongs to its group, or must
// join as a learner because the group exists without the replica.
//
// A group is bootstrapped once, by the control host with the lowest name, when all
// control hosts reply and none has a replica that belongs to the group. A host that
// loses its data directory later finds the existing group and never bootstraps a
// second one.
func (c *Control) bootstrap(ctx context.Context) error {
	return types.Poll(ctx, bootstrapInterval, c.tryBootstrap)
}

// tryBootstrap makes one attempt to bootstrap the groups. It reports whether none
// needs a further attempt.
func (c *Control) tryBootstrap(ctx context.Context) (done bool, err error) {
	own, err := c.listReplicas(ctx, ctrl.GroupsRequest{})
	if err != nil {
		return false, err
	}
	replies := c.queryControlHosts(ctx)
	done = true
	for _, id := range c.groupIDs() {
		groupDone, err := c.bootstrapGroup(id, own.Groups[id], replies)
		if err != nil {
			return false, err
		}
		done = done && groupDone
	}
	return done, nil
}

// queryControlHosts queries all control hosts, including this one, for their
// replicas. It omits those that do not reply.
func (c *Control) queryControlHosts(ctx context.Context) []ctrl.GroupsReply {
	var replies []ctrl.GroupsReply
	for _, h := range c.Settings.Control {
		if r, err := c.Client.Replicas(ctx, h.Host); err == nil {
			replies = append(replies, r)
		}
	}
	return replies
}

// bootstrapGroup makes this host's replica a voter of a group if the replies allow
// it. It reports whether no further attempt is needed.
func (c *Control) bootstrapGroup(id types.GroupID, own ctrl.GroupReplica, replies []ctrl.GroupsReply) (done bool, err error) {
	if own.Bootstrapped {
		return true, nil
	}
	for _, r := range replies {
		other := r.Groups[id]
		if !other.Bootstrapped {
			continue
		}
		if !other.Members.IsVoter(own.ID) {
			return true, nil // The group exists without this replica, which joins as a learner.
		}
		return true, quorum.Bootstrap(c.groupDir(id), other.Members)
	}
	if len(replies) < len(c.Settings.Control) || !c.hasLowestName() {
		return false, nil
	}
	return true, quorum.Bootstrap(c.groupDir(id), initialMembers(id, replies))
}

func (c *Control) hasLowestName() bool {
	for _, h := range c.Settings.Control {
		if h.Host < c.Settings.Host {
			return false
		}
	}
	return true
}

func initialMembers(id types.GroupID, replies []ctrl.GroupsReply) quorum.Members {
	var m quorum.Members
	for _, r := range replies {
		m.Voters = append(m.Voters, quorum.Member{ID: r.Groups[id].ID, Host: r.Host})
	}
	slices.SortFunc(m.Voters, func(a, b quorum.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return m
}

// readIdentities reads the identities of this host's replicas and creates those
// that are missing. It must be called only once: other control hosts may query
// the identities while this host starts, and concurrent calls could create
// different ones.
func (c *Control) readIdentities() (map[types.GroupID]quorum.ReplicaID, error) {
	ids := map[types.GroupID]quorum.ReplicaID{}
	for _, id := range c.groupIDs() {
		replicaID, err := quorum.LoadOrCreateID(c.groupDir(id), c.Settings.Host)
		if err != nil {
			return nil, err
		}
		ids[id] = replicaID
	}
	return ids, nil
}

// listReplicas returns the identities, memberships and status of this host's
// replicas.
func (c *Control) listReplicas(context.Context, ctrl.GroupsRequest) (ctrl.GroupsReply, error) {
	reply := ctrl.GroupsReply{Host: c.Settings.Host, Groups: map[types.GroupID]ctrl.GroupReplica{}}
	identities, err := c.identities()
	if err != nil {
		return reply, err
	}
	for _, id := range c.groupIDs() {
		bootstrapped, members, err := quorum.ReadMembers(c.groupDir(id))
		if err != nil {
			return reply, err
		}
		reply.Groups[id] = ctrl.GroupReplica{ID: identities[id], Bootstrapped: bootstrapped, Members: members, Status: c.replica(id).Status()}
	}
	return reply, nil
}
