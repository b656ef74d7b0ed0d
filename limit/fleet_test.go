package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/limit"
	"github.com/banyanspur/banyanspur/types"
)

// fleetAccount is an account whose callers use some of 200 hosts in five zones, each of
// which spends all that it can get.
type fleetAccount struct {
	*limitedAccount
	ids      []limit.Holder // of the hosts
	nextAt   []types.Mono   // when each host renews next
	reported map[int]bool   // hosts that have reported to the present issuer
	zoneCut  func(int) bool // whether a zone has lost contact to the issuer
}

const (
	fleetHosts = 200
	fleetZones = 5
	// renewal is the time between two renewals of a host whose requests wait.
	renewal = 120 * time.Millisecond
)

func newFleetAccount(l limit.Limit, seed uint64) *fleetAccount {
	f := &fleetAccount{limitedAccount: newLimitedAccount(l), reported: map[int]bool{}, zoneCut: func(int) bool { return false }}
	f.hosts = fleetHosts
	f.replaceIssuer()
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range fleetHosts {
		f.ids = append(f.ids, limit.Holder(fmt.Sprintf("host-%d/0", i)))
		f.nextAt = append(f.nextAt, types.Mono(random.Int64N(int64(renewal))))
	}
	return f
}

// uses reports whether the account uses a host: every tenth, in all zones.
func (f *fleetAccount) uses(host int) bool { return host/fleetZones%10 == 0 }

// changeLeader replaces the issuer.
func (f *fleetAccount) changeLeader() {
	f.replaceIssuer()
	clear(f.reported)
}

// run lets all hosts spend for a time and returns how many requests were admitted.
func (f *fleetAccount) run(d time.Duration) (admitted int) {
	before := len(f.admittedAt)
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(20 * time.Millisecond) {
		for i, h := range f.ids {
			if f.now >= f.nextAt[i] && !f.zoneCut(i%fleetZones) {
				f.nextAt[i] = f.now.Add(renewal)
				if f.uses(i) {
					f.renew(h, 1, false)
				}
				f.reported[i] = true
				if len(f.reported) == fleetHosts {
					f.issuer.MarkAllReported(f.now)
				}
			}
			for f.uses(i) && f.take(h) {
			}
		}
	}
	return len(f.admittedAt) - before
}

// TestLimitHoldsOverFleet checks that no time window exceeds the limit of an account in a
// fleet of 200 hosts, while one zone after the other, or all others, lose contact to the
// leader, leaders change within that, and once all hosts are without a leader. While a
// leader is in contact with four of five zones, half of the limit must be used at least.
func TestLimitHoldsOverFleet(t *testing.T) {
	const rate = 60
	f := newFleetAccount(limit.Limit{Rate: rate, Burst: rate}, 1)
	f.run(4 * time.Second)
	for zone := range fleetZones {
		f.zoneCut = func(z int) bool { return z == zone }
		f.run(600 * time.Millisecond)
		f.changeLeader()
		f.run(700 * time.Millisecond)
		f.changeLeader()
		const settled = 4 * time.Second // Allotments of earlier issuers have expired.
		f.run(settled)
		if n, want := f.run(2*time.Second), rate; n < want {
			t.Errorf("with zone %d cut off, %d requests were admitted in 2 s, want at least %d", zone, n, want)
		}
		f.zoneCut = func(int) bool { return false }
		f.run(time.Second)
		f.zoneCut = func(z int) bool { return z != zone }
		f.changeLeader()
		f.run(settled)
		f.zoneCut = func(int) bool { return false }
		f.run(time.Second)
	}
	f.zoneCut = func(int) bool { return true }
	f.run(2 * limit.AllotmentTime)
	f.zoneCut = func(int) bool { return false }
	f.changeLeader()
	f.run(2 * time.Second)
	if excess := f.maxExcess(); excess > 1+1e-6 {
		t.Errorf("a time window has %.2f requests above the limit", excess)
	}
}
