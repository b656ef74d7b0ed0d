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

// formInterval is how often the other control hosts are asked.
const formInterval = 100 * time.Millisecond

// form waits until this host's replicas belong to their groups, or know that
// the groups exist without them and that they must join as learners.
//
// A group is founded once, when no control host has a replica that belongs to
// one and all of them answer; the host with the lowest name decides. A host
// whose folder was lost later finds the group founded and never founds another.
func (c *Control) form(ctx context.Context) error {
	return types.Poll(ctx, formInterval, c.tryForm)
}

func (c *Control) tryForm(ctx context.Context) (done bool, err error) {
	own, err := c.groups(ctx, ctrl.GroupsRequest{})
	if err != nil {
		return false, err
	}
	replies := c.askGroups(ctx)
	done = true
	for _, id := range c.groupIDs() {
		settled, err := c.formGroup(id, own.Groups[id], replies)
		if err != nil {
			return false, err
		}
		done = done && settled
	}
	return done, nil
}

// askGroups asks all control hosts for their replicas, this one included.
func (c *Control) askGroups(ctx context.Context) []ctrl.GroupsReply {
	var replies []ctrl.GroupsReply
	for _, h := range c.Settings.Control {
		if r, err := c.Client.Replicas(ctx, h.Host); err == nil {
			replies = append(replies, r)
		}
	}
	return replies
}

// formGroup settles one group as far as the replies allow.
func (c *Control) formGroup(id types.GroupID, own ctrl.GroupReplica, replies []ctrl.GroupsReply) (settled bool, err error) {
	if own.Formed {
		return true, nil
	}
	for _, r := range replies {
		other := r.Groups[id]
		if !other.Formed {
			continue
		}
		if !other.Members.IsVoter(own.ID) {
			return true, nil // The group exists without this replica; it joins as a learner.
		}
		return true, quorum.Form(c.dir(id), other.Members)
	}
	if len(replies) < len(c.Settings.Control) || !c.isFounder() {
		return false, nil
	}
	return true, quorum.Form(c.dir(id), founders(id, replies))
}

func (c *Control) isFounder() bool {
	for _, h := range c.Settings.Control {
		if h.Host < c.Settings.Host {
			return false
		}
	}
	return true
}

func founders(id types.GroupID, replies []ctrl.GroupsReply) quorum.Members {
	var m quorum.Members
	for _, r := range replies {
		m.Voters = append(m.Voters, quorum.Member{ID: r.Groups[id].ID, Host: r.Host})
	}
	slices.SortFunc(m.Voters, func(a, b quorum.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return m
}

// readIdentities reads or makes the identities of this host's replicas, once:
// other control hosts may ask while this one starts.
func (c *Control) readIdentities() (map[types.GroupID]quorum.ReplicaID, error) {
	ids := map[types.GroupID]quorum.ReplicaID{}
	for _, id := range c.groupIDs() {
		replica, err := quorum.Identity(c.dir(id), c.Settings.Host)
		if err != nil {
			return nil, err
		}
		ids[id] = replica
	}
	return ids, nil
}

// groups tells of this host's replicas.
func (c *Control) groups(context.Context, ctrl.GroupsRequest) (ctrl.GroupsReply, error) {
	reply := ctrl.GroupsReply{Host: c.Settings.Host, Groups: map[types.GroupID]ctrl.GroupReplica{}}
	identities, err := c.identities()
	if err != nil {
		return reply, err
	}
	for _, id := range c.groupIDs() {
		formed, members, err := quorum.Formed(c.dir(id))
		if err != nil {
			return reply, err
		}
		reply.Groups[id] = ctrl.GroupReplica{ID: identities[id], Formed: formed, Members: members, Status: c.member(id).Status()}
	}
	return reply, nil
}
