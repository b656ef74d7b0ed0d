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

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// cluster is some stores with links between them, and a map that tests change.
type cluster struct {
	t      *testing.T
	peers  *wire.Pool
	stores []*running
	now    atomic.Pointer[turns.Map]
}

// running is a store that can be stopped, wiped and started again at another
// address.
type running struct {
	*turns.Store
	id     turns.StoreID
	dir    string
	server *httptest.Server
	stop   func()
}

func newCluster(t *testing.T, stores int) *cluster {
	t.Helper()
	c := &cluster{t: t, peers: &wire.Pool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.peers.Run(ctx) })
	t.Cleanup(func() {
		for _, s := range c.stores {
			s.halt()
		}
		cancel()
		_ = g.Wait()
	})
	for range stores {
		c.add()
	}
	m := &turns.Map{Members: map[turns.StoreID]turns.Member{}}
	var all []turns.StoreID
	for i, s := range c.stores {
		m.Members[s.id] = c.member(i)
		all = append(all, s.id)
	}
	for range turns.Shards {
		m.Shards = append(m.Shards, turns.Placement{Epoch: 1, Now: all})
	}
	c.setMap(m)
	return c
}

func (c *cluster) member(i int) turns.Member {
	s := c.stores[i]
	return turns.Member{ID: s.id, Host: types.HostID(fmt.Sprintf("store-%d", i)), Address: strings.TrimPrefix(s.server.URL, "http://")}
}

// add starts a store with an empty folder and returns its number.
func (c *cluster) add() int {
	s := &running{dir: c.t.TempDir()}
	c.start(s)
	c.stores = append(c.stores, s)
	return len(c.stores) - 1
}

func (c *cluster) start(s *running) {
	c.t.Helper()
	s.Store = &turns.Store{Dir: s.dir, Clock: types.NewClock()}
	id, err := s.Open()
	if err != nil {
		c.t.Fatal(err)
	}
	s.id = id
	server := &wire.Server{}
	s.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	s.server = httptest.NewUnstartedServer(server)
	s.server.Config.BaseContext = func(net.Listener) context.Context { return ctx } // Links end with it.
	s.server.Start()
	g, running := errgroup.WithContext(ctx)
	store := s.Store
	g.Go(func() error { return store.Run(running) })
	g.Go(func() error { return store.CopyIn(running, c.peers) })
	s.stop = func() {
		cancel()
		s.server.Close()
		_ = g.Wait()
	}
	if m := c.now.Load(); m != nil {
		s.SetMap(m)
	}
}

func (s *running) halt() {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// restart starts a stopped store again; it has another address then.
func (c *cluster) restart(i int) {
	s := c.stores[i]
	c.start(s)
	m := *c.now.Load()
	members := map[turns.StoreID]turns.Member{}
	for id, member := range m.Members {
		members[id] = member
	}
	members[s.id] = c.member(i)
	m.Members = members
	c.setMap(&m)
}

// setMap brings a map into force everywhere.
func (c *cluster) setMap(m *turns.Map) {
	c.now.Store(m)
	for _, s := range c.stores {
		if s.stop != nil {
			s.SetMap(m)
		}
	}
}

// move begins or ends a move of all shards.
func (c *cluster) move(change func(p *turns.Placement)) {
	m := *c.now.Load()
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
	c.setMap(&m)
}

func (c *cluster) client() *turns.Client {
	return &turns.Client{Peers: c.peers, Map: c.now.Load}
}

// within returns a context for one step of a test.
func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// stepTimeout bounds a step that must succeed, however busy the machine is.
const stepTimeout = 20 * time.Second

// keep writes one turn of a program.
func keep(t *testing.T, c *turns.Client, account types.AccountID, program types.ProgramID, id, previous turns.TurnID) {
	t.Helper()
	b := turns.Budget{Account: account, Program: program, Attempt: types.AttemptID(id), Limit: 1000, Most: 10}
	turn := &turns.Turn{
		Account: account, ID: id, Previous: previous, Shard: turns.ShardOf(account, program),
		Input: []byte("in " + id), Output: []byte("out " + id),
	}
	if err := c.Settle(within(t, stepTimeout), b, 5, turn); err != nil {
		t.Fatal(err)
	}
}

func ids(chain []turns.Turn) []turns.TurnID {
	var list []turns.TurnID
	for _, t := range chain {
		list = append(list, t.ID)
	}
	return list
}
