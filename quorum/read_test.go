package quorum_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
)

// TestSlowReadsKeepLeader guards against a change of leader while readers of its state take
// long, or wait for each other: the loop must send heartbeats and extend the lease meanwhile.
func TestSlowReadsKeepLeader(t *testing.T) {
	g := newTestGroup(t)
	g.propose([]byte("x"))
	leader := g.waitForLeader()
	term := g.replica(leader).Status().Term
	ctx, cancel := context.WithCancel(context.Background())
	var readers errgroup.Group
	for i := range 2 {
		readers.Go(func() error { // One of both reads at any time.
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			for ctx.Err() == nil {
				_ = g.replica(leader).Read(func(quorum.Status, types.LogTime) { time.Sleep(800 * time.Millisecond) })
			}
			return nil
		})
	}
	time.Sleep(4 * time.Second)
	s := g.replica(leader).Status()
	cancel()
	_ = readers.Wait()
	if s.Role != quorum.Leader || s.Term != term {
		t.Errorf("the leader of term %d was lost: role %d in term %d", term, s.Role, s.Term)
	}
}
