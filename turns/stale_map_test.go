package turns_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/turns"
	"github.com/banyanspur/banyanspur/types"
)

// TestOutdatedMapProvesNoTurnMissing guards against a turn that is answered notFound by a host
// whose shard map is outdated, as after a freeze: of the stores of that map, one is down, and
// the others lack the turn since the shard has moved to a store that the map does not list.
func TestOutdatedMapProvesNoTurnMissing(t *testing.T) {
	c := newCluster(t, 3)
	outdated := c.shardMap.Load()
	c.addStore()
	c.moveAll(0, 2, 3)
	c.writeTurnTo("one", 0, 3)
	c.stores[0].shutDown()

	stale := &turns.Client{Peers: c.peers, Map: func() *turns.Map { return outdated }}
	_, err := stale.Chain(withTimeout(t, 900*time.Millisecond), "choir", "one")
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("turn that only stores of a newer map have: %v, want code unavailable", err)
	}
}

// TestNewerMapIsUsedBySearchInProgress guards against a search for a turn that keeps to the
// shard map with which it began: a host that wakes from a freeze gets the newer one a moment
// later, and the store that has the turn is listed there only.
func TestNewerMapIsUsedBySearchInProgress(t *testing.T) {
	c := newCluster(t, 3)
	var current atomic.Pointer[turns.Map]
	current.Store(c.shardMap.Load())
	c.addStore()
	c.moveAll(0, 2, 3)
	c.writeTurnTo("one", 0, 3)
	c.stores[0].shutDown()

	waking := &turns.Client{Peers: c.peers, Map: current.Load}
	timer := time.AfterFunc(100*time.Millisecond, func() { current.Store(c.shardMap.Load()) })
	defer timer.Stop()
	chain, err := waking.Chain(withTimeout(t, stepTimeout), "choir", "one")
	if err != nil {
		t.Fatalf("turn that a store of the newer map has: %v", err)
	}
	if diff := cmp.Diff([]turns.TurnID{"one"}, turnIDs(chain)); diff != "" {
		t.Errorf("chain (-want +got):\n%s", diff)
	}
}

// TestMoveInProgressProvesNoTurnMissing guards against a turn that is answered notFound by a
// host whose map shows a move that has ended: a majority of the stores that the shard has left
// lacks the turn, and those that have it are down.
func TestMoveInProgressProvesNoTurnMissing(t *testing.T) {
	c := newCluster(t, 3)
	c.addStore()
	moving := c.movingMap(0, 2, 3)
	c.setMap(moving)
	c.endMove(3)
	for _, i := range []int{1, 2} { // Their newer map is delayed.
		c.stores[i].SetMap(moving)
	}
	c.writeTurnTo("one", 0, 3)
	c.stores[0].shutDown()
	c.stores[3].shutDown()

	stale := &turns.Client{Peers: c.peers, Map: func() *turns.Map { return moving }}
	_, err := stale.Chain(withTimeout(t, 900*time.Millisecond), "choir", "one")
	if !types.IsCode(err, types.CodeUnavailable) {
		t.Errorf("turn written after the end of a move: %v, want code unavailable", err)
	}
}

// TestUnknownTurnIsNotFoundAfterMove guards against searches that no longer prove anything:
// as soon as client and stores have the same map again, an unknown turn is not found.
func TestUnknownTurnIsNotFoundAfterMove(t *testing.T) {
	c := newCluster(t, 3)
	outdated := c.shardMap.Load()
	c.addStore()
	c.moveAll(0, 2, 3)
	var current atomic.Pointer[turns.Map]
	current.Store(outdated)
	waking := &turns.Client{Peers: c.peers, Map: current.Load}
	timer := time.AfterFunc(100*time.Millisecond, func() { current.Store(c.shardMap.Load()) })
	defer timer.Stop()
	_, err := waking.Chain(withTimeout(t, stepTimeout), "choir", "none")
	if !types.IsCode(err, types.CodeNotFound) {
		t.Errorf("unknown turn: %v, want code notFound", err)
	}
}
