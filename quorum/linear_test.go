package quorum_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// operation is a client's read or proposal and its result. The state machine
// counts commands, so a proposal returns the number of commands including its own.
type operation struct {
	read    bool
	value   int
	unknown bool // the client did not receive the outcome
}

// counterModel is the sequential specification of the group: a counter that each
// proposal increments.
var counterModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, _, output any) []any {
		n, o := state.(int), output.(operation)
		switch {
		case o.unknown:
			return []any{n, n + 1}
		case o.read && o.value == n:
			return []any{n}
		case !o.read && o.value == n+1:
			return []any{n + 1}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records the operations of concurrent clients.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) now() int64 { return time.Since(h.start).Nanoseconds() }

func (h *history) record(client int, call int64, o operation) {
	end := h.now()
	if o.unknown {
		end = int64(time.Hour) // The operation may take effect at any later time.
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Call: call, Output: o, Return: end})
}

// startClients starts four clients that propose to and read from all replicas. check ends them
// and checks that what they have seen is linearizable.
func (g *testGroup) startClients() (check func()) {
	h := &history{start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var clients errgroup.Group
	for c := range 4 {
		clients.Go(func() error {
			for i := c; ctx.Err() == nil; i++ {
				g.runOperation(h, c, i%3, i%4 == 0)
				time.Sleep(2 * time.Millisecond)
			}
			return nil
		})
	}
	return func() {
		cancel()
		_ = clients.Wait()
		result := porcupine.CheckOperationsTimeout(counterModel.ToModel(), h.operations, time.Minute)
		if result != porcupine.Ok {
			g.t.Errorf("%d operations: %s", len(h.operations), result)
		}
		g.t.Logf("%d operations: %s", len(h.operations), result)
	}
}

// TestLinearizable checks that concurrent proposals and reads through all replicas
// are linearizable while leaders are stopped and restarted.
func TestLinearizable(t *testing.T) {
	g := newTestGroup(t)
	check := g.startClients()
	for range 4 {
		time.Sleep(1500 * time.Millisecond)
		for i := range g.replicas {
			if g.replica(i).Status().Role == quorum.Leader {
				g.stopReplica(i)
				time.Sleep(100 * time.Millisecond)
				g.startReplica(i)
				break
			}
		}
	}
	check()
}

func (g *testGroup) replica(i int) *quorum.Replica[[]byte, int] {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replicas[i]
}

// runOperation proposes to or reads from one replica and records the operation.
// An operation that was rejected without effect is not recorded.
func (g *testGroup) runOperation(h *history, client, replica int, read bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	g.mu.Lock()
	r, m := g.replicas[replica], g.machines[replica]
	g.mu.Unlock()
	call := h.now()
	if read {
		value := 0
		if err := r.Read(func(quorum.Status, types.LogTime) { value = m.Commands }); err == nil {
			h.record(client, call, operation{read: true, value: value})
		}
		return
	}
	value, err := r.Propose(ctx, []byte("x"))
	switch {
	case err == nil:
		h.record(client, call, operation{value: value})
	case types.AsFault(err).Ran == types.MayHaveRun:
		h.record(client, call, operation{unknown: true})
	}
}

// TestLinearizableWithStalledDisks guards against reads of what is lost and commands that are
// applied twice or not at all when disks stall in turn, and replicas stop meanwhile: a leader
// applies entries that it has not synced itself.
func TestLinearizableWithStalledDisks(t *testing.T) {
	g := newTestGroup(t)
	check := g.startClients()
	for round := range 5 {
		leader := g.waitForLeader()
		g.disks[leader].stall(900 * time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		g.disks[(leader+1)%3].stall(900 * time.Millisecond) // Together, two disks stall for 0.6 s.
		stopped := (leader + round) % 3
		g.stopReplica(stopped)
		g.startReplica(stopped)
		time.Sleep(time.Second)
	}
	check()
}
