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

// copiedReportInterval is how often a store reports the shards that it has
// copied, as long as there are any.
const copiedReportInterval = 100 * time.Millisecond

// indexShare is the part of a store's memory, as a divisor, that the index of its
// turns may take. The heap grows to twice of what is live, and messages in
// flight take 40 MB at the loads of CAPACITY.md.
const indexShare = 4

// startStore runs a store of turns in g until ctx or serveCtx ends, and then
// calls stop.
func (n *Node) startStore(ctx, serveCtx context.Context, g *errgroup.Group, stop func()) error {
	store := &turns.Store{
		Dir: filepath.Join(n.Settings.DataDir, "turns"), Disk: n.Disk, Clock: types.NewClock(), Log: n.Log,
		Capacity: turns.Capacity{MemoryBytes: n.Settings.MemoryMB << 20 / indexShare},
		CatchUp:  n.Settings.CatchUp(), LinkBytesPerSecond: n.Settings.LinkBytesPerSecond(),
	}
	id, err := store.Open()
	if err != nil {
		return err
	}
	store.Register(n.peerServer)
	if err := n.startPeerServer(serveCtx, g, nil); err != nil {
		return err
	}
	n.client.Store = &turns.Member{ID: id, Host: n.Settings.Host, Zone: n.Settings.Zone, Address: n.Settings.PeerAddress()}
	n.client.OnChange = func(v fleet.View) {
		if v.Map != nil {
			store.SetMap(v.Map)
		}
		if v.Plan != nil {
			store.SetRetention(v.Plan.Plan.TurnRetention())
		}
	}
	g.Go(func() error { return n.client.Run(serveCtx) })
	g.Go(func() error { return store.Run(serveCtx) })
	g.Go(func() error { return store.CopyShards(serveCtx, n.peers) })
	g.Go(func() error { return store.ExpireTurns(serveCtx, n.peers) })
	g.Go(func() error { return n.reportCopied(serveCtx, store, id) })
	g.Go(func() error {
		defer stop()
		waitEither(ctx, serveCtx)
		return nil
	})
	return nil
}

// reportCopied periodically reports to the leader, until ctx ends, for which
// moves of shards this store has copied all data.
func (n *Node) reportCopied(ctx context.Context, store *turns.Store, id turns.StoreID) error {
	for types.Sleep(ctx, copiedReportInterval) {
		copied := store.CopiedShards()
		if len(copied) == 0 {
			continue
		}
		reqCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := n.client.ReportCopied(reqCtx, fleet.CopiedRequest{Store: id, Copied: copied})
		cancel()
		if err != nil && ctx.Err() == nil {
			n.Log.Write(event.LeaderUnreachable, event.Fields{"error": err.Error(), "step": "copied"})
		}
	}
	return nil
}
