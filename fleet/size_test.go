package fleet_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/types"
)

// manyHosts exchanges loads on behalf of many hosts, one after the other.
type manyHosts struct {
	ctx     context.Context
	t       *testing.T
	client  *fleet.Client
	targets int
	next    []fleet.LoadsRequest // by host
}

// newManyHosts starts a leader and returns hosts that have exchanged loads with it twice,
// so that each knows those of all.
func newManyHosts(t *testing.T, hosts, targets int) *manyHosts {
	t.Helper()
	f := newFleet(t, 1)
	f.runAll()
	c, _ := f.client("entry-0")
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	t.Cleanup(cancel)
	m := &manyHosts{ctx: ctx, t: t, client: c, targets: targets}
	for i := range hosts {
		m.next = append(m.next, exchangeRequest(i, targets))
	}
	m.exchangeAll()
	m.exchangeAll()
	return m
}

// exchange lets one host exchange loads and returns what it has sent and received.
func (m *manyHosts) exchange(i int) (fleet.LoadsRequest, fleet.LoadsReply) {
	m.t.Helper()
	req := m.next[i]
	reply := exchangeLoads(m.ctx, m.t, m.client, req)
	next := exchangeRequest(i, m.targets)
	next.Since, next.NoticesSince, next.RelaysChecksum, next.SuspectsChecksum = reply.Cursor, reply.NoticesCursor, req.RelaysChecksum, req.SuspectsChecksum
	if reply.Relays != nil {
		next.RelaysChecksum = reply.Relays.Checksum
	}
	if reply.Suspects != nil {
		next.SuspectsChecksum = reply.Suspects.Checksum
	}
	m.next[i] = next
	return req, reply
}

// exchangeAll lets each host exchange loads once and returns the replies.
func (m *manyHosts) exchangeAll() []fleet.LoadsReply {
	m.t.Helper()
	var replies []fleet.LoadsReply
	for i := range m.next {
		_, reply := m.exchange(i)
		replies = append(replies, reply)
	}
	return replies
}

// TestReportsReachLargeFleetInOneExchange checks that each of 200 hosts learns with its
// next exchange what single ones have seen: a target's limit, and a shared part of a
// prompt in a cache.
func TestReportsReachLargeFleetInOneExchange(t *testing.T) {
	m := newManyHosts(t, 200, 71)
	m.next[17].Notices = fleet.TargetNotices{"i-00000003": {Rate: 4}}
	m.next[42].CachedParts = fleet.CachedParts{"i-00000005": {1}}
	first := m.exchangeAll() // Hosts after those that report may learn it here.
	type learned struct {
		Notices fleet.TargetNotices
		Parts   fleet.CachedParts
	}
	for i, reply := range m.exchangeAll() {
		if reply.Notices == nil {
			reply.Notices = first[i].Notices
		}
		if reply.CachedParts == nil {
			reply.CachedParts = first[i].CachedParts
		}
		for id, n := range reply.Notices {
			reply.Notices[id] = fleet.TargetNotice{Rate: n.Rate} // Without its age.
		}
		got := learned{reply.Notices, reply.CachedParts}
		want := learned{fleet.TargetNotices{"i-00000003": {Rate: 4}}, fleet.CachedParts{"i-00000005": {1}}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("learned by host %d (-want +got):\n%s", i, diff)
		}
	}
}

// TestExchangeDoesNotGrowWithHosts checks that what a host sends and receives in one
// exchange follows the number of targets, not of the other hosts.
func TestExchangeDoesNotGrowWithHosts(t *testing.T) {
	bytes := func(hosts int) (sent, received int) {
		m := newManyHosts(t, hosts, 71)
		for {
			req, reply := m.exchange(hosts / 2)
			if reply.Relays == nil { // Relaying hosts are sent only when they change.
				return len(types.Encode(req)), len(types.Encode(reply))
			}
		}
	}
	fewSent, fewReceived := bytes(25)
	manySent, manyReceived := bytes(200)
	t.Logf("25 hosts: %d bytes sent, %d received; 200 hosts: %d and %d", fewSent, fewReceived, manySent, manyReceived)
	// Counts and cursors of larger fleets have more digits.
	if manySent > fewSent+50 || manyReceived > fewReceived*11/10+50 {
		t.Errorf("with 200 hosts, %d bytes are sent and %d received in an exchange; with 25 hosts %d and %d", manySent, manyReceived, fewSent, fewReceived)
	}
}
