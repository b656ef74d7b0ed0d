package soak_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	fleetpkg "github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/host"
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
	for _, h := range f.hosts[:3] {
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
// is one of three voters, and each store holds all shards. Only then may the next
// host with a disk be lost.
func (f *fleet) waitRecovered() {
	f.t.Helper()
	for _, h := range f.hosts[:6] {
		recovered := f.isVoter
		if h.role == host.NodeStore {
			recovered = f.holdsAllShards
		}
		waitFor(f.t, h.name+" to recover", func() bool { return recovered(h) })
	}
}

// isVoter reports whether a control host reports itself as one of three voters.
func (f *fleet) isVoter(h *testHost) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link := f.peers.Link(f.peerAddress(h))
	if !link.WaitConnected(ctx) {
		return false
	}
	r, err := wire.Call[fleetpkg.HelloRequest, fleetpkg.HelloReply](ctx, link, fleetpkg.KindHello, fleetpkg.HelloRequest{})
	return err == nil && len(r.Members.Voters) == 3 && r.Members.IsVoter(r.ID)
}

// holdsAllShards reports whether a store, with its current identity, holds all
// shards and no shard is being moved.
func (f *fleet) holdsAllShards(h *testHost) bool {
	id, err := os.ReadFile(filepath.Join(h.dir, "data", "turns", "identity"))
	view := f.client.View()
	if err != nil || view.Map == nil || len(view.Map.Shards) == 0 {
		return false
	}
	for _, p := range view.Map.Shards {
		if len(p.Next) > 0 || !slices.Contains(p.Current, turns.StoreID(id)) {
			return false
		}
	}
	return f.client.Staleness() < 3*time.Second
}
