package host

import (
	"context"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// reportInterval is how often a store tells which shards it has copied, while
// there is something to tell.
const reportInterval = 100 * time.Millisecond

// startStore runs a host that keeps turns.
func (n *Node) startStore(ctx, inner context.Context, g *errgroup.Group, stop func()) error {
	store := &turns.Store{Dir: filepath.Join(n.Settings.DataDir, "turns"), Clock: types.NewClock(), Log: n.Log}
	id, err := store.Open()
	if err != nil {
		return err
	}
	store.Register(n.server)
	if err := n.startPeers(inner, g); err != nil {
		return err
	}
	n.client.Store = &turns.Member{ID: id, Host: n.Settings.Host, Zone: n.Settings.Zone, Address: n.Settings.Peer()}
	n.client.Changed = func(v fleet.View) {
		if v.Map != nil {
			store.SetMap(v.Map)
		}
	}
	g.Go(func() error { return n.client.Run(inner) })
	g.Go(func() error { return store.Run(inner) })
	g.Go(func() error { return store.CopyIn(inner, n.peers) })
	g.Go(func() error { return n.reportCopied(inner, store, id) })
	g.Go(func() error {
		defer stop()
		waitEither(ctx, inner)
		return nil
	})
	return nil
}

// reportCopied tells the leader which moves this store is ready for.
func (n *Node) reportCopied(ctx context.Context, store *turns.Store, id turns.StoreID) error {
	for types.Sleep(ctx, reportInterval) {
		copied := store.Copied()
		if len(copied) == 0 {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := n.client.Copied(askCtx, fleet.CopiedRequest{Store: id, Copied: copied})
		cancel()
		if err != nil && ctx.Err() == nil {
			n.Log.Write(event.LeaderAway, event.Fields{"error": err.Error(), "step": "copied"})
		}
	}
	return nil
}
