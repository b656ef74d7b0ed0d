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

// configReplica is a replica of group 0, the configuration group.
type configReplica = quorum.Replica[admin.Order, admin.Decision]

// ledgerReplica is a replica of a shard group for client accounts.
type ledgerReplica = quorum.Replica[ledger.Command, ledger.Result]

// groupReplica is the interface that the replicas of all groups share.
type groupReplica interface {
	Run(ctx context.Context) error
	Deliver(m quorum.Message)
	Status() quorum.Status
	ChangeMembers(ctx context.Context, change func(quorum.Members) quorum.Members) error
	// Maintain does the periodic work of the group's leader.
	Maintain(ctx context.Context) error
}

// Control runs the replicas of one control host. Set the exported fields, then
// call [Control.Run].
type Control struct {
	// Settings configure the process. They must have been validated.
	Settings config.Settings
	// Client connects to all control hosts, including this one. It must be
	// running.
	Client *ctrl.Client
	// Clock is the monotonic clock of the process.
	Clock types.Clock
	// Timing sets the intervals and timeouts of the replicas. It defaults to
	// [quorum.DefaultTiming].
	Timing quorum.Timing
	// Log receives events. The zero value discards them.
	Log event.Log
	// Releaser makes targets release the cached prefixes of programs. If it is
	// nil, none are released and the ledgers keep the releases as pending.
	Releaser Releaser

	once          sync.Once
	configReplica *configReplica
	configMachine *admin.Machine
	accountGroups map[types.GroupID]*accountGroup
	leases        leaseTable
	// identities returns the identities of this host's replicas by group. It
	// reads or creates them on the first call.
	identities func() (map[types.GroupID]quorum.ReplicaID, error)
}

// accountGroup is this host's replica of one shard group for client accounts,
// with the state that a leader keeps in memory only.
type accountGroup struct {
	*ledgerReplica
	machine  *ledger.Machine
	sessions sessionTable
}

// Maintain expires sessions that were not renewed in time.
func (g *accountGroup) Maintain(ctx context.Context) error { return g.expireSessions(ctx) }

func (c *Control) init() {
	c.once.Do(func() {
		c.configMachine = &admin.Machine{}
		c.configReplica = &configReplica{
			Group: types.ConfigGroup, Dir: c.groupDir(types.ConfigGroup), Host: c.Settings.Host, Machine: c.configMachine,
			Send: c.sender(types.ConfigGroup), Timing: c.Timing, Clock: c.Clock, Log: c.Log,
		}
		c.accountGroups = map[types.GroupID]*accountGroup{}
		for i := range c.Settings.Groups {
			id := types.GroupID(i + 1)
			m := &ledger.Machine{}
			c.accountGroups[id] = &accountGroup{machine: m, ledgerReplica: &ledgerReplica{
				Group: id, Dir: c.groupDir(id), Host: c.Settings.Host, Machine: m,
				Send: c.sender(id), Timing: c.Timing, Clock: c.Clock, Log: c.Log,
			}}
		}
		c.identities = sync.OnceValues(c.readIdentities)
	})
}

func (c *Control) groupDir(id types.GroupID) string {
	return filepath.Join(c.Settings.DataDir, fmt.Sprintf("group-%d", id))
}

// sender returns the function that sends the messages of the replica of group
// id. Messages to hosts that are not listed as control hosts are dropped.
func (c *Control) sender(id types.GroupID) func(quorum.Message) {
	return func(m quorum.Message) {
		if l := c.Client.Link(m.To.Host()); l != nil {
			wire.Notify(l, ctrl.KindQuorum, ctrl.QuorumMessage{Group: id, Message: m})
		}
	}
}

// replica returns this host's replica of group id, or nil if there is no such
// group.
func (c *Control) replica(id types.GroupID) groupReplica {
	if id == types.ConfigGroup {
		return configGroup{c.configReplica}
	}
	if g := c.accountGroups[id]; g != nil {
		return g
	}
	return nil
}

// configGroup is the replica of group 0 as a groupReplica.
type configGroup struct{ *configReplica }

// Maintain does nothing: group 0 has no periodic work.
func (configGroup) Maintain(context.Context) error { return nil }

func (c *Control) groupIDs() []types.GroupID {
	ids := []types.GroupID{types.ConfigGroup}
	for i := range c.Settings.Groups {
		ids = append(ids, types.GroupID(i+1))
	}
	return ids
}

// Run bootstraps or joins the groups and runs their replicas until ctx ends or
// storage fails. [Control.Register] must have been called, and its server must
// be reachable from the other control hosts.
func (c *Control) Run(ctx context.Context) error {
	c.init()
	if err := c.bootstrap(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, id := range c.groupIDs() {
		replica := c.replica(id)
		g.Go(func() error { return replica.Run(ctx) })
		g.Go(func() error { return c.maintainMembership(ctx, id, replica) })
	}
	for _, group := range c.accountGroups {
		g.Go(func() error { return c.cleanUpEnded(ctx, group) })
	}
	return g.Wait()
}
