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
	// membersInterval is how often the membership is looked at.
	membersInterval = 200 * time.Millisecond
	joinTimeout     = time.Second
	// voterTimeout is how long a voter may be silent before one that waits to
	// become a voter takes its place.
	voterTimeout = 2 * time.Second
)

// maintainMembers keeps the membership in order: a replica that does not belong
// asks to join, and the leader makes learners voters.
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
		fields["error"] = err.Error() // Refused while a change is pending; tried again.
	}
	c.Log.Write(event.MembersChanged, fields)
}

// requestJoin asks the control hosts that are known, and whom they name as the
// leader: only that one can act on it, and a host that has lost its folder
// knows no more than the seeds.
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
		askCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := wire.Call[JoinRequest, Ack](askCtx, c.Peers.Link(address), KindJoin, req)
		cancel()
		if err == nil {
			return
		}
		if leader := types.AsFault(err).Leader; leader != "" {
			addresses = append(addresses, string(leader))
		}
	}
}

// controlAddresses returns the addresses of the control hosts as far as this one knows.
func (c *Control) controlAddresses(s quorum.Status) []string {
	addresses := slices.Clone(c.Seeds)
	for _, m := range s.Members.All() {
		addresses = append(addresses, string(m.Host))
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// join takes a replica in as a learner, on the leader.
func (c *Control) join(ctx context.Context, req JoinRequest) (Ack, error) {
	err := c.replica.ChangeMembers(ctx, func(current quorum.Members) quorum.Members {
		if current.Has(req.Member.ID) {
			return current
		}
		return current.WithLearner(req.Member)
	})
	return Ack{}, err
}
