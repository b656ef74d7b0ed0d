package host

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/ledger"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// configReplica is a replica of group 0.
type configReplica = quorum.Replica[admin.Order, admin.Decision]

// ledgerReplica is a replica of a group of client accounts.
type ledgerReplica = quorum.Replica[ledger.Command, ledger.Result]

// member is what is common to the replicas of all groups.
type member interface {
	Run(ctx context.Context) error
	Deliver(m quorum.Message)
	Status() quorum.Status
	ChangeMembers(ctx context.Context, change func(quorum.Members) quorum.Members) error
	Step(ctx context.Context) error
}

// Control runs the replicas of one control host. Set the exported fields, then
// call [Control.Run].
type Control struct {
	// Settings are the process's settings.
	Settings config.Settings
	// Client reaches all control hosts, this one among them. It must be
	// running.
	Client *ctrl.Client
	// Clock is the process's clock.
	Clock types.Clock
	// Timing defaults to [quorum.DefaultTiming].
	Timing quorum.Timing
	// Log receives events. The zero value discards them.
	Log event.Log
	// Releaser gives memory back at targets. If nil, holdings stay owed.
	Releaser Releaser

	once    sync.Once
	config  *configReplica
	machine *admin.Machine
	ledgers map[types.GroupID]*accountGroup
	leases  leaseTable
	// identities returns the identities of the replicas, by group.
	identities func() (map[types.GroupID]quorum.ReplicaID, error)
}

// accountGroup is one group of client accounts with what its leader keeps in
// memory only.
type accountGroup struct {
	*ledgerReplica
	machine  *ledger.Machine
	sessions sessionTable
}

// Step does the periodic work of a group of client accounts, on its leader.
func (g *accountGroup) Step(ctx context.Context) error { return g.expireSessions(ctx) }

func (c *Control) init() {
	c.once.Do(func() {
		c.machine = &admin.Machine{}
		c.config = &configReplica{
			Group: types.ConfigGroup, Dir: c.dir(types.ConfigGroup), Host: c.Settings.Host, Machine: c.machine,
			Send: c.sender(types.ConfigGroup), Timing: c.Timing, Clock: c.Clock, Log: c.Log,
		}
		c.ledgers = map[types.GroupID]*accountGroup{}
		for i := range c.Settings.Groups {
			id := types.GroupID(i + 1)
			m := &ledger.Machine{}
			c.ledgers[id] = &accountGroup{machine: m, ledgerReplica: &ledgerReplica{
				Group: id, Dir: c.dir(id), Host: c.Settings.Host, Machine: m,
				Send: c.sender(id), Timing: c.Timing, Clock: c.Clock, Log: c.Log,
			}}
		}
		c.identities = sync.OnceValues(c.readIdentities)
	})
}

func (c *Control) dir(id types.GroupID) string {
	return filepath.Join(c.Settings.DataDir, fmt.Sprintf("group-%d", id))
}

// sender returns the function by which a group's replica sends.
func (c *Control) sender(id types.GroupID) func(quorum.Message) {
	return func(m quorum.Message) {
		if l := c.Client.Link(m.To.Host()); l != nil {
			wire.Notify(l, ctrl.KindQuorum, ctrl.QuorumMessage{Group: id, Message: m})
		}
	}
}

// member returns this host's replica of a group, or nil.
func (c *Control) member(id types.GroupID) member {
	if id == types.ConfigGroup {
		return configMember{c.config}
	}
	if g := c.ledgers[id]; g != nil {
		return g
	}
	return nil
}

// configMember is the replica of group 0, which has no periodic work.
type configMember struct{ *configReplica }

// Step does nothing.
func (configMember) Step(context.Context) error { return nil }

func (c *Control) groupIDs() []types.GroupID {
	ids := []types.GroupID{types.ConfigGroup}
	for i := range c.Settings.Groups {
		ids = append(ids, types.GroupID(i+1))
	}
	return ids
}

// Run forms or joins the groups and takes part in them until ctx ends or
// storage fails. [Control.Register] must have been called and its server be
// reachable by the other control hosts.
func (c *Control) Run(ctx context.Context) error {
	c.init()
	if err := c.form(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, id := range c.groupIDs() {
		m := c.member(id)
		g.Go(func() error { return m.Run(ctx) })
		g.Go(func() error { return c.keepMembers(ctx, id, m) })
	}
	for _, l := range c.ledgers {
		g.Go(func() error { return c.settleEnded(ctx, l) })
	}
	return g.Wait()
}
