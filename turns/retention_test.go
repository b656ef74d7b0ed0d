package turns_test

import (
	"fmt"
	"io/fs"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// newVirtualCluster starts stores whose time advances only with [cluster.advance], with the
// given retention of turns.
func newVirtualCluster(t *testing.T, stores int, keep time.Duration) *cluster {
	t.Helper()
	c := startCluster(&cluster{t: t, peers: newPeers(), virtual: true}, stores)
	c.setRetention(keep)
	return c
}

// turnTimeout is the longest time of a turn in these tests.
const turnTimeout = 20 * time.Second

func (c *cluster) setRetention(keep time.Duration) {
	for _, s := range c.stores {
		if s.stop != nil {
			s.SetRetention(keep, turnTimeout)
		}
	}
}

// advance lets the virtual time pass, with a check for expired turns every 2 s, and returns
// after all checks have ended.
func (c *cluster) advance(d time.Duration) {
	c.t.Helper()
	const step = 2 * time.Second
	for range d / step {
		c.elapsed.Add(int64(step))
		c.tick()
	}
	c.tick() // Each store receives it after its last check.
}

func (c *cluster) tick() {
	c.t.Helper()
	for _, s := range c.stores {
		if s.stop == nil {
			continue
		}
		select {
		case s.ticks <- time.Time{}:
		case <-time.After(stepTimeout):
			c.t.Fatal("a check for expired turns does not end")
		}
	}
}

// requireChain requires that a client without a cache gets the chain of a turn in full.
func (c *cluster) requireChain(id turns.TurnID, want []turns.TurnID) {
	c.t.Helper()
	chain, err := c.client().Chain(withTimeout(c.t, stepTimeout), "choir", id)
	if err != nil {
		c.t.Fatalf("after %v, chain of turn %s: %v", time.Duration(c.elapsed.Load()), id, err)
	}
	if diff := cmp.Diff(want, turnIDs(chain)); diff != "" {
		c.t.Fatalf("after %v, chain of turn %s (-want +got):\n%s", time.Duration(c.elapsed.Load()), id, diff)
	}
}

// requireGone requires that no store has a turn any more.
func (c *cluster) requireGone(id turns.TurnID) {
	c.t.Helper()
	for i := range c.stores {
		if c.hasTurn(i, id) {
			c.t.Errorf("after %v, store %d still has turn %s", time.Duration(c.elapsed.Load()), i, id)
		}
	}
}

// TestTurnsAreKeptForTenMinutes guards against turns that are dropped after a fixed time,
// whatever the retention of the plan, and against turns that are never dropped.
func TestTurnsAreKeptForTenMinutes(t *testing.T) {
	c := newVirtualCluster(t, 3, 10*time.Minute)
	for minute := range 14 {
		id := func(n int) turns.TurnID { return turns.TurnID(fmt.Sprint("turn", n)) }
		writeTurn(t, c.client(), "choir", types.ProgramID(fmt.Sprint("p", minute)), id(minute), "")
		c.advance(time.Minute)
		for n := max(0, minute-9); n <= minute; n++ {
			c.requireChain(id(n), []turns.TurnID{id(n)})
		}
		if minute >= 11 {
			c.requireGone(id(minute - 11))
		}
	}
}

// TestContinuedChainOutlivesRetention guards against a chain that loses its first turns while
// its newest one is continued every 31 s. Each turn is written to another majority and in
// another program, so that most turns are continued by turns of other shards and stores.
func TestContinuedChainOutlivesRetention(t *testing.T) {
	c := newVirtualCluster(t, 3, time.Minute)
	var chain []turns.TurnID
	previous := turns.TurnID("")
	for i := range 12 {
		id := turns.TurnID(fmt.Sprint("turn", i))
		c.writeTurnOn(turns.Turn{ID: id, Previous: previous}, types.ProgramID(fmt.Sprint("p", i)), i%3, (i+1)%3)
		chain, previous = append(chain, id), id
		c.advance(30 * time.Second)
		c.requireChain(id, chain)
	}
	for i, id := range chain {
		for _, n := range []int{i % 3, (i + 1) % 3} {
			if !c.storeHas(n, id) {
				t.Errorf("store %d has dropped turn %s of a living chain", n, id)
			}
		}
	}
	c.advance(2 * time.Minute)
	for _, id := range chain {
		c.requireGone(id)
	}
}

// TestRaisedRetentionAppliesToStoredTurns guards against turns that keep the retention which
// was in force when they were written.
func TestRaisedRetentionAppliesToStoredTurns(t *testing.T) {
	c := newVirtualCluster(t, 3, time.Minute)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	c.advance(50 * time.Second)
	c.setRetention(10 * time.Minute)
	c.advance(9 * time.Minute)
	c.requireChain("one", []turns.TurnID{"one"})
}

// TestRestartExpiresNothingEarly guards against ages that count from before a restart, and
// against a store that expires turns by a default before it has the plan.
func TestRestartExpiresNothingEarly(t *testing.T) {
	c := newVirtualCluster(t, 3, time.Minute)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	c.advance(50 * time.Second)
	for i := range c.stores {
		c.stores[i].shutDown()
		c.restartStore(i)
	}
	c.advance(10 * time.Minute) // Without a plan.
	c.requireChain("one", []turns.TurnID{"one"})
	for i := range c.stores {
		c.stores[i].shutDown()
		c.restartStore(i)
	}
	c.setRetention(time.Minute)
	c.advance(time.Minute)
	c.requireChain("one", []turns.TurnID{"one"})
	c.advance(time.Minute)
	c.requireGone("one")
}

// TestCopiedTurnsKeepTheirAge guards against copies that expire earlier than the turns that
// they were copied from, and against moves that make turns live ever longer.
func TestCopiedTurnsKeepTheirAge(t *testing.T) {
	c := newVirtualCluster(t, 3, 5*time.Minute)
	var ids []turns.TurnID // Some are copied to the added store, and some to the one that has been in the shard.
	for i := range 12 {
		ids = append(ids, turns.TurnID(fmt.Sprint("turn", i)))
		c.writeTurnOn(turns.Turn{ID: ids[i]}, "p", 0, 1) // Not on a majority of the stores that follow.
	}
	c.advance(4 * time.Minute)
	c.addStore()
	c.setRetention(5 * time.Minute)
	c.moveAll(1, 2, 3)
	c.advance(time.Minute)
	for _, id := range ids {
		if !c.hasTurn(2, id) && !c.hasTurn(3, id) {
			t.Errorf("the copy of %s has expired before its time", id)
		}
	}
	c.advance(2 * time.Minute)
	for _, id := range ids {
		c.requireGone(id)
	}
}

// TestExpiryNeedsQuorum guards against a store that drops a turn while it cannot know whether
// the chain of a newer one contains it: as in a network partition, or while the others have
// another map, by which the newer turn may be on stores that this one does not ask.
func TestExpiryNeedsQuorum(t *testing.T) {
	for name, isolate := range map[string]func(c *cluster){
		"others down": func(c *cluster) {
			c.stores[1].shutDown()
			c.stores[2].shutDown()
		},
		"others with a newer map": func(c *cluster) {
			newer := c.changedMap(func(*turns.Placement) {})
			c.stores[1].SetMap(newer)
			c.stores[2].SetMap(newer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newVirtualCluster(t, 3, time.Minute)
			c.writeTurnOn(turns.Turn{ID: "one"}, "p", 0, 1)
			isolate(c)
			c.advance(100 * time.Second)
			if !c.storeHas(0, "one") {
				t.Error("the turn was dropped without a quorum")
			}
		})
	}
}

// TestExpiredTurnIsNotContinuedFromCache guards against a turn that is answered whole although
// the turns before it have expired: the host that has served the program has them in its cache,
// and another host then finds the new turn without them.
func TestExpiredTurnIsNotContinuedFromCache(t *testing.T) {
	c := newVirtualCluster(t, 3, time.Minute)
	writer, reader := c.client(), c.client()
	for _, client := range []*turns.Client{writer, reader} {
		client.Clock = func() types.Mono { return types.Mono(c.elapsed.Load()) }
	}
	writeTurn(t, writer, "choir", "p", "one", "")
	for _, client := range []*turns.Client{writer, reader} {
		if _, err := client.Chain(withTimeout(t, stepTimeout), "choir", "one"); err != nil {
			t.Fatal(err)
		}
	}
	c.advance(2 * time.Minute)
	for name, client := range map[string]*turns.Client{"writer": writer, "reader": reader} {
		if _, err := client.Chain(withTimeout(t, stepTimeout), "choir", "one"); !types.IsCode(err, types.CodeNotFound) {
			t.Errorf("expired turn, through its %s: %v, want code notFound", name, err)
		}
	}
}

// TestClockJumpExpiresNothing guards against stores that were suspended, or whose clock jumps,
// and then take all turns for old.
func TestClockJumpExpiresNothing(t *testing.T) {
	c := newVirtualCluster(t, 3, time.Minute)
	writeTurn(t, c.client(), "choir", "p", "one", "")
	c.elapsed.Add(int64(time.Hour))
	c.advance(30 * time.Second)
	c.requireChain("one", []turns.TurnID{"one"})
}

// TestClaimsLiveAsLongAsTurns guards against a budget that is granted again after the claims
// of a program were dropped, while its turns can still be continued.
func TestClaimsLiveAsLongAsTurns(t *testing.T) {
	c := newVirtualCluster(t, 3, time.Minute)
	writeTurn(t, c.client(), "choir", "p", "turn0", "")
	for i := range 10 {
		c.advance(30 * time.Second)
		writeTurn(t, c.client(), "choir", "other", turns.TurnID(fmt.Sprint("turn", i+1)), turns.TurnID(fmt.Sprint("turn", i)))
	}
	for i := range c.stores {
		if n := c.claimCount(i, "p"); c.storeHas(i, "turn0") && n != 1 {
			t.Errorf("store %d has %d claims of a program whose turn it keeps, want 1", i, n)
		}
	}
}

// TestLongChainsKeepNoWholeSegments guards against a disk that fills up because one living turn
// keeps everything that was written beside it: a long program has a turn in every second
// segment of the journal.
func TestLongChainsKeepNoWholeSegments(t *testing.T) {
	c := newVirtualCluster(t, 1, time.Minute)
	var chain []turns.TurnID
	previous := turns.TurnID("")
	const turnBytes, perStep, steps = 2000, 10, 300
	for step := range steps {
		if step%15 == 0 {
			id := turns.TurnID(fmt.Sprint("long", step))
			c.writeTurnOn(turns.Turn{ID: id, Previous: previous}, "long", 0)
			chain, previous = append(chain, id), id
		}
		var g errgroup.Group
		for i := range perStep {
			turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("short", step, "-", i)), Input: make([]byte, turnBytes)}
			g.Go(func() error { c.writeTurnOn(turn, types.ProgramID(turn.ID), 0); return nil })
		}
		_ = g.Wait() // writeTurnOn fails the test itself.
		c.advance(2 * time.Second)
	}
	c.requireChain(previous, chain)
	const liveBytes = (60 + 20 + 11) / 2 * perStep * turnBytes // All turns of one retention.
	if size := dirBytes(t, c.stores[0].dir); size > 2*liveBytes {
		t.Errorf("the journal takes %d bytes, want at most twice the %d of the live turns", size, liveBytes)
	}
}

func dirBytes(t *testing.T, dir string) (size int64) {
	t.Helper()
	err := filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := d.Info()
		size += info.Size()
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// TestCompactionDelaysNoTurn guards against turns that wait on slow disks while a store writes the
// claims of many programs again and removes old segments, every 2 s.
func TestCompactionDelaysNoTurn(t *testing.T) {
	const keep, programs, syncTime = time.Minute, 1200, 150 * time.Millisecond
	disks := []*slowDisk{{}, {}, {}}
	c := &cluster{t: t, peers: newPeers(), virtual: true}
	for _, d := range disks {
		c.disks = append(c.disks, d.disk())
	}
	startCluster(c, 3)
	c.setRetention(keep)
	w := c.client()
	var g errgroup.Group
	g.SetLimit(50)
	for i := range programs {
		g.Go(func() error {
			b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i)), Attempt: "a", Limit: 100, MaxTokens: 10}
			return w.Settle(withTimeout(t, stepTimeout), b, 1, nil)
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	c.advance(16 * time.Second) // A new segment is started after 15 s.
	for _, d := range disks {
		d.slow(syncTime)
	}
	var stop atomic.Bool
	g.Go(func() error {
		defer stop.Store(true)
		c.advance(24 * time.Second) // The old one is removed after a quarter of the retention.
		return nil
	})
	var longest time.Duration
	writes := 0
	for i := 0; !stop.Load(); i++ {
		began := time.Now()
		if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", turns.TurnID(fmt.Sprint("t", i)), ""); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, time.Since(began))
		writes++
	}
	_ = g.Wait() // It always returns nil.
	for i, s := range c.stores {
		if removed, err := filepath.Glob(filepath.Join(s.dir, "journal", "log-*1")); err != nil || len(removed) > 0 {
			t.Errorf("store %d still has its first segment: %v", i, err)
		}
	}
	t.Logf("%d writes, the longest took %v", writes, longest)
	if longest > 3*syncTime {
		t.Errorf("a write took %v with syncs of %v, want at most the sync under way and its own", longest, syncTime)
	}
}
