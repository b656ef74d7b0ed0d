package fleet

import (
	"context"
	"slices"
	"time"

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
	// voterTimeout is how long a voter may be unresponsive before a learner
	// that has caught up replaces it.
	voterTimeout = 2 * time.Second
)

// maintainMembers requests to join while this host's replica is not a member
// of the group. On the leader it promotes learners to voters and removes
// unresponsive voters. It runs until ctx ends.
func (c *Control) maintainMembers(ctx context.Context) error {
	for types.Sleep(ctx, membersInterval) {
		s := c.replica.Status()
		if s.ID != "" && !s.Members.Has(s.ID) {
			c.requestJoin(ctx, s)
		}
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

// requestJoin sends a join request to the known control hosts and to any
// leader that they name, until one of them accepts it. Only the leader can, and
// a host that has lost its data directory knows no addresses but the seeds.
func (c *Control) requestJoin(ctx context.Context, s quorum.Status) {
	req := JoinRequest{Member: quorum.Member{ID: s.ID, Host: types.HostID(c.Address)}}
	contacted := map[string]bool{c.Address: true}
	addresses := c.controlAddresses(s)
	for len(addresses) > 0 {
		address := addresses[0]
		addresses = addresses[1:]
		if contacted[address] {
			continue
		}
		contacted[address] = true
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := wire.Call[JoinRequest, Ack](callCtx, c.Peers.Link(address), KindJoin, req)
		cancel()
		if err == nil {
			return
		}
		if leader := types.AsFault(err).Leader; leader != "" {
			addresses = append(addresses, string(leader))
		}
	}
}

// controlAddresses returns the addresses of the seeds and of the members in s,
// without duplicates.
func (c *Control) controlAddresses(s quorum.Status) []string {
	addresses := slices.Clone(c.Seeds)
	for _, m := range s.Members.All() {
		addresses = append(addresses, string(m.Host))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// join adds a replica to the group as a learner. It fails unless this host is
// the leader.
func (c *Control) join(ctx context.Context, req JoinRequest) (Ack, error) {
	err := c.replica.ChangeMembers(ctx, func(current quorum.Members) quorum.Members {
		if current.Has(req.Member.ID) {
			return current
		}
		return current.WithLearner(req.Member)
	})
	return Ack{}, err
}
