//go:build crowd

package crowd_test

import (
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
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/host"
)

// Ports of each host, on its own address.
const (
	peerPort     = 17000
	metricsPort  = 17001
	callerPort   = 17010
	operatorPort = 17011
	readyPort    = 17012
)

const (
	bodyLimit = 4 << 20 // of the plan
	// deploymentFiles is the number of descriptors that hosts have unless a test lowers it.
	deploymentFiles = 4096
	// maxWait bounds the attempts at one ordinary request. It only ends tests that would hang.
	maxWait = 90 * time.Second
)

// memoryMB is the memory of hosts, by role: the smallest among the users' deployments.
var memoryMB = map[host.NodeRole]int{host.NodeEntry: 88, host.NodeStore: 140, host.NodeControl: 256}

// program is the path of the program, built as deploy/system.toml says, and settingsTemplate the
// text of the template of its settings.
var program, settingsTemplate string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd-")
	if err == nil {
		err = build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(dir string) error {
	b, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		return err
	}
	var deploy struct{ Build string }
	if err := toml.Unmarshal(b, &deploy); err != nil {
		return err
	}
	text, err := os.ReadFile("../deploy/settings.toml.tmpl")
	if err != nil {
		return err
	}
	cmd := exec.Command("sh", "-c", strings.Replace(deploy.Build, " target/ ", " "+dir+"/ ", 1))
	cmd.Dir = ".."
	if output, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%s: %w\n%s", cmd, err, output)
	}
	program, settingsTemplate = filepath.Join(dir, "banyanspur"), string(text)
	return nil
}

// process is one host.
type process struct {
	name, address, dir string
	role               host.NodeRole
	memoryMB           int
	cmd                *exec.Cmd
	exited             chan struct{} // closed when cmd has exited
	peak               peak
}

// fleet is three control hosts, three stores and two entry hosts, with one target.
type fleet struct {
	t         *testing.T
	files     int // descriptors of each host
	netPrefix string
	hosts     []*process
	target    *target
	version   int // of the plan
}

// newFleet starts a fleet, and returns once all entry hosts serve calls and turns.
func newFleet(t *testing.T, files int) *fleet {
	f := &fleet{t: t, files: files, netPrefix: fmt.Sprintf("127.%d.1", 20+os.Getpid()%200), target: startTarget(t)}
	for i := range 8 {
		p := &process{address: fmt.Sprintf("%s.%d", f.netPrefix, i+1), dir: t.TempDir(), role: host.NodeControl}
		switch {
		case i >= 6:
			p.role = host.NodeEntry
		case i >= 3:
			p.role = host.NodeStore
		}
		p.name, p.memoryMB = fmt.Sprintf("%s-%d", p.role, i), memoryMB[p.role]
		f.hosts = append(f.hosts, p)
	}
	for _, p := range f.hosts {
		f.start(p)
	}
	f.watch()
	f.putPlan(f.first(host.NodeControl))
	for _, p := range f.hosts[6:] {
		f.serveOrdinary(p, "at first")
	}
	if t.Failed() {
		t.FailNow()
	}
	return f
}

// first returns the first host with a role.
func (f *fleet) first(role host.NodeRole) *process {
	for _, p := range f.hosts {
		if p.role == role {
			return p
		}
	}
	return nil
}

func (f *fleet) settings(p *process) string {
	var seeds []any
	for _, s := range f.hosts[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.address, operatorPort))
	}
	fields := map[string]any{
		"node_name": p.name, "role": string(p.role), "ip": p.address, "zone": "zone-1", "internal_ports": []any{peerPort, metricsPort},
		"seed_nodes": seeds, "bootstrap": true,
		"limits":          map[string]any{"memory_mb": p.memoryMB, "max_fds": f.files, "link_mbps": 1000},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0},
		"bounds":          map[string]any{"catch_up_s": 7.6, "grace_s": 8, "strict_revoke": false},
		"provider":        map[string]any{"address": f.target.listAddress},
	}
	switch p.role {
	case host.NodeEntry:
		fields["listen"] = map[string]any{"front": fmt.Sprintf("%s:%d", p.address, callerPort), "ready_address": fmt.Sprintf("%s:%d", p.address, readyPort)}
	case host.NodeControl:
		fields["listen"] = map[string]any{"control": fmt.Sprintf("%s:%d", p.address, operatorPort)}
	}
	if p.role != host.NodeEntry {
		fields["data_dir"] = filepath.Join(p.dir, "data")
	}
	text, err := fakes.RenderTemplate(settingsTemplate, fields, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return text
}

func (f *fleet) start(p *process) {
	file := filepath.Join(p.dir, "settings.toml")
	if err := os.WriteFile(file, []byte(f.settings(p)), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.run(p, file, "join", string(p.role))
}

// run runs the program with a settings file and arguments until the test ends.
func (f *fleet) run(p *process, settings string, arguments ...string) {
	log, err := os.Create(filepath.Join(p.dir, "log"))
	if err != nil {
		f.t.Fatal(err)
	}
	// The shell sets the limit before the program starts, since it may read it then.
	p.cmd = exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(f.files), program}, arguments...)...)
	p.cmd.Env = []string{"BANYANSPUR_SETTINGS=" + settings, "GOMAXPROCS=1", "PATH=" + os.Getenv("PATH")} // Hosts have one processor.
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func() {
		_ = p.cmd.Wait() // The state of the process tells whether it failed.
		_ = log.Close()
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // The process may have exited already.
		<-p.exited
	})
}

// target is one target for all services and the server that lists it.
type target struct {
	listAddress string

	mu      sync.Mutex
	release chan struct{} // closed to end the calls to /late/
}

// releaseLate ends the calls to /late/ that are in flight.
func (g *target) releaseLate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.release)
	g.release = make(chan struct{})
}

const largeResponse = 6 << 20

func startTarget(t *testing.T) *target {
	g := &target{release: make(chan struct{})}
	serve := func(h http.HandlerFunc) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{Handler: h}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		return l.Addr().String()
	}
	var list []map[string]any
	for _, service := range []string{"models", "plain"} {
		list = append(list, map[string]any{
			"id": service + "-1", "service": service, "address": serve(g.serve), "zone": "zone-1", "version": "v1", "slots": 1000, "state": "ready", "cold_left_ms": 0,
		})
	}
	g.listAddress = serve(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
	})
	return g
}

func (g *target) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/") {
		http.NotFound(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Signature", "signed "+id)
	switch r.URL.Path {
	case "/late/":
		g.mu.Lock()
		release := g.release
		g.mu.Unlock()
		select {
		case <-release:
		case <-r.Context().Done():
		}
	case "/large/":
		w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
		for range largeResponse / len(filler) {
			if _, err := w.Write(filler); err != nil {
				return
			}
		}
		return
	case "/turn/":
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n")
		return
	}
	_, _ = io.WriteString(w, "done")
}

// plan returns the plan with a version, with the limits of the users' plan.
func plan(version int) []byte {
	route := func(prefix, kind, service string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "crowd.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 200, "service": service, "max_attempts": 2, "stateful": prefix == "/turn/", "keep_s": 60,
		}
	}
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("/turn/", "streaming", "models", 4*time.Second), route("/call/", "idempotent", "plain", 4*time.Second),
			route("/large/", "idempotent", "plain", 20*time.Second), route("/late/", "non_idempotent", "plain", 20*time.Second),
		},
		"services": []any{
			map[string]any{"name": "models", "engine": map[string]any{"slots": 1000, "stride": 10}}, map[string]any{"name": "plain"},
		},
		"tenants": []any{
			map[string]any{"name": "calm", "api_keys": []string{"key-calm"}}, map[string]any{"name": "rash", "api_keys": []string{"key-rash"}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyLimit, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // Cannot happen: the document holds only values that JSON can encode.
	}
	return b
}
