package soak_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	follow "github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// follow starts a client that follows the fleet until the test ends.
func (f *fleet) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	f.peers = &wire.Pool{}
	f.client = &follow.Client{Host: "observer", Peers: f.peers, Clock: types.NewClock()}
	for _, m := range f.machines[:3] {
		f.client.Seeds = append(f.client.Seeds, f.peer(m))
	}
	g.Go(func() error { return f.peers.Run(ctx) })
	g.Go(func() error { return f.client.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		_ = g.Wait() // Both return nil.
	})
}

func (f *fleet) peer(m *machine) string { return fmt.Sprintf("%s:%d", f.address(m), peerPort) }

// settle waits until no host with a disk counts as lost any more: each control
// host knows itself as one of three voters, and each store carries all shards.
// Another one may be lost only then.
func (f *fleet) settle() {
	f.t.Helper()
	for _, m := range f.machines[:6] {
		done := f.votes
		if m.role == host.NodeStore {
			done = f.carries
		}
		waitFor(f.t, m.name+" to count again", func() bool { return done(m) })
	}
}

// votes reports whether a control host knows itself as one of three voters.
func (f *fleet) votes(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link := f.peers.Link(f.peer(m))
	if !link.Await(ctx) {
		return false
	}
	r, err := wire.Call[follow.HelloRequest, follow.HelloReply](ctx, link, follow.KindHello, follow.HelloRequest{})
	return err == nil && len(r.Members.Voters) == 3 && r.Members.IsVoter(r.ID)
}

// carries reports whether a store, as it is now, carries all shards.
func (f *fleet) carries(m *machine) bool {
	id, err := os.ReadFile(filepath.Join(m.dir, "data", "turns", "identity"))
	view := f.client.View()
	if err != nil || view.Map == nil || len(view.Map.Shards) == 0 {
		return false
	}
	for _, p := range view.Map.Shards {
		if len(p.Next) > 0 || !slices.Contains(p.Now, turns.StoreID(id)) {
			return false
		}
	}
	return f.client.Age() < 3*time.Second
}
