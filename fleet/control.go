package fleet

import (
	"context"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/drain"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/plan"
	"github.com/banyanspur/banyanspur/poison"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/ramp"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// replica is a replica of the configuration group.
type replica = quorum.Replica[Command, Result]

// Control runs one replica of the configuration group and, while the replica is
// the leader, the tasks of the leader. Set the exported fields, then call
// [Control.Register] and [Control.Run].
type Control struct {
	// Address is where other hosts reach this one. It also identifies the host
	// in the group's membership.
	Address string
	// Seeds are the addresses of up to three control hosts, which bootstrap the
	// group.
	Seeds []string
	// AllowBootstrap permits this host to take part in bootstrapping the group.
	// Set it only if all hosts are starting for the first time.
	AllowBootstrap bool
	// Dir is the data directory. No other host may use it.
	Dir string
	// Disk performs the operations on the files in Dir.
	Disk store.Disk
	// Losses is how many hosts with a disk may fail at the same time. If there
	// are enough stores, each shard has 2*Losses+1 copies.
	Losses int
	// ZoneLosses is how many zones may be lost at the same time instead. If it is not 0, no
	// zone holds a majority of a shard's copies as long as other zones have live stores.
	ZoneLosses int
	// Peers holds the connections to other hosts.
	Peers *wire.Pool
	// Clock is the process's clock. It must include time spent suspended.
	Clock types.Clock
	// Timing is the timing of heartbeats and elections. The default is
	// [DefaultTiming].
	Timing quorum.Timing
	// ListTargets fetches the platform's list of targets. If it is nil, hosts
	// receive no list.
	ListTargets func(ctx context.Context) ([]Target, error)
	// ColdBound bounds the requests that a cold target gets.
	ColdBound limit.ColdBound
	// TargetPace limits the requests to targets that start or recover.
	TargetPace bool
	// Log receives events. The zero value discards them.
	Log event.Log

	once    sync.Once
	machine *Machine
	replica *replica
	id      quorum.ReplicaID
	changes broadcast
	seeds   atomic.Pointer[[]string] // instead of Seeds after [Control.Change], or nil
	// commandSets are those that the other replicas have declared.
	commandSets commandSets

	mu          sync.Mutex // guards id and the fields below, which are valid only on the leader
	leaderSince types.Mono // start of the leadership that the fields below belong to
	members     quorum.Members
	lastSeen    map[turns.StoreID]types.Mono // time of each store's last request
	// manyLateUntil is when returnTime ends after more stores have been late than may be lost.
	manyLateUntil types.Mono
	copied        map[turns.StoreID]map[turns.Shard]turns.Epoch // each store's last report of copied shards
	lost          map[turns.StoreID]bool                        // the stores whose shards should move, until they send a request
	// plannedSince is from when on there have been planned moves, see dueMoves, or 0 if there are none.
	plannedSince types.Mono
	// platformTargets is the platform's list, sorted by ID. targets is that list
	// together with what targets have announced.
	platformTargets []Target
	targets         Targets
	listings        Listings // kept when the leader changes, for the ages of entries
	draining        drain.Table
	zoneSizes       poison.ZoneSizes      // of targets
	hostZones       map[types.ZoneID]bool // zones that hosts have told this leader
	loadReports     loadTable
	cachedParts     cachedPartTable
	crashes         poison.Table
	// completed contains the requests in quarantine that have completed, until the
	// quarantine is lifted.
	completed map[types.Fingerprint]bool
	// changingQuarantine is set while a change of the quarantine is proposed.
	changingQuarantine bool
	logTime            types.LogTime // at the start of the last asLeader
	issuers            map[types.AccountID]*limit.Issuer
	// notices are the limits that targets name, noticesID identifies them among those
	// of other leaders, and targetIssuers divide these limits among hosts.
	notices       limit.Notices
	noticesID     string
	targetIssuers map[types.TargetID]*targetIssuer
	// cold tells which targets are cold, and services holds the service of each target.
	cold     ramp.Cold
	services map[types.TargetID]types.ServiceID
	// pace limits the targets that start or recover, and paced lists those that it knows.
	// down are those that accepted no connections of several hosts.
	pace ramp.Pace
	// coldReply are the targets that were cold at coldReplyAt. It is replaced, not changed.
	coldReply   ColdTargets
	coldReplyAt types.Mono
	// observed is set once a host has reported what it has observed of a target. A target
	// of which nothing is reported would stay limited.
	observed bool
	paced    []ramp.Member
	down     map[types.TargetID]bool
	// planTable indexes the plan in force, or an older one until the next use.
	planTable *plan.Table
	// reportedHosts contains the hosts that have reported their allotments to
	// this leader since its election.
	reportedHosts    map[types.HostID]bool
	lastRegistration types.Mono // when an unknown store registered last
}

// DefaultTiming suits control hosts with a network latency of a few
// milliseconds for which idle traffic has a cost. A failed leader is replaced
// within a second.
var DefaultTiming = quorum.Timing{
	Heartbeat:          90 * time.Millisecond,
	MinElectionTimeout: 450 * time.Millisecond,
	Lease:              360 * time.Millisecond,
}

func (c *Control) init() {
	c.once.Do(func() {
		c.Disk = c.Disk.RememberingSyncs()
		c.machine = &Machine{OnChange: c.changes.notify}
		if c.Timing == (quorum.Timing{}) {
			c.Timing = DefaultTiming
		}
		c.replica = &replica{
			Group: types.ConfigGroup, Dir: c.dir(), Disk: c.Disk, Host: types.HostID(c.Address), Machine: c.machine,
			Send: c.send, Timing: c.Timing, Clock: c.Clock, Log: c.Log,
		}
		c.resetLeaderState(0)
	})
}

func (c *Control) dir() string { return filepath.Join(c.Dir, "config") }

func (c *Control) send(m quorum.Message) {
	wire.Notify(c.Peers.Link(string(m.To.Host())), KindQuorum, m)
}

// resetLeaderState discards the state of an earlier leadership. Callers must
// hold c.mu, unless c is not shared yet.
func (c *Control) resetLeaderState(leaderSince types.Mono) {
	c.leaderSince = leaderSince
	c.lastSeen = map[turns.StoreID]types.Mono{}
	c.copied = map[turns.StoreID]map[turns.Shard]turns.Epoch{}
	c.lost, c.manyLateUntil, c.plannedSince = map[turns.StoreID]bool{}, 0, 0
	c.platformTargets, c.targets, c.zoneSizes = nil, Targets{}, nil
	c.draining = drain.Table{}
	c.hostZones = map[types.ZoneID]bool{}
	c.loadReports, c.cachedParts, c.crashes = loadTable{}, cachedPartTable{}, poison.Table{}
	c.completed, c.changingQuarantine = map[types.Fingerprint]bool{}, false
	c.issuers = map[types.AccountID]*limit.Issuer{}
	c.notices, c.noticesID = limit.Notices{}, types.RandomID()
	c.targetIssuers = map[types.TargetID]*targetIssuer{}
	c.cold, c.services = ramp.Cold{ZoneReturned: c.zoneReturned}, nil
	c.pace, c.observed, c.paced, c.down = ramp.Pace{}, false, nil, map[types.TargetID]bool{}
	c.coldReply, c.coldReplyAt = nil, 0
	c.planTable = nil
	c.reportedHosts = map[types.HostID]bool{}
	c.lastRegistration = leaderSince
}

// Register registers the handlers of all control host messages with server.
func (c *Control) Register(server *wire.Server) {
	c.init()
	wire.Handle(server, KindHello, c.hello)
	wire.HandleState(server, KindQuorum, func(_ context.Context, m quorum.Message) (Ack, error) {
		c.replica.Deliver(m)
		return Ack{}, nil
	})
	wire.Handle(server, KindJoin, c.join)
	wire.Handle(server, KindSync, c.sync)
	wire.Handle(server, KindCopied, c.recordCopied)
	wire.Handle(server, KindLimits, c.limits)
	wire.Handle(server, KindLoads, c.loads)
	wire.Handle(server, KindPut, c.put)
	wire.Handle(server, KindRead, c.read)
	wire.Handle(server, KindRetire, c.retire)
	wire.Handle(server, KindRetireStatus, c.retireStatus)
	wire.Handle(server, KindEvacuate, c.evacuate)
	wire.Handle(server, KindEvacuations, c.evacuations)
}

// Run bootstraps or joins the group and runs the replica until ctx ends or
// storage fails.
func (c *Control) Run(ctx context.Context) error {
	c.init()
	if err := c.awaitIdentity(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	if err := c.bootstrap(ctx); err != nil || ctx.Err() != nil {
		return err
	}
	c.commandSets.load(c.Dir)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.replica.Run(ctx) })
	g.Go(func() error { return c.maintainMembers(ctx) })
	g.Go(func() error { return c.maintainOwnMembership(ctx) })
	g.Go(func() error { return c.maintainCommandSets(ctx) })
	g.Go(func() error { return c.maintainShards(ctx) })
	g.Go(func() error { return c.refreshTargets(ctx) })
	return g.Wait()
}

// asLeader calls fn if this host is the leader, and otherwise returns a fault
// with [types.CodeNotLeader]. While fn runs, it may read the state machine and
// access the fields guarded by c.mu. The lease is checked again after fn: if
// asLeader returns an error, discard what fn has read.
func (c *Control) asLeader(fn func(now types.Mono)) error {
	return c.replica.Read(func(s quorum.Status, logTime types.LogTime) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.leaderSince != s.LeadsSince {
			c.resetLeaderState(s.LeadsSince)
		}
		c.members, c.logTime = s.Members, logTime
		fn(c.Clock())
	})
}

// broadcast notifies any number of waiters. The zero value is ready to use. It
// is safe for concurrent use.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that the next call of notify closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
