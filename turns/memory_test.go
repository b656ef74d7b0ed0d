package turns_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// TestContinuingTurnsFindMemoryAtStores guards against turns that continue others and are refused, while first turns are
// served, since large turns take the memory of a store for requests.
func TestContinuingTurnsFindMemoryAtStores(t *testing.T) {
	const held wire.Kind = "test.held"
	hold, holding := make(chan struct{}), make(chan struct{})
	s := &wire.Server{Budget: wire.NewBudget(64 << 20)}
	wire.Handle(s, held, func(context.Context, []byte) (turns.EmptyReply, error) {
		close(holding)
		<-hold
		return turns.EmptyReply{}, nil
	})
	wire.Handle(s, turns.KindClaim, func(_ context.Context, req turns.ClaimRequest) (turns.ClaimReply, error) {
		return turns.ClaimReply{Claims: []turns.Claim{req.Claim}}, nil
	})
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	peers := newPeers()
	var g errgroup.Group
	release := sync.OnceFunc(func() { close(hold) })
	defer func() {
		release()
		cancel()
		_ = g.Wait() // The goroutines always return nil.
	}()
	g.Go(func() error { return peers.Run(ctx) })
	m := &turns.Map{Members: map[turns.StoreID]turns.Member{"store": {ID: "store", Address: strings.TrimPrefix(server.URL, "http://")}}}
	for range turns.ShardCount {
		m.Shards = append(m.Shards, turns.Placement{Epoch: 1, Current: []turns.StoreID{"store"}})
	}
	w := &turns.Client{Peers: peers, Map: func() *turns.Map { return m }}
	link := peers.Link(m.Members["store"].Address)
	if !link.WaitConnected(withTimeout(t, stepTimeout)) {
		t.Fatal("not connected")
	}
	g.Go(func() error {
		_, _ = wire.Call[[]byte, turns.EmptyReply](ctx, link, held, make([]byte, 6<<20))
		return nil
	})
	<-holding
	reserve := func(program types.ProgramID, continues bool) error {
		b := turns.Budget{Account: "choir", Program: program, Attempt: "a", Limit: 100, MaxTokens: 10, Continues: continues}
		return w.ReserveWithin(withTimeout(t, stepTimeout), b, 500*time.Millisecond)
	}
	if err := reserve("first", false); !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("a first turn: %v, want it to be refused", err)
	}
	if err := reserve("continuing", true); err != nil {
		t.Errorf("a turn that continues another one: %v", err)
	}
	release()
	if err := reserve("later", false); err != nil {
		t.Errorf("a first turn once there is memory: %v", err)
	}
}
