package turns_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// slowDisk is a disk whose syncs can be held up. It counts what is written.
type slowDisk struct {
	mu      sync.Mutex
	until   time.Time
	latency time.Duration // of each sync
	// bytesPerSecond limits what is written, so that a sync takes longer with each byte before it; 0 for no limit.
	bytesPerSecond, unsynced int
	// simulated is set if syncs only take the times above, and not that of the machine's disk.
	simulated bool
	written   int
}

// slow makes each sync take the given time from now on.
func (d *slowDisk) slow(latency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.latency = latency
}

func (d *slowDisk) stall(duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Now().Add(duration)
}

func (d *slowDisk) simulate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.simulated = true
}

func (d *slowDisk) writtenBytes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written
}

func (d *slowDisk) disk() store.Disk {
	return store.Disk{
		Write: func(f *os.File, b []byte) (int, error) {
			d.mu.Lock()
			d.written += len(b)
			d.unsynced += len(b)
			d.mu.Unlock()
			return f.Write(b)
		},
		Sync: func(f *os.File) error {
			d.mu.Lock()
			rest, simulated := max(time.Until(d.until), d.latency), d.simulated
			if d.bytesPerSecond > 0 {
				rest += time.Duration(float64(d.unsynced) / float64(d.bytesPerSecond) * float64(time.Second))
			}
			d.unsynced = 0
			d.mu.Unlock()
			time.Sleep(rest)
			if simulated {
				return nil
			}
			return f.Sync()
		},
	}
}

// newSlowCluster starts three stores with disks that can be held up.
func newSlowCluster(t *testing.T) (*cluster, []*slowDisk) {
	t.Helper()
	disks := []*slowDisk{{}, {}, {}}
	c := &cluster{t: t, peers: newPeers()}
	for _, d := range disks {
		c.disks = append(c.disks, d.disk())
	}
	return startCluster(c, 3), disks
}

// TestStalledStoreDelaysNoRequest guards against reservations and turns that wait for the disk
// of one of three stores. The others are a majority, so that each must take less than the
// timeout of a request to one store.
func TestStalledStoreDelaysNoRequest(t *testing.T) {
	c, disks := newSlowCluster(t)
	for _, d := range disks {
		d.simulate()
	}
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	disks[0].stall(2 * time.Second)
	var longest time.Duration
	for i, start := 0, time.Now(); time.Since(start) < 2*time.Second; i++ {
		program := types.ProgramID(fmt.Sprint("p", i))
		began := time.Now()
		b := turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10}
		if err := claim(withTimeout(t, stepTimeout), w, b); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, time.Since(began))
		began = time.Now()
		if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", program, turns.TurnID(fmt.Sprint("t", i)), ""); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, time.Since(began))
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("longest request: %v", longest)
	if longest > 500*time.Millisecond {
		t.Errorf("a request took %v beside the stalled disk of one store", longest)
	}
}

// TestRetriesBesideStalledDisksAreNotWrittenAgain guards against disks that have to write the
// same turns several times after a stall, because their writers repeat requests that have
// timed out. That prolongs the stall of a busy disk.
func TestRetriesBesideStalledDisksAreNotWrittenAgain(t *testing.T) {
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	before := disks[0].writtenBytes()
	for _, d := range disks {
		d.stall(2 * time.Second)
	}
	const programs, outputBytes = 20, 50_000
	var writes errgroup.Group
	for i := range programs {
		program := types.ProgramID(fmt.Sprint("p", i))
		writes.Go(func() error {
			b := turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10}
			turn := turns.Turn{ID: turns.TurnID(fmt.Sprint("t", i)), Account: "choir", Program: program, Output: make([]byte, outputBytes)}
			return w.Settle(withTimeout(t, 10*time.Second), b, 1, &turn)
		})
	}
	if err := writes.Wait(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	written := disks[0].writtenBytes() - before
	t.Logf("written: %d bytes for %d of turns", written, programs*outputBytes)
	if limit := 3 * programs * outputBytes / 2; written > limit {
		t.Errorf("%d bytes were written for turns of %d, want at most %d", written, programs*outputBytes, limit)
	}
}

// requestsHandled returns how many requests of a kind the stores of this process have handled.
func requestsHandled(kind string) uint64 {
	return metrics.GetOrCreateCounter(`banyanspur_wire_requests_total{kind="` + kind + `"}`).Get()
}

// TestLateStoresGetEachRequestOnce guards against a collapse that feeds itself: stores that
// reply later than a client waits for one reply get each request again and again, and none of
// their replies counts.
func TestLateStoresGetEachRequestOnce(t *testing.T) {
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	for _, d := range disks {
		d.slow(700 * time.Millisecond)
	}
	claims, closes := requestsHandled("turns.claim"), requestsHandled("turns.close")
	const programs = 20
	var g errgroup.Group
	for i := range programs {
		program := types.ProgramID(fmt.Sprint("p", i))
		g.Go(func() error {
			// A turn waits for the sync that is under way and the next one.
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			b := turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10}
			if err := claim(ctx, w, b); err != nil {
				return err
			}
			ctx, cancel = context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			return settleTurn(ctx, w, "choir", program, turns.TurnID(fmt.Sprint("t", i)), "")
		})
	}
	if err := g.Wait(); err != nil {
		t.Errorf("a turn was not written in 3 s by stores that take 0.7 s: %v", err)
	}
	claims, closes = requestsHandled("turns.claim")-claims, requestsHandled("turns.close")-closes
	t.Logf("%d claims and %d writes of %d turns for three stores", claims, closes, programs)
	if limit := uint64(3 * programs); claims > 2*limit || closes > limit { // Each turn places a claim and confirms it.
		t.Errorf("the stores handled %d claims and %d writes of %d turns, want at most %d and %d", claims, closes, programs, 2*limit, limit)
	}
}

// TestStoresWithoutMapGetEachRequestOnce guards against requests that are repeated while the
// stores that get them have not received the current shard map yet, as after their restart:
// the repeated ones delayed the map further on busy hosts.
func TestStoresWithoutMapGetEachRequestOnce(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	older := c.shardMap.Load()
	newer := c.changedMap(func(*turns.Placement) {})
	c.shardMap.Store(newer) // The client has it before the stores.
	claims := requestsHandled("turns.claim")
	const programs = 20
	var g errgroup.Group
	for i := range programs {
		g.Go(func() error {
			b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i)), Attempt: "a", Limit: 100, MaxTokens: 10}
			return claim(withTimeout(t, stepTimeout), w, b)
		})
	}
	time.Sleep(250 * time.Millisecond)
	c.setMap(newer)
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if claims, limit := requestsHandled("turns.claim")-claims, uint64(2*3*programs); claims > limit {
		t.Errorf("the stores handled %d claims of %d turns, want at most %d (epochs %d and %d)", claims, programs, limit, older.Placement(0).Epoch, newer.Placement(0).Epoch)
	}
}

// TestOverloadedStoresGetFewReservations guards against stores that spend their time on
// reservations whose callers have given up: while none is in time, all but a few must be
// refused at once, without any work for the stores, and all admitted again afterwards.
func TestOverloadedStoresGetFewReservations(t *testing.T) {
	c, disks := newSlowCluster(t)
	w := c.client()
	if err := settleTurn(withTimeout(t, stepTimeout), w, "choir", "p", "first", ""); err != nil {
		t.Fatal(err)
	}
	const stall, interval, patience = 4 * time.Second, 10 * time.Millisecond, 500 * time.Millisecond
	for _, d := range disks {
		d.stall(stall)
	}
	reserve := func(i int) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i)), Attempt: "a", Limit: 100, MaxTokens: 10}
		return claim(ctx, w, b)
	}
	claims, offered := requestsHandled("turns.claim"), 0
	var mu sync.Mutex
	refused := 0
	var g errgroup.Group
	for start := time.Now(); time.Since(start) < stall-patience; time.Sleep(interval) {
		i := offered
		offered++
		g.Go(func() error {
			began := time.Now()
			if err := reserve(i); turns.NotSent(err) && time.Since(began) < patience/2 {
				mu.Lock()
				refused++
				mu.Unlock()
			}
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
	claims = requestsHandled("turns.claim") - claims
	t.Logf("%d reservations offered, %d refused at once, %d claims at three stores", offered, refused, claims)
	if refused < offered/2 || claims > uint64(2*3*offered/2) { // Each one that is admitted places a claim and confirms it.
		t.Errorf("of %d reservations %d were refused at once, want at least half; %d claims", offered, refused, claims)
	}
	waitFor(t, func() bool { return reserve(offered) == nil })
	for i := range 20 { // One at a time, as they come on a host.
		if err := reserve(offered + 1 + i); err != nil {
			t.Errorf("reservation %d after the stall: %v", i, err)
		}
	}
}

// TestNewSegmentDelaysNoTurn guards against turns that wait on slow disks for the syncs that a new
// segment of the journal needs, besides their own: at the rate of a deployment a store starts one
// every few seconds.
func TestNewSegmentDelaysNoTurn(t *testing.T) {
	w, disks := newClientOfSlowDisks(t)
	const syncTime, turnBytes, turnCount = 150 * time.Millisecond, 1 << 20, 24 // 8 MiB are a segment.
	for _, d := range disks {
		d.slow(syncTime)
	}
	var longest time.Duration
	for i := range turnCount {
		id := turns.TurnID(fmt.Sprint("t", i))
		b := turns.Budget{Account: "choir", Program: "p", Attempt: types.AttemptID(id), Limit: 100_000, MaxTokens: 10}
		began := time.Now()
		if err := w.Settle(withTimeout(t, stepTimeout), b, 1, &turns.Turn{ID: id, Account: "choir", Shard: turns.ShardOf("choir", "p"), Program: "p", Output: make([]byte, turnBytes)}); err != nil {
			t.Fatal(err)
		}
		longest = max(longest, time.Since(began))
	}
	t.Logf("the longest write took %v", longest)
	if longest > 3*syncTime {
		t.Errorf("a write took %v with syncs of %v, want at most the sync under way and its own", longest, syncTime)
	}
}
