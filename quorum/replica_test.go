package quorum_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/store"
	"github.com/banyanspur/banyanspur/types"
)

// counter is a state machine that counts commands and their bytes.
type counter struct {
	Commands int
	Bytes    int
}

func (c *counter) Apply(_ types.LogTime, command []byte) int {
	c.Commands++
	c.Bytes += len(command)
	return c.Commands
}

func (c *counter) Snapshot() []byte { return types.Encode(*c) }

func (c *counter) Restore(b []byte) (err error) {
	*c, err = types.Decode[counter](b)
	return err
}

func (c *counter) CheckMemory(b []byte) error { return types.CheckMemory[counter](b) }

// testGroup is a group of replicas in one process.
type testGroup struct {
	t         testing.TB
	dir       string
	mu        sync.Mutex
	replicas  []*quorum.Replica[[]byte, int]
	machines  []*counter
	disks     []*slowDisk
	stopFuncs []func()
	cancels   []func() error // stop a replica and return the error of Run
}

// newTestGroup starts three replicas, which are stopped at the end of the test.
func newTestGroup(t testing.TB) *testGroup {
	t.Helper()
	return newTestGroupOf(t, 3)
}

// newTestGroupOf starts n replicas, which are stopped at the end of the test.
func newTestGroupOf(t testing.TB, n int) *testGroup {
	t.Helper()
	g := &testGroup{
		t: t, dir: t.TempDir(), replicas: make([]*quorum.Replica[[]byte, int], n),
		machines: make([]*counter, n), stopFuncs: make([]func(), n),
		cancels: make([]func() error, n),
	}
	for range n {
		g.disks = append(g.disks, &slowDisk{})
	}
	var members quorum.Members
	for i := range g.replicas {
		id, err := quorum.LoadOrCreateID(g.replicaDir(i), hostName(i))
		if err != nil {
			t.Fatal(err)
		}
		members.Voters = append(members.Voters, quorum.Member{ID: id, Host: hostName(i)})
	}
	for i := range g.replicas {
		if err := quorum.Bootstrap(g.replicaDir(i), members); err != nil {
			t.Fatal(err)
		}
		g.startReplica(i)
	}
	t.Cleanup(func() {
		for i := range g.replicas {
			g.stopReplica(i)
		}
	})
	return g
}

func hostName(i int) types.HostID { return types.HostID(fmt.Sprint("h", i)) }

func (g *testGroup) replicaDir(i int) string { return filepath.Join(g.dir, fmt.Sprint(i)) }

func (g *testGroup) startReplica(i int) {
	m := &counter{}
	r := &quorum.Replica[[]byte, int]{
		Dir: g.replicaDir(i), Disk: store.Disk{Write: g.disks[i].write, Sync: g.disks[i].sync},
		Host: hostName(i), Machine: m, Send: g.send, Clock: types.NewClock(),
	}
	g.mu.Lock()
	g.replicas[i], g.machines[i] = r, m
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return r.Run(ctx) })
	g.cancels[i] = func() error {
		cancel()
		return group.Wait()
	}
	g.stopFuncs[i] = sync.OnceFunc(func() {
		if err := g.cancels[i](); err != nil {
			g.t.Error(err)
		}
	})
}

// cancelReplica stops a replica that is expected to end with an error, which it returns.
func (g *testGroup) cancelReplica(i int) error {
	err := g.cancels[i]()
	g.stopFuncs[i] = func() {}
	return err
}

func (g *testGroup) stopReplica(i int) { g.stopFuncs[i]() }

// send delivers a message. A message to a replica that has not been started yet is
// lost.
func (g *testGroup) send(m quorum.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, r := range g.replicas {
		if m.To.Host() == hostName(i) && r != nil {
			r.Deliver(m)
		}
	}
}

// propose proposes a command to each replica in turn until one returns success. It
// returns the number of attempts with an unknown outcome, each of which may have
// applied the command as well.
func (g *testGroup) propose(command []byte) (unknown int) {
	for i := 0; ; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err := g.replicas[i%len(g.replicas)].Propose(ctx, command)
		cancel()
		if err == nil {
			return unknown
		}
		if types.AsFault(err).Ran != types.NotRun {
			unknown++
		}
		if i%len(g.replicas) == len(g.replicas)-1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestReplicaRestart checks that a replica catches up from a snapshot and the log
// when it restarts after the others have compacted entries that it lacks.
func TestReplicaRestart(t *testing.T) {
	g := newTestGroup(t)
	const size = 1 << 20
	command := make([]byte, size)
	unknown := g.propose(command)
	g.stopReplica(2)
	const commands = 40
	for range commands {
		unknown += g.propose(command)
	}
	g.startReplica(2)
	deadline := time.Now().Add(30 * time.Second)
	for !g.allCaughtUp() {
		if time.Now().After(deadline) {
			t.Fatalf("%+v, %+v, %+v", g.replicas[0].Status(), g.replicas[1].Status(), g.replicas[2].Status())
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i := range g.replicas {
		g.stopReplica(i)
	}
	applied := g.machines[0].Commands
	if applied < commands+1 || applied > commands+1+unknown {
		t.Errorf("replica 0 applied %d commands, want %d and at most %d more", applied, commands+1, unknown)
	}
	for i, m := range g.machines {
		if diff := cmp.Diff(counter{Commands: applied, Bytes: applied * size}, *m); diff != "" {
			t.Errorf("replica %d (-want +got):\n%s", i, diff)
		}
	}
}

// allCaughtUp reports whether all replicas have applied the same entries, and every
// entry that any of them knows to be committed.
func (g *testGroup) allCaughtUp() bool {
	first := g.replicas[0].Status()
	for _, r := range g.replicas {
		if s := r.Status(); s.Applied != first.Applied || s.Commit != first.Applied || s.Applied == 0 {
			return false
		}
	}
	return true
}

// BenchmarkCommit measures commits of 200-byte commands by concurrent proposers.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("proposers=%d", n), func(b *testing.B) {
			g := newTestGroup(b)
			command := make([]byte, 200)
			g.propose(command)
			b.ResetTimer()
			var group errgroup.Group
			for range n {
				group.Go(func() error {
					for range b.N / n {
						g.propose(command)
					}
					return nil
				})
			}
			_ = group.Wait()
			b.ReportMetric(float64(b.N/n*n)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// TestBootstrapKeepsLog guards against emptying the log of a replica that has joined a
// group and has no snapshot yet.
func TestBootstrapKeepsLog(t *testing.T) {
	dir := t.TempDir()
	l, _, err := store.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Append([]byte("an acknowledged entry")); err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if joined, _, err := quorum.ReadMembers(dir); err != nil || !joined {
		t.Errorf("the replica does not belong to a group: %v", err)
	}
	if err := quorum.Bootstrap(dir, quorum.Members{}); err == nil {
		t.Error("the replica was bootstrapped again")
	}
	if _, recovered, err := store.Open(dir); err != nil || len(recovered.Frames) != 1 {
		t.Errorf("frames in the log: %d, %v", len(recovered.Frames), err)
	}
}
