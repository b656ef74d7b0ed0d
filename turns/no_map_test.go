package turns_test

import (
	"context"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestSettleWithoutShardMap settles a claim before the client has a shard map, as
// an entry host does whose leader is replaced between the first plan and the
// first map. Settle must return an unavailable fault once its context ends.
func TestSettleWithoutShardMap(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c := &turns.Client{Peers: &wire.Pool{}, Map: func() *turns.Map { return nil }}
	b := turns.Budget{Account: "account", Program: "program", Attempt: "attempt", Limit: 10, MaxTokens: 10}
	if err := c.Settle(ctx, b, 0, nil); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("settle without a shard map: %v, want an unavailable fault", err)
	}
}
