package soak_test

import (
	"cmp"
	"context"
	"flag"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// burstTime is how long faults overlap before the hosts are left alone for calmSpan.
	burstTime = 8 * time.Second
	// calmSpan leaves room for planned stops between faults.
	calmSpan = 10 * time.Second
	// maxEntriesDown is the share of the entry hosts that faults may hit at the same time.
	maxEntriesDown = 0.16
	// emptyTime is longer than a host that has lost its disk is down.
	emptyTime = 5 * time.Second
	// restartDelay is how often processes that have exited by themselves are started again.
	restartDelay = 500 * time.Millisecond
)

// diskFull refuses all writes of a host to its files for d, as a full disk does, also if its
// process is started again.
func (f *fleet) diskFull(h *testHost, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		h.limitFiles(0)
	}
	h.limitFiles(math.MaxUint64)
}

// limitFiles sets the size beyond which a host's process cannot write to files.
func (h *testHost) limitFiles(size uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	// The process may have exited.
	_ = unix.Prlimit(h.process.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: math.MaxUint64}, nil)
}

// restartExited starts processes again that have exited by themselves, after restartDelay,
// until ctx ends.
func (d *deployment) restartExited(ctx context.Context) {
	for types.Sleep(ctx, restartDelay) {
		for _, h := range d.fleet.hosts {
			if h.hasExited() {
				d.note("%s exited by itself", h.name)
				d.fleet.start(h, false)
			}
		}
	}
}

// seriesFaults are the faults of a series. Those of disks hit control hosts and stores only.
var (
	seriesFaults     = append(faultsNamed("killed", "frozen", "network fault"), silenced, fault{"power lost", (*fleet).powerLost})
	seriesDiskFaults = append(faultsNamed("killed", "frozen", "network fault", "data directory lost", "data directory lost", "torn write"),
		append(powerFaults, silenced, fault{"disk full", (*fleet).diskFull}, fault{"separated", (*fleet).separateHost},
			fault{"slowed", (*fleet).slowDown}, fault{"disk slow", (*fleet).slowDisk})...)
	silenced = fault{"open connections silent", func(_ *fleet, h *testHost, d time.Duration) {
		h.relay.Silence()
		time.Sleep(d)
	}}
)

func faultsNamed(names ...string) (list []fault) {
	for _, name := range names {
		list = append(list, faults[slices.IndexFunc(faults, func(f fault) bool { return f.name == name })])
	}
	return list
}

// injectSeries injects bursts of faults that overlap, each followed by a calm time with
// planned work, for about duration.
func (d *deployment) injectSeries(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		d.injectBurst(min(burstTime, duration/2))
		d.fleet.waitRecovered()
		d.note("all hosts with a disk have recovered; load average %s", loadAverage())
		time.Sleep(calmTime)
		d.doPlannedWork(min(calmSpan, duration/2))
		if time.Now().Before(end) {
			d.injectGroupFault()
		}
	}
}

// injectGroupFault kills all hosts of some roles, or cuts the power of all hosts, and waits
// until service must have returned.
func (d *deployment) injectGroupFault() {
	f := d.fleet
	all := &testHost{name: "group"}
	down := time.Duration(200+f.rand.IntN(1500)) * time.Millisecond
	switch f.rand.IntN(9) {
	case 0:
		d.during(all, "control hosts killed", false, func() { f.killControlHosts(f.controls(), down) })
	case 1:
		d.during(all, "stores killed", false, func() { f.killControlHosts(f.diskHosts()[f.size.controls:], down) })
	case 2:
		d.during(all, "hosts with a disk killed", false, func() { f.killControlHosts(f.diskHosts(), down) })
	case 3:
		d.during(all, "power lost", false, func() { f.losePower(nil, down) })
	case 4:
		d.during(all, "disks lost in turn", false, d.loseDisksInTurn)
	case 5:
		d.during(all, "all hosts frozen", false, func() { f.freezeAll(down + time.Second) })
	case 6:
		d.during(all, "power lost by hosts with a disk", false, func() { f.losePowerOf(f.diskHosts(), nil, down) })
	case 7:
		d.during(all, "power lost by a control host and a store", false, func() {
			f.losePowerOf([]*testHost{f.hosts[f.rand.IntN(f.size.controls)], f.hosts[f.size.controls+f.rand.IntN(f.size.stores)]}, nil, down)
		})
	case 8:
		d.during(all, "hosts with a disk split", false, func() { f.splitDiskHosts(4*time.Second + down) })
	}
	time.Sleep(d.recoveryTime() + calmTime)
	f.waitRecovered()
}

// freezeAll freezes all hosts at the same time, as a pause of the machine that they run on
// does: all connections among them are given up.
func (f *fleet) freezeAll(d time.Duration) {
	for _, h := range f.hosts {
		h.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
	}
}

// loseDisksInTurn takes the disks of as many stores at a time as the fleet tolerates, until
// all stores have lost theirs. It waits for the copies of one group before it takes the next.
func (d *deployment) loseDisksInTurn() {
	f := d.fleet
	stores := f.diskHosts()[f.size.controls:]
	for group := range slices.Chunk(stores, f.size.losses) {
		f.loseDisks(group, 500*time.Millisecond)
		d.waitHost(group[0], "disk lost")
	}
}

// loadAverage returns the load averages of the machine.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return err.Error()
	}
	return strings.Join(strings.Fields(string(b))[:3], " ")
}

// injectBurst injects faults that overlap and waits until they have ended. At most as many
// hosts with a disk as the fleet tolerates are hit before they have recovered.
func (d *deployment) injectBurst(length time.Duration) {
	f := d.fleet
	var mu sync.Mutex
	var g sync.WaitGroup
	busy := map[*testHost]bool{}
	count := func(role host.NodeRole) (n int) {
		for h := range busy {
			if (h.role == host.NodeEntry) == (role == host.NodeEntry) {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(200+f.rand.IntN(800)) * time.Millisecond) {
		list, choices, most := f.entries(), seriesFaults, max(1, int(maxEntriesDown*float64(f.size.entries)))
		if f.rand.IntN(2) == 0 {
			list, choices, most = f.diskHosts(), seriesDiskFaults, f.size.losses
		}
		h, selected := d.chooseHost(list), choices[f.rand.IntN(len(choices))]
		lasting := time.Duration(500+f.rand.IntN(3500)) * time.Millisecond
		mu.Lock()
		free := !busy[h] && count(h.role) < most
		if free {
			busy[h] = true
		}
		mu.Unlock()
		if !free {
			continue
		}
		g.Go(func() {
			d.during(h, selected.name, false, func() { selected.inject(f, h, lasting) })
			if h.role != host.NodeEntry {
				d.waitHost(h, selected.name)
			}
			mu.Lock()
			delete(busy, h)
			mu.Unlock()
		})
	}
	g.Wait()
}

// waitHost waits until a host with a disk that has just been started does not count as lost. One that
// has lost its disk must have caught up by the time after which the next one may be lost.
func (d *deployment) waitHost(h *testHost, what string) {
	begin := time.Now()
	recovered := func() bool { return d.fleet.isVoter(h) }
	if h.role == host.NodeStore {
		recovered = d.fleet.shardsComplete
	}
	for !recovered() {
		if time.Since(begin) > waitTimeout {
			d.t.Errorf("%s has not recovered %v after: %s", h.name, waitTimeout, what)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	took := time.Since(begin)
	d.note("%s recovered %v after: %s", h.name, took.Round(time.Millisecond), what)
	if h.emptiedAt.After(begin.Add(-emptyTime)) && took > d.fleet.catchUpTime() {
		d.t.Errorf("%s has caught up %v after its start with an empty disk, the next one may be lost after %v", h.name, took, d.fleet.catchUpTime())
	}
}

// during records a fault, or a planned stop, of a host while do runs.
func (d *deployment) during(h *testHost, what string, planned bool, do func()) {
	d.mu.Lock()
	n := len(d.faults)
	d.faults = append(d.faults, period{host: h.name, what: what, from: time.Now(), planned: planned})
	d.mu.Unlock()
	d.note("%s: %s", h.name, what)
	do()
	d.mu.Lock()
	d.faults[n].to = time.Now()
	d.mu.Unlock()
	d.note("%s: %s ended", h.name, what)
}

// stopInTurn stops entry hosts as planned for a time and starts them again. A stop begins
// before the one before has ended.
func (d *deployment) stopInTurn(length time.Duration) {
	f := d.fleet
	var g sync.WaitGroup
	hosts := slices.Clone(f.entries())
	f.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	interval := time.Duration(f.size.grace / 4 * float64(time.Second))
	atOnce := max(1, f.size.entries/20)
	for end := time.Now().Add(length); time.Now().Before(end) && len(hosts) > 0; time.Sleep(interval) {
		for _, h := range hosts[:min(atOnce, len(hosts))] {
			g.Go(func() { d.stopPlanned(h) })
		}
		hosts = hosts[min(atOnce, len(hosts)):]
		if f.size.entries <= 3 {
			g.Wait() // One of three hosts at a time.
		}
	}
	g.Wait()
}

// finalSyncTime is how long syncs take at least from the final fault on, if it is above 0.
var finalSyncTime = flag.Duration("finalsync", 0, "how long syncs take at least from the final fault on; 0 means as before")

// awaitTurn returns right after a turn was answered whole.
func (d *deployment) awaitTurn() {
	d.callers.mu.Lock()
	n := len(d.callers.attempts)
	d.callers.mu.Unlock()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		d.callers.mu.Lock()
		found := slices.ContainsFunc(d.callers.attempts[n:], func(a attempt) bool { return a.path == "/turn/" && a.status == http.StatusOK && a.complete })
		n = len(d.callers.attempts)
		d.callers.mu.Unlock()
		if found {
			return
		}
	}
	d.t.Errorf("no turn was answered in %v", waitTimeout)
}

// strikeAfter is what faults of all hosts strike after, if it is set.
var strikeAfter = flag.String("strike", "", "what the final fault strikes after: turn, agents or change; empty for one that depends on the seed")

// maxAfterFork is how long after the start of sub-agents a fault strikes at most: their first turns are between
// their reservations and their first events then.
const maxAfterFork = 40 * time.Millisecond

// awaitAgents returns shortly after sub-agents of a program were started together.
func (d *deployment) awaitAgents() {
	select {
	case <-d.load.forked:
		time.Sleep(time.Duration(d.fleet.rand.Int64N(int64(maxAfterFork))))
	case <-time.After(waitTimeout):
		d.t.Errorf("no sub-agents were started together in %v", waitTimeout)
	}
}

// awaitMoment returns right after a turn was answered, a change was sent or acknowledged, or sub-agents were started.
func (d *deployment) awaitMoment() {
	kind := []string{"turn", "agents", "change", "change"}[d.fleet.rand.IntN(4)]
	switch cmp.Or(*strikeAfter, kind) {
	case "turn":
		d.awaitTurn()
	case "agents":
		d.awaitAgents()
	default:
		d.awaitChange()
	}
}

// finalDowntimes are how long hosts are down in the final fault. After the longest, callers of turns that were
// open have mostly given up; after the others, they repeat them at hosts that have just started.
var finalDowntimes = []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second}

// injectFinalFault injects a fault right after a change or a turn and returns when all hosts have been
// started again: all are killed, all lose power, or as many as the fleet tolerates lose their
// disks, mostly while all others lose power.
func (d *deployment) injectFinalFault() time.Time {
	f := d.fleet
	disks, all, kind := f.randomDiskHosts(nil), &testHost{name: "group"}, f.rand.IntN(6)
	if f.rand.IntN(2) == 0 {
		disks = f.oldestDiskHosts()
	}
	if *finalSyncTime > 0 {
		f.syncTime.Store(int64(*finalSyncTime))
	}
	d.awaitMoment()
	if *finalFault != "" {
		return d.loseSilently(f.darkLoss(*finalFault))
	}
	down := finalDowntimes[f.rand.IntN(len(finalDowntimes))]
	switch kind {
	case 0:
		d.during(all, "killed", false, func() { f.killControlHosts(f.hosts, down) })
	case 1:
		d.during(all, "power lost", false, func() { f.losePower(nil, down) })
	case 2:
		d.during(all, "disks lost", false, func() { f.loseDisks(disks, down) })
	default:
		d.during(all, "power and disks lost", false, func() { f.losePower(disks, down) })
	}
	return time.Now()
}

// logFile returns the path of the log of a host.
func (h *testHost) logFile() string { return filepath.Join(h.dir, "log") }

func readLog(h *testHost) []byte {
	b, err := os.ReadFile(h.logFile())
	if err != nil {
		return nil // Reported as a host without events.
	}
	return b
}
