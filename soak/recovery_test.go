package soak_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	fleetpkg "github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// startClient starts a client that follows the configuration of the fleet until
// the test ends.
func (f *fleet) startClient() {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	f.peers = &wire.Pool{}
	f.client = &fleetpkg.Client{Host: "observer", Peers: f.peers, Clock: types.NewClock()}
	for _, h := range f.controls() {
		f.client.Seeds = append(f.client.Seeds, f.peerAddress(h))
	}
	g.Go(func() error { return f.peers.Run(ctx) })
	g.Go(func() error { return f.client.Run(ctx) })
	f.t.Cleanup(func() {
		cancel()
		_ = g.Wait() // Both goroutines always return nil.
	})
}

func (f *fleet) peerAddress(h *testHost) string { return fmt.Sprintf("%s:%d", f.address(h), peerPort) }

// waitRecovered waits until no host with a disk counts as lost: each control host
// is a voter, and all shards have all of their copies on stores that run. Only then may
// the next host with a disk be lost.
func (f *fleet) waitRecovered() {
	f.t.Helper()
	for _, h := range f.controls() {
		waitFor(f.t, h.name+" to recover", func() bool { return f.isVoter(h) })
	}
	waitFor(f.t, "all shards to have all copies", f.shardsComplete)
}

// isVoter reports whether a control host reports itself as a voter and knows of as many
// as there are control hosts.
func (f *fleet) isVoter(h *testHost) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link := f.peers.Link(f.peerAddress(h))
	if !link.WaitConnected(ctx) {
		return false
	}
	r, err := wire.Call[fleetpkg.HelloRequest, fleetpkg.HelloReply](ctx, link, fleetpkg.KindHello, fleetpkg.HelloRequest{})
	return err == nil && len(r.Members.Voters) == f.size.controls && r.Members.IsVoter(r.ID)
}

// shardsComplete reports whether all copies of all shards are on stores with their current
// identities, and no shard is being moved.
func (f *fleet) shardsComplete() bool {
	current := f.storesByID()
	view := f.client.View()
	if len(current) < f.size.stores || view.Map == nil || len(view.Map.Shards) == 0 {
		return false
	}
	for _, p := range view.Map.Shards {
		if len(p.Next) > 0 || len(p.Current) < 2*f.size.losses+1 {
			return false
		}
		for _, id := range p.Current {
			if current[id] == nil {
				return false
			}
		}
	}
	return f.client.Staleness() < 3*time.Second
}

// storeID returns the identity of a store, which changes with the loss of its disk.
func (h *testHost) storeID() (turns.StoreID, bool) {
	id, err := os.ReadFile(filepath.Join(h.dir, "data", "turns", "identity"))
	return turns.StoreID(id), err == nil
}
