package soak_test

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// storedReaders is how many chains are read at the same time. More would take the processor time
	// that the stores have.
	storedReaders = 16
	// storedTimeout is how long the stores have for one chain.
	storedTimeout = 10 * time.Second
)

// checkStored reads the chain of each program with a turn that was answered whole in the last
// sampleTime from the stores, and checks that none is missing or lost. It finds turns that were lost
// one in ten thousand, at a fraction of the load that continuing them is.
func (d *deployment) checkStored() {
	begin := time.Now()
	client := &turns.Client{Peers: d.fleet.peers, Map: func() *turns.Map { return d.fleet.client.View().Map }}
	list := d.completedTurns(math.MaxInt)
	// Turns of a shard that are checked together would all be read from the same stores.
	d.fleet.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var chains, stored, lost, unread atomic.Int64
	var g errgroup.Group
	g.SetLimit(storedReaders)
	for _, a := range list {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), storedTimeout)
			defer cancel()
			chain, err := client.ChainOf(ctx, types.AccountID(a.account), types.ProgramID(a.program), turns.TurnID(a.id))
			for err != nil && !turns.MayBeLost(err) && !types.IsCode(err, types.CodeNotFound) && types.Sleep(ctx, time.Second) {
				chain, err = client.ChainOf(ctx, types.AccountID(a.account), types.ProgramID(a.program), turns.TurnID(a.id))
			}
			switch {
			case err == nil:
				chains.Add(1)
				stored.Add(int64(len(chain)))
			case turns.MayBeLost(err) || types.IsCode(err, types.CodeNotFound):
				lost.Add(1)
				d.t.Errorf("turn %s, complete %v before the end, or one that it continues, is lost: %v", a.id, begin.Sub(a.endedAt).Round(time.Millisecond), err)
			default:
				unread.Add(1)
				d.t.Errorf("turn %s, complete %v before the end, is not read in %v: %v", a.id, begin.Sub(a.endedAt).Round(time.Millisecond), storedTimeout, err)
			}
			return nil
		})
	}
	_ = g.Wait() // The goroutines always return nil.
	d.t.Logf("%d turns of %d programs are stored, those of %d programs lost, of %d not read; took %v, load average %s",
		stored.Load(), chains.Load(), lost.Load(), unread.Load(), time.Since(begin).Round(time.Millisecond), loadAverage())
	if !slices.ContainsFunc(list, func(a attempt) bool { return a.previous != "" }) {
		d.t.Error("no turn that continues another one was read from the stores")
	}
}
