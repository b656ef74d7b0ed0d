package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// loadSpan is how long callers press, move to another zone, or lose acknowledgments.
	loadSpan = 4 * time.Second
	// A fault may follow minAfterSent to maxAfterSent after a change was sent.
	minAfterSent, maxAfterSent = 5 * time.Millisecond, 400 * time.Millisecond
)

// powerLost cuts the power of a host, which does not respond until it is back.
func (f *fleet) powerLost(h *testHost, d time.Duration) {
	h.relay.SetMode(fakes.ModeDrop)
	f.losePowerOf([]*testHost{h}, nil, d)
	h.relay.SetMode(fakes.ModeForward)
}

// separate makes all connections between two groups of hosts silent for d.
func (f *fleet) separate(a, b []*testHost, d time.Duration) {
	change := func(delta int) {
		for _, h := range a {
			for _, other := range b {
				h.relay.ChangeCut(f.address(other), delta)
				other.relay.ChangeCut(f.address(h), delta)
			}
		}
	}
	change(1)
	time.Sleep(d)
	change(-1)
}

// separateHost separates a host with a disk from the others, and at times also from all hosts of
// other zones.
func (f *fleet) separateHost(h *testHost, d time.Duration) {
	near := f.rand.IntN(2) == 0
	others := slices.DeleteFunc(slices.Clone(f.hosts), func(other *testHost) bool {
		return other == h || !slices.Contains(f.diskHosts(), other) && (!near || other.zone == h.zone)
	})
	f.separate([]*testHost{h}, others, d)
}

// splitDiskHosts separates half of the hosts with a disk from the other half.
func (f *fleet) splitDiskHosts(d time.Duration) {
	hosts := slices.Clone(f.diskHosts())
	f.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	f.separate(hosts[:len(hosts)/2], hosts[len(hosts)/2:], d)
}

// loseDisks ends hosts at the same time and starts them with empty disks after d.
func (f *fleet) loseDisks(hosts []*testHost, d time.Duration) {
	killTogether(hosts)
	for _, h := range hosts {
		f.removeData(h)
	}
	time.Sleep(d)
	for _, h := range hosts {
		f.start(h, false)
	}
}

// removeData empties the disk of a host whose process has ended.
func (f *fleet) removeData(h *testHost) {
	if err := os.RemoveAll(filepath.Join(h.dir, "data")); err != nil {
		f.t.Error(err)
	}
	h.emptiedAt = time.Now()
}

// oldestDiskHosts returns as many stores as may be lost at once, those whose disks have lasted
// longest: they have most of the turns.
func (f *fleet) oldestDiskHosts() []*testHost {
	stores := slices.Clone(f.diskHosts()[f.size.controls:])
	slices.SortStableFunc(stores, func(a, b *testHost) int { return a.emptiedAt.Compare(b.emptiedAt) })
	return stores[:f.size.losses]
}

// randomDiskHosts returns as many hosts with a disk as may be lost at once, without one of them,
// mostly stores.
func (f *fleet) randomDiskHosts(without *testHost) []*testHost {
	hosts := f.diskHosts()
	if f.rand.IntN(3) > 0 {
		hosts = hosts[f.size.controls:]
	}
	hosts = slices.DeleteFunc(slices.Clone(hosts), func(h *testHost) bool { return h == without })
	f.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:f.size.losses]
}

// awaitChange returns right after a change was acknowledged, or up to maxAfterSent after one was
// sent, with the control host that acknowledged or got it.
func (d *deployment) awaitChange() *testHost {
	c, delay := d.ack, time.Duration(0)
	if d.fleet.rand.IntN(3) == 0 {
		c, delay = d.sent, minAfterSent+time.Duration(d.fleet.rand.Int64N(int64(maxAfterSent-minAfterSent)))
	}
	select {
	case h := <-c:
		time.Sleep(delay)
		return h
	case <-time.After(waitTimeout):
		d.t.Errorf("no change was sent and acknowledged in %v", waitTimeout)
		return d.fleet.hosts[0]
	}
}

// chooseHost returns a random host of a list, or one that depends on a change of the plan.
func (d *deployment) chooseHost(list []*testHost) *testHost {
	random := list[d.fleet.rand.IntN(len(list))]
	if list[0] != d.fleet.hosts[0] || d.fleet.rand.IntN(2) == 0 {
		return random
	}
	if h := d.awaitChange(); random.role == list[0].role {
		return h
	}
	return random
}

// retireStore adds a store and takes away the disks of others right after a change. Then it
// retires a store, and once this one is emptied takes its disk, and those of others right after.
func (d *deployment) retireStore() {
	f := d.fleet
	i := f.size.controls + f.rand.IntN(f.size.stores)
	old, added := f.hosts[i], f.newHost(i)
	d.during(added, "added, to replace "+old.name, false, func() { f.start(added, false) })
	// A new host counts as lost until it has caught up.
	time.Sleep(f.catchUpTime())
	if f.rand.IntN(2) == 0 {
		d.loseAfter("disks lost after a change", old, func() { d.awaitChange() })
		time.Sleep(f.catchUpTime())
	}
	begin := time.Now()
	waitFor(f.t, old.name+" to be emptied", func() bool {
		return f.requestRetirement("POST", old) && f.requestRetirement("GET", old)
	})
	took := time.Since(begin)
	d.note("%s is emptied %v after the order", old.name, took.Round(time.Millisecond))
	if took.Seconds() > f.size.retire {
		d.t.Errorf("%s is emptied %v after the order to retire it, want at most %.1f s", old.name, took, f.size.retire)
	}
	f.hosts[i] = added
	d.loseAfter("disks lost after "+old.name+" was retired", added, func() {
		old.stop(syscall.SIGKILL)
		old.relay.Close()
	})
	f.waitRecovered()
}

// loseAfter takes away as many disks as the fleet tolerates right after an event, without that of
// one host.
func (d *deployment) loseAfter(what string, without *testHost, event func()) {
	hosts := d.fleet.randomDiskHosts(without)
	event()
	d.during(hosts[0], what, false, func() { d.fleet.loseDisks(hosts, time.Second) })
}

// disruptLoad lets callers start more programs of one kind, or move to another zone, and the
// operators lose acknowledgments, each for loadSpan, until ctx ends.
func (d *deployment) disruptLoad(ctx context.Context, seed uint64, programs float64) {
	r := rand.New(rand.NewPCG(seed, 15))
	for n := uint64(1); types.Sleep(ctx, time.Duration(3+r.IntN(8))*time.Second); n++ {
		span, cancel := context.WithTimeout(ctx, loadSpan)
		switch r.IntN(4) {
		case 0:
			kind := d.load.size.kinds[r.IntN(len(d.load.size.kinds))]
			more := (1.1 + 0.2*r.Float64()) * kind.share * programs
			d.pressed(fmt.Sprintf("%.1f more programs a second of about %d turns", more, kind.turns), func() {
				d.load.run(span, seed+1_000_000*n, more, []programKind{kind})
			})
		case 1:
			b, zone := d.load.balancer, fmt.Sprint("zone-", r.IntN(d.fleet.size.zones))
			d.pressed("callers move to "+zone, func() {
				b.shift.Store(&shift{share: 0.5 + 0.2*r.Float64(), zone: zone})
				for _, c := range d.load.pool {
					c.kept.CloseIdleConnections()
				}
				<-span.Done()
				b.shift.Store(nil)
			})
		default:
			d.note("acknowledgments of changes are lost for %v", loadSpan)
			d.losesAcks.Store(true)
			<-span.Done()
			d.losesAcks.Store(false)
		}
		cancel()
	}
}

// pressed records a time with other load. It is not calm, but no fault of any host either.
func (d *deployment) pressed(what string, do func()) {
	d.during(&testHost{name: "callers"}, what, true, do)
}
