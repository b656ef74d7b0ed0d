package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/fakes"
	fleetpkg "github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/wire"
)

// testHost is one host: a process that can be killed and restarted, its directory,
// and the relay in front of it.
type testHost struct {
	t      *testing.T
	name   string
	role   host.NodeRole
	zone   string
	number int // last octet of its addresses
	dir    string
	relay  *fakes.FaultyRelay
	binary string // banyanspur binary to run; empty for the build under test
	log    *hostLog
	disk   *crash.Follower // nil without a disk, and for another binary

	mu      sync.Mutex
	process *exec.Cmd     // nil once the test has stopped it
	exited  chan struct{} // closed when process has exited
	quota   quota
	ends    []processEnd
	// peakMemory is the most anonymous memory of any of its processes, in bytes.
	peakMemory int

	// disturbedAt is when the process was last started or a fault of the host ended.
	disturbedAt time.Time
	// emptiedAt is when the host was added or lost its disk.
	emptiedAt time.Time
	// gone is set once the host has lost power for good.
	gone atomic.Bool
}

// fleet is a fleet under test: control hosts, stores and entry hosts, in this order.
type fleet struct {
	t           *testing.T
	size        fleetSize
	netPrefix   string // first two octets of all addresses
	listAddress string // address of the server that lists the targets
	hosts       []*testHost
	started     []*testHost // hosts, and those that were replaced
	rand        *rand.Rand
	peers       *wire.Pool
	client      *fleetpkg.Client // follows the fleet as a host does
	program     *program         // nil for the test binary
	// syncTime is how long syncs of processes that are started take at least, in nanoseconds.
	syncTime atomic.Int64
}

// Ports of each host, on its own addresses.
const (
	peerPort     = 17000
	metricsPort  = 17001
	callerPort   = 17010
	operatorPort = 17011
	readyPort    = 17012
)

// address returns the IP address at which others reach a host. On peerPort, the
// relay listens there and forwards to the host at netPrefix.2.number.
func (f *fleet) address(h *testHost) string { return fmt.Sprintf("%s.1.%d", f.netPrefix, h.number) }

// newFleet starts a fleet whose hosts all run the given binary; see testHost.binary.
func newFleet(t *testing.T, size fleetSize, seed uint64, listAddress, binary string) *fleet {
	t.Helper()
	f := &fleet{t: t, size: size, netPrefix: fmt.Sprintf("127.%d", 20+os.Getpid()%200), listAddress: listAddress, rand: rand.New(&fakes.LockedSource{Source: rand.NewPCG(seed, 1)})}
	if size.asProgram {
		var err error
		if f.program, err = builtProgram(); err != nil {
			t.Fatal(err)
		}
	}
	f.syncTime.Store(int64(size.syncTime))
	for i := range size.controls + size.stores + size.entries {
		h := &testHost{t: t, number: i + 1, dir: t.TempDir(), binary: binary, emptiedAt: time.Now()}
		role, n := size.role(i)
		h.role, h.zone = role, fmt.Sprint("zone-", n%size.zones)
		h.name = fmt.Sprintf("%s-%d", h.role, i)
		f.hosts = append(f.hosts, h)
	}
	t.Cleanup(f.stopAll)
	for _, h := range f.hosts {
		f.startRelay(h)
	}
	for _, h := range f.hosts {
		f.start(h, true)
	}
	f.startClient()
	return f
}

// hostLog is the file with the log of a host. It hides that it is a file, so that processes
// write to it through a pipe: a limit on the size of their files must not reach the log.
type hostLog struct{ *os.File }

// startRelay starts the relay in front of a host and creates the host's log.
func (f *fleet) startRelay(h *testHost) {
	f.t.Helper()
	r, err := fakes.NewFaultyRelay(fmt.Sprintf("%s:%d", f.address(h), peerPort), fmt.Sprintf("%s.2.%d:%d", f.netPrefix, h.number, peerPort))
	if err != nil {
		f.t.Fatal(err)
	}
	r.LimitRate(f.size.limits[h.role].linkMbps)
	go r.Accept()
	h.relay = r
	file, err := os.Create(filepath.Join(h.dir, "log"))
	if err != nil {
		f.t.Fatal(err)
	}
	h.log = &hostLog{File: file}
	f.started = append(f.started, h)
}

// writeSettings writes the settings file of a host and returns its path.
func (f *fleet) writeSettings(h *testHost, founding bool) string {
	address := f.address(h)
	seeds := ""
	for _, s := range f.controls()[:3] { // A host takes at most 3.
		seeds += fmt.Sprintf("%q,", fmt.Sprintf("%s:%d", f.address(s), operatorPort))
	}
	text := fmt.Sprintf("host = %q\nzone = %q\naddress = %q\nbind = \"%s.2.%d\"\npeerPorts = [%d, %d]\nseeds = [%s]\n",
		h.name, h.zone, address, f.netPrefix, h.number, peerPort, metricsPort, seeds)
	text += fmt.Sprintf("founding = %t\nlosses = %d\ngraceSeconds = %.1f\ntargetList = %q\n", founding, f.size.losses, f.size.grace, f.listAddress)
	switch h.role {
	case host.NodeEntry:
		text += fmt.Sprintf("callerListen = \"%s:%d\"\nreadyListen = \"%s:%d\"\n", address, callerPort, address, readyPort)
	case host.NodeControl:
		text += fmt.Sprintf("operatorListen = \"%s:%d\"\n", address, operatorPort)
	}
	if h.role != host.NodeEntry {
		text += fmt.Sprintf("dataDir = %q\n", filepath.Join(h.dir, "data"))
	}
	if f.program != nil {
		text = f.programSettings(h, founding)
	}
	file := filepath.Join(h.dir, "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// start starts the process of a host. founding is set when the whole fleet starts
// for the first time.
func (f *fleet) start(h *testHost, founding bool) {
	settings := f.writeSettings(h, founding)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+settings, roleEnv+"="+string(h.role), partitionEnv+"="+h.partition().file, "GOMAXPROCS=1")
	if f.program != nil {
		cmd = f.program.command(h.role, settings)
	}
	if h.binary != "" {
		cmd = exec.Command(h.binary, "join", string(h.role), "--settings", settings)
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	output := pipeWriter{h.log}
	cmd.Stdout, cmd.Stderr = output, output
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := f.startProcess(h, cmd); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan struct{})
	h.process, h.exited, h.disturbedAt, h.quota = cmd, exited, time.Now(), quota{}
	go func() {
		_ = cmd.Wait() // A killed process exits with an error.
		h.recordEnd(cmd)
		close(exited)
	}()
	f.enforceLimits(h, cmd, exited)
}

// signal sends a signal to a host's process. SIGSTOP freezes the process until SIGCONT,
// whatever its quota of processor time.
func (h *testHost) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	switch sig {
	case syscall.SIGSTOP:
		h.quota.frozen = true
	case syscall.SIGCONT:
		h.quota.frozen = false
		if h.quota.spent {
			return // The process continues with its next period.
		}
	}
	_ = h.process.Process.Signal(sig) // The process may have exited already.
}

// hasExited reports whether a host's process has exited though the test has not stopped it.
func (h *testHost) hasExited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return false
	}
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// stop sends a signal to a host's process and waits for the process to exit. It returns the
// state of the process, or nil if there was none.
func (h *testHost) stop(sig syscall.Signal) *os.ProcessState {
	h.mu.Lock()
	cmd, exited := h.process, h.exited
	h.process = nil
	h.mu.Unlock()
	if cmd == nil {
		return nil
	}
	_ = cmd.Process.Signal(sig) // The process may have exited already.
	<-exited
	return cmd.ProcessState
}

// stopAll kills all hosts. If the test has failed, it keeps their logs, also those of hosts that
// were replaced.
func (f *fleet) stopAll() {
	for _, h := range f.started {
		h.stop(syscall.SIGKILL)
		h.relay.Close()
	}
	if !f.t.Failed() {
		return
	}
	for _, h := range f.started {
		f.t.Logf("log of %s saved as %s", h.name, saveLog(f.t, h))
	}
}

// saveLog copies the log of a host to a file that outlives the test. It returns
// the path of the file, or the text of the error.
func saveLog(t *testing.T, h *testHost) string {
	b, err := os.ReadFile(filepath.Join(h.dir, "log"))
	if err != nil {
		return err.Error()
	}
	file := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%s-%s.log", filepath.Base(t.Name()), h.name))
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err.Error()
	}
	return file
}

// fault is a fault of one host. inject injects it for about the given duration and
// ends it before returning.
type fault struct {
	name   string
	inject func(f *fleet, h *testHost, d time.Duration)
}

var faults = []fault{
	{"killed", (*fleet).killAndRestart},
	{"stopped gracefully", func(f *fleet, h *testHost, d time.Duration) {
		h.stop(syscall.SIGTERM)
		time.Sleep(d / 4)
		f.start(h, false)
	}},
	{"frozen", func(_ *fleet, h *testHost, d time.Duration) {
		h.signal(syscall.SIGSTOP)
		time.Sleep(d)
		h.signal(syscall.SIGCONT)
	}},
	{"data directory lost", func(f *fleet, h *testHost, d time.Duration) {
		f.loseDisks([]*testHost{h}, d/2)
	}},
	{"torn write", func(f *fleet, h *testHost, d time.Duration) {
		h.stop(syscall.SIGKILL)
		f.appendTornFrame(h)
		time.Sleep(d / 2)
		f.start(h, false)
	}},
	{"network fault", func(f *fleet, h *testHost, d time.Duration) {
		h.relay.SetMode(fakes.FaultModes[f.rand.IntN(len(fakes.FaultModes))])
		time.Sleep(d)
		h.relay.SetMode(fakes.ModeForward)
	}},
}

// killAndRestart kills a host and restarts it after d.
func (f *fleet) killAndRestart(h *testHost, d time.Duration) {
	h.stop(syscall.SIGKILL)
	time.Sleep(d)
	f.start(h, false)
}

// appendTornFrame appends an incomplete frame to the newest log segments of a host,
// as left behind by a write that a power loss interrupted before it was
// acknowledged: a frame's magic number, a payload length of 200 and three bytes of
// the checksum that follows (see package store).
func (f *fleet) appendTornFrame(h *testHost) {
	for _, pattern := range []string{"data/config/log-*", "data/turns/journal/log-*"} {
		files, err := filepath.Glob(filepath.Join(h.dir, pattern))
		if err != nil || len(files) == 0 {
			continue
		}
		segment, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			f.t.Error(err)
			continue
		}
		if _, err := segment.Write([]byte{0xe9, 0x51, 0xa7, 0xb5, 200, 0, 0, 0, 1, 2, 3}); err != nil {
			f.t.Error(err)
		}
		_ = segment.Close()
	}
}

// injectFaults injects random faults one after another for duration d. It never
// takes down two hosts with a disk at once, except when it kills all of them
// together.
func (c *callers) injectFaults(d time.Duration) {
	f := c.fleet
	for end := time.Now().Add(d); time.Now().Before(end); {
		length := time.Duration(200+f.rand.IntN(1800)) * time.Millisecond
		if f.rand.IntN(8) == 0 {
			f.killDiskHosts(length / 4)
			continue
		}
		if f.rand.IntN(8) == 0 {
			c.replaceStore(3+f.rand.IntN(3), 0, length)
			continue
		}
		h := f.hosts[f.rand.IntN(len(f.hosts))]
		choices := slices.Concat(faults, powerFaults)
		selected := choices[f.rand.IntN(len(choices))]
		f.t.Logf("%s: %s for %v", h.name, selected.name, length)
		selected.inject(f, h, length)
		h.disturbedAt = time.Now()
		if h.role != host.NodeEntry {
			f.waitRecovered()
		}
	}
}

// killTogether kills hosts at the same time.
func killTogether(hosts []*testHost) {
	var g sync.WaitGroup
	for _, h := range hosts {
		g.Go(func() { h.stop(syscall.SIGKILL) })
	}
	g.Wait()
}

// killDiskHosts kills all hosts with a disk, the control hosts and stores, at the
// same time and restarts them after d.
func (f *fleet) killDiskHosts(d time.Duration) {
	f.t.Logf("all hosts with a disk: killed for %v", d)
	f.killControlHosts(f.diskHosts(), d)
	f.waitRecovered()
}
