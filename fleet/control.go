package fleet

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// replica is a replica of the configuration group.
type replica = quorum.Replica[Command, Result]

// Control runs one replica of the configuration group and, while that leads,
// what only one host may do. Set the exported fields, then call
// [Control.Register] and [Control.Run].
type Control struct {
	// Address is where this host answers other processes. It stands for the
	// host in the group's membership.
	Address string
	// Seeds are the addresses of up to three control hosts; they found the
	// group.
	Seeds []string
	// Founding is set if all hosts start for the first time.
	Founding bool
	// Dir is the folder that belongs to this host alone.
	Dir string
	// Losses is how many hosts with a disk may be lost at once.
	Losses int
	// Peers reaches the other hosts.
	Peers *wire.Pool
	// Clock is the process's clock; it must count time spent suspended.
	Clock types.Clock
	// Timing defaults to [Timing].
	Timing quorum.Timing
	// List reads the platform's list of targets.
	List func(ctx context.Context) ([]Target, error)
	// Log receives events. The zero value discards them.
	Log event.Log

	once    sync.Once
	machine *Machine
	replica *replica
	id      quorum.ReplicaID
	news    broadcast

	mu      sync.Mutex // guards the fields below, which count while this host leads
	reign   types.Mono // LeadsSince of the reign that they belong to
	members quorum.Members
	heard   map[turns.StoreID]types.Mono
	copied  map[turns.StoreID]map[turns.Shard]turns.Epoch
	targets Targets
	table   loadTable
	holds   holdTable
	issuers map[types.AccountID]*limit.Issuer
	// accounts is the plan in force, indexed.
	accounts *plan.Table
	// reported holds the hosts that have told what they hold of accounts'
	// limits in this reign.
	reported map[types.HostID]bool
	enrolAt  types.Mono // when a store was enrolled last
}

// Timing suits control hosts that are a few milliseconds apart and pay for
// idle messages: a leader is replaced within a second.
var Timing = quorum.Timing{
	Heartbeat:   90 * time.Millisecond,
	ElectionMin: 450 * time.Millisecond,
	Lease:       360 * time.Millisecond,
}

func (c *Control) init() {
	c.once.Do(func() {
		c.machine = &Machine{Changed: c.news.send}
		if c.Timing == (quorum.Timing{}) {
			c.Timing = Timing
		}
		c.replica = &replica{
			Group: types.ConfigGroup, Dir: c.dir(), Host: types.HostID(c.Address), Machine: c.machine,
			Send: c.send, Timing: c.Timing, Clock: c.Clock, Log: c.Log,
		}
		c.forget(0)
	})
}

func (c *Control) dir() string { return filepath.Join(c.Dir, "config") }

func (c *Control) send(m quorum.Message) {
	wire.Notify(c.Peers.Link(string(m.To.Host())), KindQuorum, m)
}

// forget starts a reign with nothing known. Callers hold mu, or nobody else
// knows c.
func (c *Control) forget(reign types.Mono) {
	c.reign = reign
	c.heard = map[turns.StoreID]types.Mono{}
	c.copied = map[turns.StoreID]map[turns.Shard]turns.Epoch{}
	c.targets = Targets{}
	c.table, c.holds = loadTable{}, holdTable{}
	c.issuers = map[types.AccountID]*limit.Issuer{}
	c.accounts = nil
	c.reported = map[types.HostID]bool{}
	c.enrolAt = reign
}

// Register makes the host answer others through server.
func (c *Control) Register(server *wire.Server) {
	c.init()
	wire.Handle(server, KindHello, c.hello)
	wire.Handle(server, KindQuorum, func(_ context.Context, m quorum.Message) (Done, error) {
		c.replica.Deliver(m)
		return Done{}, nil
	})
	wire.Handle(server, KindJoin, c.join)
	wire.Handle(server, KindSync, c.sync)
	wire.Handle(server, KindCopied, c.noteCopied)
	wire.Handle(server, KindLimits, c.limits)
	wire.Handle(server, KindLoads, c.loads)
	wire.Handle(server, KindPut, c.put)
	wire.Handle(server, KindRead, c.read)
	wire.Handle(server, KindRetire, c.retire)
	wire.Handle(server, KindRetired, c.retired)
}

// Run founds or joins the group and takes part in it until ctx ends or storage
// fails.
func (c *Control) Run(ctx context.Context) error {
	c.init()
	if err := c.prepare(); err != nil {
		return err
	}
	if err := c.form(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.replica.Run(ctx) })
	g.Go(func() error { return c.keepMembers(ctx) })
	g.Go(func() error { return c.keepShards(ctx) })
	g.Go(func() error { return c.keepTargets(ctx) })
	return g.Wait()
}

// lead runs fn, which may read the machine and the leader's own state, if this
// host leads. Else it returns a notLeader fault.
func (c *Control) lead(fn func(now types.Mono)) error {
	return c.replica.Read(func(s quorum.Status, _ types.LogTime) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.reign != s.LeadsSince {
			c.forget(s.LeadsSince)
		}
		c.members = s.Members
		fn(c.Clock())
	})
}

// broadcast tells any number of waiters that there is news. The zero value is
// ready; it is safe for concurrent use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// next returns a channel that is closed at the next news.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) send() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
