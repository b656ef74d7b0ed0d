package fleet_test

import (
	"context"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/quorum"
	"github.com/banyanspur/banyanspur/types"
	"github.com/banyanspur/banyanspur/wire"
)

// changeBound is the time within which a change is acknowledged while no more hosts than
// tolerated are lost, by the largest deployment (ack_ms).
const changeBound = 5 * time.Second

// unresponsiveTime is how long the hosts of these tests are away. It is longer than
// unresponsive voters are kept beside a replacement.
const unresponsiveTime = 2500 * time.Millisecond

// wipe stops a control host and deletes its data directory.
func wipe(t *testing.T, p *process) {
	t.Helper()
	p.stop()
	if err := os.RemoveAll(p.dir); err != nil {
		t.Fatal(err)
	}
}

// TestVotersReturnBesideReplacement guards against voters that never become voters again, so
// that the group has no spare left although all hosts run: one host after the other is away
// while another one, which lost its directory, returns.
func TestVotersReturnBesideReplacement(t *testing.T) {
	f, c, peers := newBootstrappedFleet(t)
	version := types.Version(1)
	for i := range 2 {
		wiped, away := f.controls[2*i], f.controls[2*i+1]
		wipe(t, wiped)
		away.stop()
		time.Sleep(unresponsiveTime)
		wiped.run()
		version++
		putPlan(t, c, version, "choir")
		waitFor(t, "the membership with the new replica", func() bool {
			own, err := hello(peers, wiped.address)
			r, otherErr := hello(peers, f.controls[4].address)
			return err == nil && otherErr == nil && r.Members.IsVoter(own.ID) && len(r.Members.Learners) == 0
		})
		away.run()
		f.waitForVoters(peers, 5, f.controls...)
	}
	f.controls[0].stop()
	f.controls[4].stop()
	ctx, cancel := context.WithTimeout(context.Background(), changeBound)
	defer cancel()
	if _, err := c.Put(ctx, planRequest(version+1, "band")); err != nil {
		t.Errorf("a change with two of five hosts lost: %v", err)
	}
}

// TestRemovedVoterRejoinsEvenGroup guards against a voter that is removed from an even group
// without a replacement, returns with its directory, and is never a voter again.
func TestRemovedVoterRejoinsEvenGroup(t *testing.T) {
	f := newFleet(t, 4)
	f.runAll()
	c, peers := f.client("entry-1")
	putPlan(t, c, 1, "choir")
	f.allowBootstrap.Store(false)
	f.waitForVoters(peers, 4, f.controls...)
	for _, p := range f.controls[:2] {
		p.stop()
		waitFor(t, "the removal of the host that is away", func() bool {
			for _, o := range f.controls {
				if r, err := hello(peers, o.address); o != p && (err != nil || slices.ContainsFunc(r.Members.Voters, func(m quorum.Member) bool { return string(m.Host) == p.address })) {
					return false
				}
			}
			return true
		})
		p.run()
		f.waitForVoters(peers, 4, f.controls...)
	}
}

// TestJoinIsRefusedWithoutReplica guards against requests to join that stay unanswered at a
// host whose replica does not run yet, as while it waits for the seeds: they would take up
// the connection, and hold up the requests of those that wait for this host.
func TestJoinIsRefusedWithoutReplica(t *testing.T) {
	f := newFleet(t, 3)
	f.controls[0].run()
	_, peers := f.client("entry-1")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link := peers.Link(f.controls[0].address)
	if !link.WaitConnected(ctx) {
		t.Fatal("no connection")
	}
	req := fleet.JoinRequest{Member: quorum.Member{ID: "h9/x", Host: "h9"}}
	if _, err := wire.Call[fleet.JoinRequest, fleet.Ack](ctx, link, fleet.KindJoin, req); !types.IsCode(err, types.CodeNotLeader) {
		t.Errorf("request to join: %v, want notLeader", err)
	}
}
