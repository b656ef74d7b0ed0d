package turns_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
)

// TestMemoryOfTurnsIsReleasedOnce guards against memory for callers' bodies that is given back while requests to
// late stores keep the turn, twice, or never, after which a host refuses all bodies.
func TestMemoryOfTurnsIsReleasedOnce(t *testing.T) {
	const large = 4 << 20
	for name, c := range map[string]struct {
		bytes, late int  // late stores of three
		stored      bool // by a majority
	}{
		"no late store":               {large, 0, true},
		"large beside a late store":   {large, 1, true},
		"small beside a late store":   {1000, 1, true},
		"large without a majority":    {large, 2, false},
		"small without a majority":    {1000, 2, false},
		"without a turn, late stores": {0, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 3)
			w := cluster.client()
			writeTurn(t, w, "choir", "p", "first", "")
			for i := range c.late {
				cluster.pauseDisk(i)
				defer cluster.stores[i].resumeDisk()
			}
			var released atomic.Int64
			limit := stepTimeout
			if !c.stored {
				limit = 200 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			b := turns.Budget{Account: "choir", Program: "p", Attempt: "second", Limit: 100, MaxTokens: 10}
			var turn *turns.Turn
			if c.bytes > 0 {
				turn = &turns.Turn{Account: "choir", ID: "second", Previous: "first", Shard: turns.ShardOf("choir", "p"), Input: make([]byte, c.bytes)}
			}
			_, err := w.SettleOn(ctx, b, 1, turn, func() { released.Add(1) })
			if diff := cmp.Diff(c.stored, err == nil); diff != "" {
				t.Errorf("stored (-want +got):\n%s%v", diff, err)
			}
			waitFor(t, func() bool { return released.Load() > 0 })
			time.Sleep(time.Second) // Longer than requests to late stores last.
			late := metrics.GetOrCreateGauge("banyanspur_turns_late_bytes", nil).Get()
			if diff := cmp.Diff([]float64{1, 0}, []float64{float64(released.Load()), late}); diff != "" {
				t.Errorf("releases, bytes of late requests (-want +got):\n%s", diff)
			}
		})
	}
}
