package turns_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestRequestsAreAddressedToTheirStores guards against requests of one call that share memory:
// a store that gets the request of another one refuses it, or applies it with the epoch of
// another placement. The race detector finds it with the first call.
func TestRequestsAreAddressedToTheirStores(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	refused := metrics.GetOrCreateCounter(`banyanspur_turns_request_failures_total{kind="turns.claim",code="notFound"}`)
	before := refused.Get()
	const clients, calls = 16, 200
	var g errgroup.Group
	for i := range clients {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			for j := range calls {
				b := turns.Budget{Account: "choir", Program: types.ProgramID(fmt.Sprint("p", i, "/", j)), Attempt: "a", Limit: 100, MaxTokens: 10}
				if err := w.Reserve(ctx, b); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if n := refused.Get() - before; n > 0 {
		t.Errorf("%d of %d requests had the address of another store", n, 3*clients*calls)
	}
}

// TestCallFollowsStoresToNewAddresses guards against calls that wait for a store at the address
// that it had when they began. The placement stays the same when a store has another address.
func TestCallFollowsStoresToNewAddresses(t *testing.T) {
	c := newCluster(t, 3)
	w := c.client()
	writeTurn(t, w, "choir", "p", "first", "")
	for i := range 2 {
		c.stores[i].shutDown()
	}
	waitFor(t, func() bool {
		return !c.peers.Link(c.member(0).Address).IsConnected() && !c.peers.Link(c.member(1).Address).IsConnected()
	})
	var g errgroup.Group
	g.Go(func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		return settleTurn(ctx, w, "choir", "p", "second", "first")
	})
	time.Sleep(300 * time.Millisecond)
	for i := range 2 {
		c.restartStore(i)
	}
	if err := g.Wait(); err != nil {
		t.Errorf("the stores were back at other addresses after 0.3 s, and a turn was not written in 4 s: %v", err)
	}
}

// claimReplies returns the line of the metrics that counts the replies to claims, or nothing.
func claimReplies(t *testing.T) string {
	t.Helper()
	var b bytes.Buffer
	metrics.WritePrometheus(&b, false)
	for line := range strings.Lines(b.String()) {
		if strings.HasPrefix(line, `banyanspur_turns_reply_seconds_count{kind="turns.claim"}`) {
			return line
		}
	}
	return ""
}

// TestStoresThatWereFullInTurn guards against calls that are refused since a majority of the
// stores had no capacity, though never at the same time: one of them has replied since.
func TestStoresThatWereFullInTurn(t *testing.T) {
	c, free := newClusterWithRoom(t)
	w := c.client()
	for i := range 3 {
		c.writeTurnOn(turns.Turn{ID: "first"}, "p", i)
	}
	free[0].Store(0)
	free[1].Store(0)
	c.advance(2 * time.Second)
	newer := c.changedMap(func(*turns.Placement) {})
	c.shardMap.Store(newer) // Stores without it let the requests wait.
	c.stores[0].SetMap(newer)
	var g errgroup.Group
	replies := claimReplies(t)
	g.Go(func() error { return reserve(t, w, "other", "a") })
	time.Sleep(20 * time.Millisecond)
	free[0].Store(diskRoom)
	c.elapsed.Add(int64(200 * time.Millisecond)) // The free space that is known has expired.
	waitFor(t, func() bool { return claimReplies(t) != replies })
	c.stores[1].SetMap(newer)
	time.Sleep(50 * time.Millisecond)
	c.stores[2].SetMap(newer)
	if err := g.Wait(); err != nil {
		t.Errorf("only one of three stores was full at a time: %v", err)
	}
}
