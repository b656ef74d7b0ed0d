package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	follow "github.com/banyanspur/banyanspur/fleet"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/wire"
)

// machine is one host: a process that can be killed and started again, its
// folder, and the relay before it.
type machine struct {
	t       *testing.T
	name    string
	role    host.NodeRole
	number  int
	dir     string
	relay   *relay
	binary  string // the program that it runs; empty for this test's own build
	process *exec.Cmd
	log     *os.File
}

// fleet is all machines of one seed.
type fleet struct {
	t        *testing.T
	net      string // the first two numbers of all addresses
	list     string // where targets are listed
	machines []*machine
	rand     *rand.Rand
	peers    *wire.Pool
	client   *follow.Client // follows the fleet as a host does
}

// The ports of each host, on its own addresses.
const (
	peerPort     = 17000
	metricsPort  = 17001
	frontPort    = 17010
	operatorPort = 17011
)

func (f *fleet) address(m *machine) string { return fmt.Sprintf("%s.1.%d", f.net, m.number) }

// newFleet starts a fleet whose machines all run the given program.
func newFleet(t *testing.T, seed uint64, list, binary string) *fleet {
	t.Helper()
	f := &fleet{t: t, net: fmt.Sprintf("127.%d", 20+os.Getpid()%200), list: list, rand: rand.New(rand.NewPCG(seed, 1))}
	for i := range 8 {
		m := &machine{t: t, number: i + 1, dir: t.TempDir(), binary: binary}
		switch {
		case i < 3:
			m.role = host.NodeControl
		case i < 6:
			m.role = host.NodeStore
		default:
			m.role = host.NodeEntry
		}
		m.name = fmt.Sprintf("%s-%d", m.role, i)
		f.machines = append(f.machines, m)
	}
	t.Cleanup(f.end)
	for _, m := range f.machines {
		r, err := newRelay(fmt.Sprintf("%s:%d", f.address(m), peerPort), fmt.Sprintf("%s.2.%d:%d", f.net, m.number, peerPort))
		if err != nil {
			t.Fatal(err)
		}
		m.relay = r
		if m.log, err = os.Create(filepath.Join(m.dir, "log")); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range f.machines {
		f.start(m, true)
	}
	f.follow()
	return f
}

// settings writes the settings file of a machine.
func (f *fleet) settings(m *machine, founding bool) string {
	at := f.address(m)
	seeds := ""
	for _, s := range f.machines[:3] {
		seeds += fmt.Sprintf("%q,", fmt.Sprintf("%s:%d", f.address(s), operatorPort))
	}
	text := fmt.Sprintf("host = %q\nzone = \"zone-%d\"\naddress = %q\nbind = \"%s.2.%d\"\npeerPorts = [%d, %d]\nseeds = [%s]\n",
		m.name, m.number%3, at, f.net, m.number, peerPort, metricsPort, seeds)
	text += fmt.Sprintf("founding = %t\nlosses = 1\ngraceSeconds = 4.0\ntargetList = %q\n", founding, f.list)
	switch m.role {
	case host.NodeEntry:
		text += fmt.Sprintf("callerListen = \"%s:%d\"\n", at, frontPort)
	case host.NodeControl:
		text += fmt.Sprintf("operatorListen = \"%s:%d\"\n", at, operatorPort)
	}
	if m.role != host.NodeEntry {
		text += fmt.Sprintf("dataDir = %q\n", filepath.Join(m.dir, "data"))
	}
	file := filepath.Join(m.dir, "settings.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

func (f *fleet) start(m *machine, founding bool) {
	settings := f.settings(m, founding)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), settingsEnv+"="+settings, roleEnv+"="+string(m.role), "GOMAXPROCS=1")
	if m.binary != "" {
		cmd = exec.Command(m.binary, "join", string(m.role), "--settings", settings)
		cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	m.process = cmd
}

// stop ends a machine's process and waits for it.
func (m *machine) stop(sig syscall.Signal) {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(sig) // It may have ended by itself; Wait tells.
	_ = m.process.Wait()              // Killed processes end with an error.
	m.process = nil
}

func (f *fleet) end() {
	for _, m := range f.machines {
		m.stop(syscall.SIGKILL)
		if m.relay != nil {
			m.relay.close()
		}
	}
	if !f.t.Failed() {
		return
	}
	for _, m := range f.machines {
		f.t.Logf("log of %s kept as %s", m.name, keepLog(f.t, m))
	}
}

// keepLog copies a log to where it outlives the test.
func keepLog(t *testing.T, m *machine) string {
	b, err := os.ReadFile(filepath.Join(m.dir, "log"))
	if err != nil {
		return err.Error()
	}
	file := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%s-%s.log", filepath.Base(t.Name()), m.name))
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err.Error()
	}
	return file
}

// fault is something that happens to a machine and is over when it returns.
type fault struct {
	name string
	play func(f *fleet, m *machine, d time.Duration)
}

var faults = []fault{
	{"killed", func(f *fleet, m *machine, d time.Duration) {
		m.stop(syscall.SIGKILL)
		time.Sleep(d)
		f.start(m, false)
	}},
	{"stopped in order", func(f *fleet, m *machine, d time.Duration) {
		m.stop(syscall.SIGTERM)
		time.Sleep(d / 4)
		f.start(m, false)
	}},
	{"frozen", func(_ *fleet, m *machine, d time.Duration) {
		_ = m.process.Process.Signal(syscall.SIGSTOP) // It may have ended by itself; stop tells.
		time.Sleep(d)
		_ = m.process.Process.Signal(syscall.SIGCONT)
	}},
	{"folder lost", func(f *fleet, m *machine, d time.Duration) {
		m.stop(syscall.SIGKILL)
		if err := os.RemoveAll(filepath.Join(m.dir, "data")); err != nil {
			f.t.Error(err)
		}
		time.Sleep(d / 2)
		f.start(m, false)
	}},
	{"torn write", func(f *fleet, m *machine, d time.Duration) {
		m.stop(syscall.SIGKILL)
		f.tear(m)
		time.Sleep(d / 2)
		f.start(m, false)
	}},
	{"relayed badly", func(f *fleet, m *machine, d time.Duration) {
		m.relay.set(manners[f.rand.IntN(len(manners))])
		time.Sleep(d)
		m.relay.set(passing)
	}},
}

// tear leaves half a frame at the end of a machine's newest segments, as a
// write does that a loss of power met before it was acknowledged.
func (f *fleet) tear(m *machine) {
	for _, pattern := range []string{"data/config/log-*", "data/turns/journal/log-*"} {
		files, err := filepath.Glob(filepath.Join(m.dir, pattern))
		if err != nil || len(files) == 0 {
			continue
		}
		last, err := os.OpenFile(files[len(files)-1], os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			f.t.Error(err)
			continue
		}
		if _, err := last.Write([]byte{0xe9, 0x51, 0xa7, 0xb5, 200, 0, 0, 0, 1, 2, 3}); err != nil {
			f.t.Error(err)
		}
		_ = last.Close()
	}
}

// playFaults plays faults one after the other for a while; no two hosts with a
// disk are lost at once, except when all are killed together.
func (f *fleet) playFaults(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		length := time.Duration(200+f.rand.IntN(1800)) * time.Millisecond
		if f.rand.IntN(8) == 0 {
			f.killAll(length / 4)
			continue
		}
		m := f.machines[f.rand.IntN(len(f.machines))]
		x := faults[f.rand.IntN(len(faults))]
		f.t.Logf("%s: %s for %v", m.name, x.name, length)
		x.play(f, m, length)
		if m.role != host.NodeEntry {
			f.settle()
		}
	}
}

// killAll kills all hosts with a disk at the same moment.
func (f *fleet) killAll(d time.Duration) {
	f.t.Logf("all hosts with a disk: killed for %v", d)
	for _, m := range f.machines[:6] {
		_ = m.process.Process.Kill() // It may have ended by itself; stop tells.
	}
	for _, m := range f.machines[:6] {
		m.stop(syscall.SIGKILL)
	}
	time.Sleep(d)
	for _, m := range f.machines[:6] {
		f.start(m, false)
	}
	f.settle()
}
