package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/types"
)

// fleet is a fleet of real processes on the loopback interface, with fake
// targets.
type fleet struct {
	t             testing.TB
	dir           string
	groups        int
	peers         []string // addresses of the control hosts
	relayed       bool     // whether links to control hosts lead through relays
	relays        []linkRelay
	entryAdmins   []string // addresses of the entry hosts' administration interfaces
	hosts         map[string]*exec.Cmd
	entries       []string // addresses of the entry hosts for callers
	adminAddress  string   // address of the first control host's administration interface
	operatorKey   string
	engines       []*fakes.Engine
	booking       *fakes.Service
	questionnaire string
}

const callerKey = "caller-key-of-the-test"

// buildOnce builds the banyanspur command on the first call and returns its path.
var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "banyanspur-test-")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "banyanspur")
	out, err := exec.Command("go", "build", "-o", file, "github.com/banyanspur/banyanspur/cmd/banyanspur").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return file, nil
})

// newFleet starts control and entry hosts in three availability zones, with two
// shard groups for client accounts, and brings a configuration into force.
func newFleet(t testing.TB, control, entries int, engine func() *fakes.Engine) *fleet {
	t.Helper()
	return newCustomFleet(t, control, entries, 2, false, engine)
}

// newCustomFleet is like newFleet for any number of shard groups. If relayed is
// set, it puts a relay into every link to a control host.
func newCustomFleet(t testing.TB, control, entries, groups int, relayed bool, engine func() *fakes.Engine) *fleet {
	t.Helper()
	f := &fleet{t: t, groups: groups, relayed: relayed, dir: t.TempDir(), hosts: map[string]*exec.Cmd{}, operatorKey: types.RandomID(), booking: &fakes.Service{}}
	f.writeFile("secret", types.RandomID())
	f.writeFile("operator", f.operatorKey)
	f.peers = fakes.FreeAddresses(control)
	f.adminAddress = fakes.FreeAddresses(1)[0]
	for i := range control {
		extra := fmt.Sprintf("peerListen = %q\ndataDir = %q\n", f.peers[i], filepath.Join(f.dir, fmt.Sprintf("data-%d", i)))
		if i == 0 {
			extra += fmt.Sprintf("adminListen = %q\n", f.adminAddress)
		}
		f.writeSettings(fmt.Sprintf("control-%d", i), i, config.RoleControl, extra)
	}
	f.entries = fakes.FreeAddresses(entries)
	for i, a := range f.entries {
		f.entryAdmins = append(f.entryAdmins, fakes.FreeAddresses(1)...)
		extra := fmt.Sprintf("callerListen = %q\nadminListen = %q\n", a, f.entryAdmins[i])
		f.writeSettings(fmt.Sprintf("entry-%d", i), i, config.RoleEntry, extra)
	}
	f.startTargets(engine)
	for name := range f.hosts {
		f.start(name)
	}
	t.Cleanup(f.stopAll)
	f.apply(f.questionnaire)
	f.waitReady()
	return f
}

// controlSettings returns the part of a host's settings that lists the control
// hosts and the operators.
func (f *fleet) controlSettings(name string) string {
	var list strings.Builder
	for i, p := range f.peers {
		if f.relayed {
			p = f.startRelay(name, i, p)
		}
		fmt.Fprintf(&list, "[[control]]\nhost = \"control-%d\"\naddress = %q\n", i, p)
	}
	fmt.Fprintf(&list, "[[operator]]\nname = \"tester\"\nkeyHash = %q\n", types.HashKey(f.operatorKey))
	return list.String()
}

// startRelay starts a relay from host name to control host i at address upstream,
// and returns the address of the relay.
func (f *fleet) startRelay(name string, i int, upstream string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	r := &fakes.Relay{Upstream: upstream}
	f.relays = append(f.relays, linkRelay{ends: [2]string{name, fmt.Sprintf("control-%d", i)}, Relay: r})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return r.Run(ctx, l) })
	f.t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l.Addr().String()
}

// linkRelay is the relay in the link between two hosts.
type linkRelay struct {
	ends [2]string
	*fakes.Relay
}

// setPartitioned partitions a host from all other hosts without closing the
// connections, or restores its links.
func (f *fleet) setPartitioned(name string, partitioned bool) {
	for _, r := range f.relays {
		if r.ends[0] != r.ends[1] && (r.ends[0] == name || r.ends[1] == name) {
			r.SetPartitioned(partitioned)
		}
	}
}

// writeSettings writes the settings file of a host in one of three zones.
func (f *fleet) writeSettings(name string, i int, role config.Role, extra string) {
	f.hosts[name] = nil
	f.writeFile(name+".toml", fmt.Sprintf("host = %q\nzone = \"zone-%d\"\nroles = [%q]\ngroups = %d\nclusterSecretFile = %q\n%s",
		name, i%3, role, f.groups, filepath.Join(f.dir, "secret"), extra+f.controlSettings(name)))
}

func (f *fleet) writeFile(name, content string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// startTargets starts two engines and a plain service, and sets the questionnaire
// that configures them.
func (f *fleet) startTargets(engine func() *fakes.Engine) {
	var q strings.Builder
	fmt.Fprintf(&q, "[[account]]\nname = \"choir\"\nrequestsPerSecond = 100000.0\nburst = 100000\nkeyHashes = [%q]\n", types.HashKey(callerKey))
	q.WriteString("[[service]]\nname = \"assistant\"\nkind = \"model\"\n")
	for i := range 2 {
		e := engine()
		f.engines = append(f.engines, e)
		fmt.Fprintf(&q, "[[service.target]]\nname = \"engine-%d\"\naddress = %q\nzone = \"zone-%d\"\n", i, f.serveTarget(e.Handler()), i)
	}
	q.WriteString("[[service]]\nname = \"booking\"\nkind = \"plain\"\nnonIdempotent = [\"/deposits\"]\n")
	fmt.Fprintf(&q, "[[service.target]]\nname = \"booking-0\"\naddress = %q\nzone = \"zone-0\"\n", f.serveTarget(f.booking))
	f.questionnaire = q.String()
}

// serveTarget serves a target and returns its address.
func (f *fleet) serveTarget(h http.Handler) string {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func (f *fleet) start(name string) {
	f.t.Helper()
	binary, err := buildOnce()
	if err != nil {
		f.t.Fatal(err)
	}
	log, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer log.Close()
	cmd := exec.Command(binary, "run", "--drain-lag=200ms", "--settings", filepath.Join(f.dir, name+".toml"))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.hosts[name] = cmd
}

// kill ends a host with SIGKILL.
func (f *fleet) kill(name string) {
	_ = f.hosts[name].Process.Kill()
	_ = f.hosts[name].Wait()
}

func (f *fleet) stopAll() {
	for name, cmd := range f.hosts {
		if cmd != nil {
			f.kill(name)
		}
		if log, err := os.ReadFile(filepath.Join(f.dir, name+".log")); err == nil && f.t.Failed() {
			f.t.Logf("%s:\n%s", name, log)
		}
	}
}

// apply brings a questionnaire into force with the operators' command.
func (f *fleet) apply(questionnaire string) {
	f.t.Helper()
	file := f.writeFile("questionnaire.toml", questionnaire)
	f.eventually("apply", func() error {
		out, err := f.runAdmin("apply", "--questionnaire", file)
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// runAdmin runs one of the operators' commands.
func (f *fleet) runAdmin(args ...string) (string, error) {
	binary, err := buildOnce()
	if err != nil {
		return "", err
	}
	all := append([]string{"admin", "--address", f.adminAddress, "--key-file", filepath.Join(f.dir, "operator")}, args...)
	out, err := exec.Command(binary, all...).CombinedOutput()
	return string(out), err
}

func (f *fleet) waitReady() {
	f.t.Helper()
	for _, a := range f.entries {
		f.eventually("entry is ready", func() error {
			_, err := f.request(a, http.MethodGet, "/v1/programs/none", nil)
			if err == nil || strings.Contains(err.Error(), "notFound") {
				return nil
			}
			return err
		})
	}
}

// waitTimeout bounds every wait for a fleet. It is not a performance target.
const waitTimeout = 60 * time.Second

// eventually calls fn until it succeeds. It fails the test after waitTimeout.
func (f *fleet) eventually(what string, fn func() error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		err := fn()
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			f.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// request sends one request with the caller's key. A response other than 2xx is
// returned as an error that contains its body.
func (f *fleet) request(address, method, path string, body any) ([]byte, error) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %s", resp.Status, response)
	}
	return response, nil
}

// requestUntilAnswered sends a request to the entry hosts in turn, beginning with
// host number first, until one answers it or reports that its outcome is unknown.
// It gives up after waitTimeout.
func (f *fleet) requestUntilAnswered(first int, method, path string, body any) (response []byte, err error) {
	deadline := time.Now().Add(waitTimeout)
	for i := first; time.Now().Before(deadline); i++ {
		response, err = f.request(f.entries[i%len(f.entries)], method, path, body)
		if err == nil || strings.Contains(err.Error(), "outcomeUnknown") {
			return response, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}
