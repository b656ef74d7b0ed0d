package soak_test

import (
	"flag"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/turns"
)

var (
	finalFault = flag.String("final", "", "final fault of TestDeploymentUnderFaults: one of darkFaults; empty for one that depends on the seed")
	darkTime   = flag.Duration("dark", 7*time.Second, "how much later than all others the hosts return that lose their disks in a dark final fault")
	early      = flag.Bool("early", false, "count the recovery time of a dark final fault from the return of all hosts but those that lost their disks")
)

// darkFaults are losses of power of all hosts in which some disks are lost: random ones, the oldest ones, or those of
// stores of one shard. The hosts that lose them stay without power while all others are back and serve, so that
// the copies begin late: a shard that has lost as many stores as it may is written by all that are left.
var darkFaults = []string{"dark", "dark-oldest", "dark-shard"}

// darkSilence is how long all hosts are without power in a dark final fault.
const darkSilence = 300 * time.Millisecond

// darkLoss returns a loss of power of one of darkFaults. The recovery time is promised from the return of all
// hosts on ("all are back"), so it counts from that of the last one. The hosts that are still without power are no
// more than may be lost, so that callers see an outage from the return of the others on: with the flag early the
// time counts from then, and checkContinued reports how many turns are late by either.
func (f *fleet) darkLoss(kind string) silentLoss {
	l := silentLoss{silence: darkSilence, late: *darkTime, wholeFleet: !*early}
	switch kind {
	case "dark":
		l.wiped = f.randomDiskHosts(nil)
	case "dark-oldest":
		l.wiped = f.oldestDiskHosts()
	case "dark-shard":
		l.wiped = f.shardDiskHosts()
	default:
		f.t.Fatalf("no final fault %q, want one of %q", kind, darkFaults)
	}
	return l
}

// shardDiskHosts returns as many stores of one random shard as may be lost at once.
func (f *fleet) shardDiskHosts() []*testHost {
	stores := f.storesByID()
	shards := f.client.View().Map.Shards
	n := f.rand.IntN(len(shards))
	var hosts []*testHost
	for _, id := range shards[n].Current {
		if h := stores[id]; h != nil {
			hosts = append(hosts, h)
		}
	}
	f.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if len(hosts) < f.size.losses {
		f.t.Fatalf("shard %d has %d stores that are known", n, len(hosts))
	}
	f.t.Logf("disks of shard %d are lost", n)
	return hosts[:f.size.losses]
}

// storesByID returns the stores by their current identities.
func (f *fleet) storesByID() map[turns.StoreID]*testHost {
	stores := map[turns.StoreID]*testHost{}
	for _, h := range f.diskHosts()[f.size.controls:] {
		if id, ok := h.storeID(); ok {
			stores[id] = h
		}
	}
	return stores
}

// sharedShards returns the shards of which a current store is on each of some hosts.
func (f *fleet) sharedShards(hosts []*testHost) (shards []int) {
	stores := f.storesByID()
	for n, p := range f.client.View().Map.Shards {
		has := func(h *testHost) bool {
			return slices.ContainsFunc(p.Current, func(id turns.StoreID) bool { return stores[id] == h })
		}
		if !slices.ContainsFunc(hosts, func(h *testHost) bool { return !has(h) }) {
			shards = append(shards, n)
		}
	}
	return shards
}
