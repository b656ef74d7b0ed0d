package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as on the users' sheet.
const (
	graceSeconds = 8 // grace_s
	setupTimeout = 30 * time.Second
)

// host is one process of the system.
type host struct {
	name, role, zone, ip, settings, dir string
	cmd                                 *exec.Cmd
	log                                 *os.File
}

// fleet is a small deployment on loopback addresses: control hosts, stores and entry
// hosts, each a process of its own, started with the command of the deploy file.
type fleet struct {
	binary   string
	prefix   string // first three octets of all addresses
	peerPort int    // like the other ports, the same on all hosts
	metrics  int
	front    int
	ready    int
	operator int
	listAddr string
	hosts    []*host
}

// freePorts returns n ports that are free on the loopback addresses prefix.1 to
// prefix.hosts. They lie below the ephemeral range, so that no outgoing connection takes one
// before it is used.
func freePorts(n int, prefix string, hosts int) []int {
	const first, count = 20000, 12000
	var ports []int
	for i := 0; len(ports) < n; i++ {
		if i == count {
			fail("no free port")
		}
		if port := first + (os.Getpid()*97+i)%count; isFree(port, prefix, hosts) {
			ports = append(ports, port)
		}
	}
	return ports
}

// isFree reports whether a port is free on the loopback addresses prefix.1 to prefix.hosts.
func isFree(port int, prefix string, hosts int) bool {
	for h := range hosts {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, h+1, port))
		if err != nil {
			return false
		}
		_ = l.Close() // Only opened to check that the port is free.
	}
	return true
}

// newFleet prepares a fleet. Its processes are not started yet.
func newFleet(binary, dir, listAddr string, control, stores, entries int) *fleet {
	prefix := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, 1+os.Getpid()/200%250)
	ports := freePorts(5, prefix, control+stores+entries)
	f := &fleet{
		binary: binary, listAddr: listAddr, prefix: prefix,
		peerPort: ports[0], metrics: ports[1], front: ports[2], ready: ports[3], operator: ports[4],
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	add := func(role string, n int) {
		for i := range n {
			number := len(f.hosts) + 1
			zone := zones[len(f.hosts)%len(zones)]
			h := &host{name: fmt.Sprintf("%s-%s-%d", role, zone, i), role: role, zone: zone, ip: fmt.Sprintf("%s.%d", f.prefix, number)}
			h.dir = filepath.Join(dir, h.name)
			check(os.MkdirAll(h.dir, 0o700))
			f.hosts = append(f.hosts, h)
		}
	}
	add("control", control)
	add("store", stores)
	add("entry", entries)
	for _, h := range f.hosts {
		h.settings = f.settings(h)
	}
	return f
}

// settings returns the settings of a host, in the form of deploy/settings.toml.tmpl.
func (f *fleet) settings(h *host) string {
	var seeds []string
	for _, s := range f.role("control")[:3] {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s:%d", s.ip, f.operator)))
	}
	memoryMB, linkMbps := 134, 1000 // As on the sheet of ksf-booking.
	switch h.role {
	case "store":
		memoryMB, linkMbps = 164, 600
	case "control":
		memoryMB = 280
	}
	text := fmt.Sprintf("host = %q\nzone = %q\naddress = %q\npeerPorts = [%d,%d]\nseeds = [%s]\ntargetPace = true\npaceSelective = true\nlosses = 1\nmemoryMB = %d\nlinkMbps = %d\ncatchUpSeconds = 4.9\ngraceSeconds = %d\ntargetList = %q\n",
		h.name, h.zone, h.ip, f.peerPort, f.metrics, strings.Join(seeds, ","), memoryMB, linkMbps, graceSeconds, f.listAddr)
	switch h.role {
	case "entry":
		text += fmt.Sprintf("callerListen = \"%s:%d\"\nreadyListen = \"%s:%d\"\n", h.ip, f.front, h.ip, f.ready)
	case "control":
		text += fmt.Sprintf("operatorListen = \"%s:%d\"\n", h.ip, f.operator)
	}
	if h.role != "entry" {
		text += fmt.Sprintf("dataDir = %q\n", filepath.Join(h.dir, "data"))
	}
	return text
}

func (f *fleet) role(role string) []*host {
	var list []*host
	for _, h := range f.hosts {
		if h.role == role {
			list = append(list, h)
		}
	}
	return list
}

// start starts the process of a host. founding is set at the first start of the fleet.
func (f *fleet) start(h *host, founding bool) {
	file := filepath.Join(h.dir, "settings.toml")
	check(os.WriteFile(file, []byte(h.settings+fmt.Sprintf("founding = %t\n", founding)), 0o600))
	if h.log == nil {
		l, err := os.Create(filepath.Join(h.dir, "log"))
		check(err)
		h.log = l
	}
	cmd := exec.Command(f.binary, "join", h.role)
	cmd.Env = append(os.Environ(), "BANYANSPUR_SETTINGS="+file)
	cmd.Stdout, cmd.Stderr = h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	h.cmd = cmd
}

// signal sends a signal to the process of a host.
func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// stop kills the process of a host and waits until it has ended.
func (h *host) stop() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	h.signal(syscall.SIGCONT)
	_ = h.cmd.Wait() // A killed process ends with an error.
	h.cmd = nil
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		h.stop()
	}
}

// form starts all hosts, puts the first configuration and waits until all entry hosts
// are ready.
func (f *fleet) form(config map[string]any) {
	for _, h := range f.hosts {
		f.start(h, true)
	}
	f.put(config)
	for _, h := range f.role("entry") {
		f.await(func() bool {
			resp, err := shortClient.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, f.ready))
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}, h.name+" is not ready")
	}
}

// shortClient makes calls that are answered at once.
var shortClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// await waits until a condition holds.
func (f *fleet) await(holds func() bool, otherwise string) {
	for end := time.Now().Add(setupTimeout); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			f.stopAll()
			fail("%s", otherwise)
		}
	}
}

// put sends a configuration to the control hosts in turn until one acknowledges it.
func (f *fleet) put(config map[string]any) {
	body, err := json.Marshal(config)
	check(err)
	n := 0
	f.await(func() bool {
		h := f.role("control")[n%len(f.role("control"))]
		n++
		return f.putTo(h, body) == http.StatusOK
	}, "no control host acknowledges the configuration")
}

func (f *fleet) putTo(h *host, body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/v1/config", h.ip, f.operator), bytes.NewReader(body))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := shortClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
	return resp.StatusCode
}

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// fail ends the case because it could not run. Child processes end with this one.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "not run: "+format+"\n", args...)
	os.Exit(exitNotRun)
}
