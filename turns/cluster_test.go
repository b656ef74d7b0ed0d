package turns_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// cluster runs stores that are connected to each other, with a shard map that
// tests can change.
type cluster struct {
	t        *testing.T
	peers    *wire.Pool
	stores   []*testStore
	shardMap atomic.Pointer[turns.Map]
	// elapsed is the virtual time of the stores, in nanoseconds, if virtual is set.
	// Their checks for expired turns then run on [cluster.advance] only.
	elapsed  atomic.Int64
	virtual  bool
	capacity turns.Capacity // of each store
	// catchUp and linkBytesPerSecond are those of each store that is added.
	catchUp            time.Duration
	linkBytesPerSecond float64
	// capacityOf returns the capacity of the next store, unless it is nil.
	capacityOf func() turns.Capacity
	disks      []store.Disk // of the first stores
	log        event.Log    // of each store that is added
}

func newPeers() *wire.Pool { return &wire.Pool{} }

// testStore is a store that can be stopped, wiped and restarted at another
// address.
type testStore struct {
	*turns.Store
	id     turns.StoreID
	dir    string
	server *httptest.Server
	stop   func() // nil while the store is stopped
	ticks  chan time.Time
	disk   store.Disk
	// diskResumed delays all writes to the disk until it is closed, unless it is nil.
	diskResumed chan struct{}
	// replyLatency delays what the store sends, from its next start on.
	replyLatency time.Duration
}

// newCluster starts the given number of stores and assigns all shards to all of
// them.
func newCluster(t *testing.T, stores int) *cluster {
	t.Helper()
	return startCluster(&cluster{t: t, peers: newPeers()}, stores)
}

func startCluster(c *cluster, stores int) *cluster {
	t := c.t
	t.Helper()
	_ = t.TempDir() // Directories are removed after the stores have ended, which create segments.
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.peers.Run(ctx) })
	t.Cleanup(func() {
		for _, s := range c.stores {
			s.shutDown()
		}
		cancel()
		_ = g.Wait()
	})
	for range stores {
		c.addStore()
	}
	m := &turns.Map{Members: map[turns.StoreID]turns.Member{}}
	var all []turns.StoreID
	for i, s := range c.stores {
		m.Members[s.id] = c.member(i)
		all = append(all, s.id)
	}
	for range turns.ShardCount {
		m.Shards = append(m.Shards, turns.Placement{Epoch: 1, Current: all})
	}
	c.setMap(m)
	return c
}

// member returns the map entry of a store at its current address.
func (c *cluster) member(i int) turns.Member {
	s := c.stores[i]
	return turns.Member{ID: s.id, Host: types.HostID(fmt.Sprintf("store-%d", i)), Address: strings.TrimPrefix(s.server.URL, "http://")}
}

// addStore starts a store with an empty directory and returns its index.
func (c *cluster) addStore() int {
	s := &testStore{dir: c.t.TempDir()}
	if n := len(c.stores); n < len(c.disks) {
		s.disk = c.disks[n]
	}
	c.startStore(s)
	c.stores = append(c.stores, s)
	return len(c.stores) - 1
}

// startStore opens and runs a store with the current shard map.
func (c *cluster) startStore(s *testStore) {
	c.t.Helper()
	s.Store = &turns.Store{Dir: s.dir, Disk: s.disk, Clock: types.NewClock(), Capacity: c.capacity, CatchUp: c.catchUp, LinkBytesPerSecond: c.linkBytesPerSecond, Log: c.log}
	if c.capacityOf != nil {
		s.Capacity = c.capacityOf()
	}
	if c.virtual {
		s.ticks = make(chan time.Time)
		s.Ticks, s.Clock = s.ticks, func() types.Mono { return types.Mono(c.elapsed.Load()) }
	}
	id, err := s.Open()
	if err != nil {
		c.t.Fatal(err)
	}
	s.id = id
	server := &wire.Server{}
	s.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	s.server = httptest.NewUnstartedServer(server)
	s.server.Config.BaseContext = func(net.Listener) context.Context { return ctx } // Canceling ctx closes the connections.
	if s.replyLatency > 0 {
		s.server.Listener = lateListener{s.server.Listener, s.replyLatency}
	}
	s.server.Start()
	g, runCtx := errgroup.WithContext(ctx)
	running := s.Store
	diskResumed := s.diskResumed
	g.Go(func() error {
		if diskResumed != nil {
			select {
			case <-diskResumed:
			case <-runCtx.Done():
			}
		}
		return running.Run(runCtx)
	})
	g.Go(func() error { return running.CopyShards(runCtx, c.peers) })
	g.Go(func() error { return running.ExpireTurns(runCtx, c.peers) })
	s.stop = func() {
		cancel()
		s.server.Close()
		_ = g.Wait()
	}
	if m := c.shardMap.Load(); m != nil {
		s.SetMap(m)
	}
}

func (s *testStore) shutDown() {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// restartStore restarts a stopped store and updates its address in the shard
// map, since it listens at another one than before.
func (c *cluster) restartStore(i int) {
	s := c.stores[i]
	c.startStore(s)
	m := *c.shardMap.Load()
	members := map[turns.StoreID]turns.Member{}
	for id, member := range m.Members {
		members[id] = member
	}
	members[s.id] = c.member(i)
	m.Members = members
	c.setMap(&m)
}

// pauseDisk restarts a store whose writes wait for the disk until resumeDisk.
func (c *cluster) pauseDisk(i int) {
	c.stores[i].shutDown()
	c.stores[i].diskResumed = make(chan struct{})
	c.restartStore(i)
}

func (s *testStore) resumeDisk() {
	close(s.diskResumed)
	s.diskResumed = nil
}

// setMap installs a shard map in all running stores and for all clients.
func (c *cluster) setMap(m *turns.Map) {
	c.shardMap.Store(m)
	for _, s := range c.stores {
		if s.stop != nil {
			s.SetMap(m)
		}
	}
}

// updatePlacements applies change to the placement of every shard and increments
// its epoch.
func (c *cluster) updatePlacements(change func(p *turns.Placement)) {
	c.setMap(c.changedMap(change))
}

// changedMap returns the map that updatePlacements installs.
func (c *cluster) changedMap(change func(p *turns.Placement)) *turns.Map {
	m := *c.shardMap.Load()
	shards := make([]turns.Placement, len(m.Shards))
	copy(shards, m.Shards)
	m.Members = map[turns.StoreID]turns.Member{}
	for i, s := range c.stores {
		m.Members[s.id] = c.member(i)
	}
	for i := range shards {
		change(&shards[i])
		shards[i].Epoch++
	}
	m.Shards = shards
	return &m
}

// moveAll moves all shards to the given stores, the last of which was added.
func (c *cluster) moveAll(stores ...int) {
	c.t.Helper()
	c.setMap(c.movingMap(stores...))
	c.endMove(stores[len(stores)-1])
}

// movingMap returns the map with which all shards begin to move to the given stores.
func (c *cluster) movingMap(stores ...int) *turns.Map {
	var next []turns.StoreID
	for _, i := range stores {
		next = append(next, c.stores[i].id)
	}
	return c.changedMap(func(p *turns.Placement) { p.Next = next })
}

// endMove waits until a store has copied all shards, and ends the move.
func (c *cluster) endMove(added int) {
	c.t.Helper()
	waitFor(c.t, func() bool { return len(c.stores[added].CopiedShards()) == turns.ShardCount })
	c.updatePlacements(func(p *turns.Placement) { p.Current, p.Next = p.Next, nil })
}

// writeTurnTo writes a turn to the given stores only, which must be a majority of those that
// its shard is assigned to.
func (c *cluster) writeTurnTo(id turns.TurnID, stores ...int) {
	c.t.Helper()
	m := *c.shardMap.Load()
	m.Shards = append([]turns.Placement(nil), m.Shards...)
	for i := range m.Shards {
		m.Shards[i].Current, m.Shards[i].Next = nil, nil
		for _, n := range stores {
			m.Shards[i].Current = append(m.Shards[i].Current, c.stores[n].id)
		}
	}
	writeTurn(c.t, &turns.Client{Peers: c.peers, Map: func() *turns.Map { return &m }}, "choir", "p", id, "")
}

// claimCount returns how many claims of a program of account "choir" store i has.
func (c *cluster) claimCount(i int, program types.ProgramID) int {
	shard := turns.ShardOf("choir", program)
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	link := c.peers.Link(c.member(i).Address)
	if !link.WaitConnected(ctx) {
		return 0
	}
	reply, err := wire.Call[turns.ClaimRequest, turns.ClaimReply](ctx, link, turns.KindClaim, turns.ClaimRequest{
		To: c.stores[i].id, Shard: shard, Epoch: c.shardMap.Load().Placement(shard).Epoch, Account: "choir", Program: program,
	})
	if err != nil {
		return 0
	}
	return len(reply.Claims)
}

// client returns a new client with an empty cache.
func (c *cluster) client() *turns.Client {
	return &turns.Client{Peers: c.peers, Map: c.shardMap.Load}
}

// withTimeout returns a context for one step of a test. It ends after d or with
// the test.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// stepTimeout limits a step that must succeed, with a large margin for a busy
// machine.
const stepTimeout = 20 * time.Second

// writeTurn writes one turn of a program and requires success.
func writeTurn(t *testing.T, c *turns.Client, account types.AccountID, program types.ProgramID, id, previous turns.TurnID) {
	t.Helper()
	if err := settleTurn(withTimeout(t, stepTimeout), c, account, program, id, previous); err != nil {
		t.Fatal(err)
	}
}

// settleTurn writes one turn of a program.
func settleTurn(ctx context.Context, c *turns.Client, account types.AccountID, program types.ProgramID, id, previous turns.TurnID) error {
	b := turns.Budget{Account: account, Program: program, Attempt: types.AttemptID(id), Limit: 1000, MaxTokens: 10}
	return c.Settle(ctx, b, 5, &turns.Turn{
		Account: account, ID: id, Previous: previous, Shard: turns.ShardOf(account, program),
		Input: []byte("in " + id), Output: []byte("out " + id),
	})
}

func turnIDs(chain []turns.Turn) []turns.TurnID {
	var list []turns.TurnID
	for _, t := range chain {
		list = append(list, t.ID)
	}
	return list
}

// writeTurnOn writes a turn of account "choir" to the given stores, as if the others had not
// replied in time.
func (c *cluster) writeTurnOn(turn turns.Turn, program types.ProgramID, stores ...int) {
	c.t.Helper()
	m := c.shardMap.Load()
	turn.Account, turn.Shard = "choir", turns.ShardOf("choir", program)
	turn.Output = []byte("out " + turn.ID)
	for _, n := range stores {
		req := turns.CloseRequest{
			To: c.stores[n].id, Shard: turn.Shard, Epoch: m.Placement(turn.Shard).Epoch, Account: "choir", Program: program,
			Claim: turns.Claim{Attempt: types.AttemptID(turn.ID), Settled: true}, Turn: &turn,
		}
		if err := c.closeOn(n, req); err != nil {
			c.t.Errorf("write turn %s to store %d: %v", turn.ID, n, err)
		}
	}
}

// closeOn sends a request to store i. It repeats it if the connection is lost, as [turns.Client]
// does: links are given up if a process is late to reply to pings.
func (c *cluster) closeOn(i int, req turns.CloseRequest) error {
	ctx := withTimeout(c.t, stepTimeout)
	link := c.peers.Link(c.member(i).Address)
	for ; ; time.Sleep(10 * time.Millisecond) {
		link.WaitConnected(ctx)
		_, err := wire.Call[turns.CloseRequest, turns.EmptyReply](ctx, link, turns.KindClose, req)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if text := types.AsFault(err).Message; text != "the connection to the host was lost" && text != "no connection to the host" {
			return err
		}
	}
}

// storeHas reports whether store i has a turn of account "choir", with or without the turns
// before it.
func (c *cluster) storeHas(i int, id turns.TurnID) bool {
	c.t.Helper()
	ctx := withTimeout(c.t, stepTimeout)
	link := c.peers.Link(c.member(i).Address)
	link.WaitConnected(ctx)
	reply, err := wire.Call[turns.ChainRequest, turns.ChainReply](ctx, link, turns.KindChain, turns.ChainRequest{To: c.stores[i].id, Account: "choir", Turn: id})
	return err == nil && len(reply.Turns) > 0
}
