package fleet

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

const (
	// membersInterval is the interval between checks of the group's membership.
	membersInterval = 200 * time.Millisecond
	// joinTimeout bounds a join request to one control host.
	joinTimeout = time.Second
	// rejoinTimeout is how long a replica may be without contact to a leader before it
	// asks the group whether it is still a member. A failed leader is replaced in less.
	rejoinTimeout = time.Second
	// voterTimeout is how long a voter may be unresponsive before a learner
	// that has caught up replaces it.
	voterTimeout = 2 * time.Second
)

// maintainOwnMembership requests to join while this host's replica is not a member of the
// group, or may not be one. It runs until ctx ends. It is not part of maintainMembers,
// since requests to unresponsive hosts must not delay a new leader.
func (c *Control) maintainOwnMembership(ctx context.Context) error {
	logged := types.Mono(-1) // last contact with a leader before the last event
	for types.Sleep(ctx, membersInterval) {
		s := c.replica.Status()
		if !s.ShouldJoin(c.Clock(), rejoinTimeout) {
			continue
		}
		if s.Members.Has(s.ID) && s.LeaderContact != logged {
			c.Log.Write(event.MembershipInDoubt, event.Fields{"replica": s.ID, "term": s.Term, "voters": len(s.Members.Voters)})
			logged = s.LeaderContact
		}
		c.requestJoin(ctx, s)
	}
	return nil
}

// maintainMembers promotes learners to voters and removes unresponsive voters on the
// leader. It runs until ctx ends.
func (c *Control) maintainMembers(ctx context.Context) error {
	for types.Sleep(ctx, membersInterval) {
		s := c.replica.Status()
		if s.Role != quorum.Leader {
			continue
		}
		next := s.NextMembers(s.Members, voterTimeout)
		if next.Equal(s.Members) {
			continue
		}
		err := c.replica.ChangeMembers(ctx, func(current quorum.Members) quorum.Members { return s.NextMembers(current, voterTimeout) })
		c.logMembers(next, err)
	}
	return nil
}

func (c *Control) logMembers(m quorum.Members, err error) {
	fields := event.Fields{"voters": len(m.Voters), "learners": len(m.Learners)}
	if err != nil {
		fields["error"] = err.Error() // Rejected while another change is pending; retried.
	}
	c.Log.Write(event.MembersChanged, fields)
}

// requestJoin sends a join request to all known control hosts at the same time, and to the
// leader that one of them names. Only the leader accepts it, and a host that has lost its
// data directory knows no addresses but the seeds. Hosts that do not respond delay the
// request by no more than joinTimeout.
func (c *Control) requestJoin(ctx context.Context, s quorum.Status) {
	addresses := c.controlAddresses(s)
	leaders := make(chan string, len(addresses))
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			if leader := c.sendJoin(ctx, address, s.ID); leader != "" && !slices.Contains(addresses, leader) {
				leaders <- leader
			}
			return nil
		})
	}
	_ = group.Wait() // Repeated after membersInterval.
	close(leaders)
	for leader := range leaders {
		if c.sendJoin(ctx, leader, s.ID) == "" {
			return
		}
	}
}

// sendJoin sends a join request to one control host and returns the address of the leader
// that this host names, or the empty string if there is none or the request succeeded.
func (c *Control) sendJoin(ctx context.Context, address string, id quorum.ReplicaID) string {
	if address == c.Address {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	req := JoinRequest{Member: quorum.Member{ID: id, Host: types.HostID(c.Address)}}
	_, err := wire.Call[JoinRequest, Ack](ctx, c.Peers.Link(address), KindJoin, req)
	if err == nil {
		return ""
	}
	return string(types.AsFault(err).Leader)
}

// controlAddresses returns the addresses of the seeds and of the members in s,
// without duplicates.
func (c *Control) controlAddresses(s quorum.Status) []string {
	addresses := slices.Clone(c.currentSeeds())
	for _, m := range s.Members.All() {
		addresses = append(addresses, string(m.Host))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// join adds a replica to the group as a learner. It fails unless this host is
// the leader.
func (c *Control) join(ctx context.Context, req JoinRequest) (Ack, error) {
	// Hosts without a leader send many of these requests, which must not wait in the input
	// queue of a replica that does not run yet or cannot accept them.
	if err := c.asLeader(func(types.Mono) {}); err != nil {
		return Ack{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := c.replica.ChangeMembers(ctx, func(current quorum.Members) quorum.Members {
		if current.Has(req.Member.ID) {
			return current
		}
		return current.WithLearner(req.Member)
	})
	return Ack{}, err
}
