package soak_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/fakes"
)

var silentFill = flag.Duration("load", 0, "how long there is load at least before the silent loss of power")

const (
	// maxSilence is how long hosts without power are silent at most, and maxLate for how much longer those
	// whose disks are lost are.
	maxSilence = 2 * time.Second
	maxLate    = 5 * time.Second
)

// TestSilentLossOfPower guards against turns that are lost or refused, and requests without an end, when all hosts lose
// power at once after hosts were replaced, retired and lost their disks: nobody is told, connections stay open
// on the side of callers, targets and whoever is back first. Hosts whose disks are lost return later than all
// others, and one entry host never does.
func TestSilentLossOfPower(t *testing.T) {
	size, ok := deploymentSizes[*sizeName]
	if !ok {
		t.Fatalf("no size %q", *sizeName)
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runDeployment(t, size, seed, faultPlan{inject: (*deployment).changeStores, end: (*deployment).losePowerSilently, steady: true})
		})
	}
}

// changeStores replaces hosts, and retires a store, whose disk is lost after that with others'.
func (d *deployment) changeStores() {
	d.replaceHosts()
	d.retireStore()
	d.stopInTurn(shortSeries)
	time.Sleep(calmTime + 2*window + turnTimeout)
	time.Sleep(time.Until(d.started.Add(*silentFill)))
}

// silentLoss is a loss of power of all hosts that nobody is told of.
type silentLoss struct {
	wiped []*testHost // that lose their disks
	gone  *testHost   // that never returns; nil if all do
	// silence is how long hosts are silent before the others return, and late how much later those return
	// that have lost their disks.
	silence, late time.Duration
	// wholeFleet is set if the recovery time counts from the return of the last host, not of all
	// others.
	wholeFleet bool
}

// losePowerSilently lets all hosts lose power right after a turn, a change or the start of sub-agents, and returns the time
// from which the recovery time counts.
func (d *deployment) losePowerSilently() time.Time {
	f := d.fleet
	if f.rand.IntN(3) == 0 {
		kind := darkFaults[f.rand.IntN(len(darkFaults))]
		d.awaitMoment()
		return d.loseSilently(f.darkLoss(kind))
	}
	l := silentLoss{wiped: [][]*testHost{nil, f.randomDiskHosts(nil), f.oldestDiskHosts()}[f.rand.IntN(3)]}
	if f.rand.IntN(2) == 0 {
		l.gone = f.entries()[f.rand.IntN(f.size.entries)]
	}
	l.silence, l.late = time.Duration(f.rand.Int64N(int64(maxSilence))), time.Duration(f.rand.Int64N(int64(maxLate)))
	d.awaitMoment()
	return d.loseSilently(l)
}

// loseSilently lets all hosts lose power. It returns when those have been started again whose disks are not lost, with
// the time from which the recovery time counts.
func (d *deployment) loseSilently(l silentLoss) time.Time {
	f := d.fleet
	if len(l.wiped) > 0 {
		d.note("shards with stores on all hosts that lose their disks: %v", f.sharedShards(l.wiped))
	}
	d.during(&testHost{name: "group"}, "power lost silently", false, func() {
		f.silence(f.hosts)
		time.Sleep(l.silence)
		back := slices.DeleteFunc(slices.Clone(f.hosts), func(h *testHost) bool { return h == l.gone || slices.Contains(l.wiped, h) })
		f.cutPower(slices.DeleteFunc(slices.Clone(f.hosts), func(h *testHost) bool { return h == l.gone }))
		f.returnHosts(back)
	})
	d.othersBackAt = time.Now()
	if l.gone != nil {
		l.gone.gone.Store(true)
		d.note("%s does not return", l.gone.name)
		d.background.Go(func() { d.during(l.gone, "without power for good", false, func() { <-d.ended }) })
	}
	for _, h := range l.wiped {
		d.note("%s has lost its disk and is back %v later", h.name, l.late)
		f.removeData(h)
	}
	if len(l.wiped) > 0 {
		d.background.Go(func() {
			d.during(l.wiped[0], "disks lost, still without power", false, func() {
				time.Sleep(l.late)
				f.returnHosts(l.wiped)
			})
		})
	}
	if l.wholeFleet && len(l.wiped) > 0 {
		return d.othersBackAt.Add(l.late)
	}
	return d.othersBackAt
}

// silence makes hosts stop at the same moment, with their connections open.
func (f *fleet) silence(hosts []*testHost) {
	for _, h := range hosts {
		h.relay.SetMode(fakes.ModeDrop)
		h.signal(syscall.SIGSTOP)
	}
}

// returnHosts starts hosts that were silent and whose processes have ended.
func (f *fleet) returnHosts(hosts []*testHost) {
	for _, h := range hosts {
		h.relay.SetMode(fakes.ModeForward)
		f.start(h, false)
	}
}

// randomEntry returns an entry host that has not gone for good.
func (f *fleet) randomEntry(r *rand.Rand) *testHost {
	for {
		if h := f.entries()[r.IntN(f.size.entries)]; !h.gone.Load() {
			return h
		}
	}
}
