package soak_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/host"
)

// maxUnreported is how many operations a killed process may have performed without a report
// of them, with those of a torn write; 1 was the most in 350 losses of power. More mean that
// the program does not report all.
const maxUnreported = 4

// maxHang is for how long disks hang before the power is lost: some requests are written
// meanwhile, which must not be acknowledged.
const maxHang = 300 * time.Millisecond

// powerFaults are losses of power of one host: once, soon after a start, and twice in a row.
var powerFaults = []fault{
	{"power lost", (*fleet).powerLost},
	{"power lost after a start", func(f *fleet, h *testHost, d time.Duration) {
		h.stop(syscall.SIGKILL)
		f.runBriefly([]*testHost{h})
		f.losePowerOf([]*testHost{h}, nil, d/2)
	}},
	{"power lost twice", func(f *fleet, h *testHost, d time.Duration) {
		f.cutPower([]*testHost{h})
		f.runBriefly([]*testHost{h})
		f.losePowerOf([]*testHost{h}, nil, d/2)
	}},
}

// startProcess starts the process of a host, which reports what it does with its disk.
func (f *fleet) startProcess(h *testHost, cmd *exec.Cmd) error {
	if h.role == host.NodeEntry || h.binary != "" {
		h.disk = nil
		return cmd.Start()
	}
	if h.disk == nil {
		h.disk = &crash.Follower{Dir: filepath.Join(h.dir, "data")}
	}
	h.disk.SyncTime = time.Duration(f.syncTime.Load())
	return h.disk.Start(cmd)
}

// runBriefly starts hosts that are about to lose power.
func (f *fleet) runBriefly(hosts []*testHost) {
	for _, h := range hosts {
		f.start(h, false)
	}
	time.Sleep(time.Duration(5+f.rand.IntN(396)) * time.Millisecond)
}

// cutPower kills hosts at the same time and takes from their disks what a loss of power may
// take. Half of the times, their disks hang for up to maxHang before. A host that does not
// report what it does gets an incomplete frame in its logs.
func (f *fleet) cutPower(hosts []*testHost) {
	if f.rand.IntN(2) == 0 {
		f.hangDisks(hosts, true)
		time.Sleep(time.Duration(f.rand.Int64N(int64(maxHang))))
	}
	killTogether(hosts)
	f.hangDisks(hosts, false)
	name, fate := crash.RandomLoss(f.rand)
	var g sync.WaitGroup // One after the other, they would be without power for seconds longer.
	for _, h := range hosts {
		g.Go(func() { f.takeUnsynced(h, name, fate) })
	}
	g.Wait()
}

// takeUnsynced takes from the disk of a host without power what the loss may take.
func (f *fleet) takeUnsynced(h *testHost, name string, fate func(isName bool) crash.Fate) {
	if h.disk == nil {
		f.appendTornFrame(h)
		return
	}
	l, err := h.disk.LosePower(fate)
	f.t.Logf("%s: power lost, takes %s: %.400s", h.name, name, l)
	if err != nil || l.Unreported > maxUnreported {
		f.t.Errorf("%s: the state of its disk is not known: %d operations not reported, %v", h.name, l.Unreported, err)
	}
}

// hangDisks lets the syncs of hosts hang, or continue.
func (f *fleet) hangDisks(hosts []*testHost, hang bool) {
	for _, h := range hosts {
		if h.disk == nil {
			continue
		}
		if err := h.disk.Hang(hang); err != nil {
			f.t.Error(err)
		}
	}
}

// slowDisk makes syncs of a host take some 25 times as long as the deployments' for d: they hang for most
// of the time.
func (f *fleet) slowDisk(h *testHost, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		f.hangDisks([]*testHost{h}, true)
		time.Sleep(100 * time.Millisecond)
		f.hangDisks([]*testHost{h}, false)
	}
	h.disturbedAt = time.Now()
}

// losePower is losePowerOf for all hosts.
func (f *fleet) losePower(wiped []*testHost, d time.Duration) { f.losePowerOf(f.hosts, wiped, d) }

// losePowerOf cuts the power of hosts, deletes the data directories of some of them, and
// restarts all after d. Of several hosts, the power is cut again soon after a restart at times.
func (f *fleet) losePowerOf(hosts, wiped []*testHost, d time.Duration) {
	f.cutPower(hosts)
	for _, h := range hosts {
		if slices.Contains(wiped, h) {
			f.t.Logf("%s: data directory lost", h.name)
			f.removeData(h)
		}
	}
	if len(hosts) > 1 && f.rand.IntN(3) == 0 {
		f.runBriefly(hosts)
		f.cutPower(hosts)
	}
	f.t.Logf("%d hosts: killed for %v", len(hosts), d)
	time.Sleep(d)
	for _, h := range hosts {
		f.start(h, false)
	}
}

// TestPowerLostAfterFirstPlan guards against a plan and a turn that are acknowledged and lost
// when all hosts lose power right after they were first started, as long as no sync covers
// the names of new directories. Each second seed waits for a turn.
func TestPowerLostAfterFirstPlan(t *testing.T) {
	size := deploymentSizes["small"].fleet
	size.plan = planDocument
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			c, _ := startPlanned(t, size, seed, 1, 1)
			if seed%2 == 1 {
				c.sendFirstTurn(t, seed)
			}
			c.fleet.losePower(nil, 100*time.Millisecond)
			checkConfiguration(t, c.fleet, 1)
			checkTurnsRetained(t, c)
		})
	}
}
