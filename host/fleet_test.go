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

// fleet is a fleet of real processes on loopback with stand-in targets.
type fleet struct {
	t        testing.TB
	dir      string
	groups   int
	peers    []string // addresses of the control hosts
	relayed  bool
	relays   []relayOf
	metrics  []string // addresses of the entry hosts' metrics
	hosts    map[string]*exec.Cmd
	entries  []string // addresses for callers
	admin    string   // address of the first control host's administration
	operator string   // key
	engines  []*fakes.Engine
	booking  *fakes.Service
	answers  string // questionnaire
}

const callerKey = "caller-key-of-the-test"

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
// groups of client accounts, and brings a configuration into force.
func newFleet(t testing.TB, control, entries int, engine func() *fakes.Engine) *fleet {
	t.Helper()
	return newFleetOf(t, control, entries, 2, false, engine)
}

// newFleetOf can put a relay into every link to a control host.
func newFleetOf(t testing.TB, control, entries, groups int, relayed bool, engine func() *fakes.Engine) *fleet {
	t.Helper()
	f := &fleet{t: t, groups: groups, relayed: relayed, dir: t.TempDir(), hosts: map[string]*exec.Cmd{}, operator: types.RandomID(), booking: &fakes.Service{}}
	f.writeFile("secret", types.RandomID())
	f.writeFile("operator", f.operator)
	f.peers = fakes.FreeAddresses(control)
	f.admin = fakes.FreeAddresses(1)[0]
	for i := range control {
		extra := fmt.Sprintf("peerListen = %q\ndataDir = %q\n", f.peers[i], filepath.Join(f.dir, fmt.Sprintf("data-%d", i)))
		if i == 0 {
			extra += fmt.Sprintf("adminListen = %q\n", f.admin)
		}
		f.settings(fmt.Sprintf("control-%d", i), i, config.RoleControl, extra)
	}
	f.entries = fakes.FreeAddresses(entries)
	for i, a := range f.entries {
		f.metrics = append(f.metrics, fakes.FreeAddresses(1)...)
		extra := fmt.Sprintf("callerListen = %q\nadminListen = %q\n", a, f.metrics[i])
		f.settings(fmt.Sprintf("entry-%d", i), i, config.RoleEntry, extra)
	}
	f.startTargets(engine)
	for name := range f.hosts {
		f.start(name)
	}
	t.Cleanup(f.stopAll)
	f.apply(f.answers)
	f.waitReady()
	return f
}

// controlList is the part of a host's settings that lists control hosts and
// operators.
func (f *fleet) controlList(name string) string {
	var list strings.Builder
	for i, p := range f.peers {
		if f.relayed {
			p = f.relay(name, i, p)
		}
		fmt.Fprintf(&list, "[[control]]\nhost = \"control-%d\"\naddress = %q\n", i, p)
	}
	fmt.Fprintf(&list, "[[operator]]\nname = \"tester\"\nkeyHash = %q\n", types.HashKey(f.operator))
	return list.String()
}

// relay starts a relay between a host and a control host.
func (f *fleet) relay(name string, i int, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	r := &fakes.Relay{To: to}
	f.relays = append(f.relays, relayOf{ends: [2]string{name, fmt.Sprintf("control-%d", i)}, Relay: r})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return r.Run(ctx, l) })
	f.t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return l.Addr().String()
}

// relayOf is the relay between two hosts.
type relayOf struct {
	ends [2]string
	*fakes.Relay
}

// cutOff cuts all links of a host to others, silently, or mends them.
func (f *fleet) cutOff(name string, cut bool) {
	for _, r := range f.relays {
		if r.ends[0] != r.ends[1] && (r.ends[0] == name || r.ends[1] == name) {
			r.Cut(cut)
		}
	}
}

func (f *fleet) settings(name string, i int, role config.Role, extra string) {
	f.hosts[name] = nil
	f.writeFile(name+".toml", fmt.Sprintf("host = %q\nzone = \"zone-%d\"\nroles = [%q]\ngroups = %d\nclusterSecretFile = %q\n%s",
		name, i%3, role, f.groups, filepath.Join(f.dir, "secret"), extra+f.controlList(name)))
}

func (f *fleet) writeFile(name, content string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) startTargets(engine func() *fakes.Engine) {
	var q strings.Builder
	fmt.Fprintf(&q, "[[account]]\nname = \"choir\"\nrequestsPerSecond = 100000.0\nburst = 100000\nkeyHashes = [%q]\n", types.HashKey(callerKey))
	q.WriteString("[[service]]\nname = \"assistant\"\nkind = \"model\"\n")
	for i := range 2 {
		e := engine()
		f.engines = append(f.engines, e)
		fmt.Fprintf(&q, "[[service.target]]\nname = \"engine-%d\"\naddress = %q\nzone = \"zone-%d\"\n", i, f.target(e.Handler()), i)
	}
	q.WriteString("[[service]]\nname = \"booking\"\nkind = \"plain\"\nnonIdempotent = [\"/deposits\"]\n")
	fmt.Fprintf(&q, "[[service.target]]\nname = \"booking-0\"\naddress = %q\nzone = \"zone-0\"\n", f.target(f.booking))
	f.answers = q.String()
}

func (f *fleet) target(h http.Handler) string {
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

// kill ends a host without warning.
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

// apply brings a questionnaire into force, with the command that operators use.
func (f *fleet) apply(questionnaire string) {
	f.t.Helper()
	file := f.writeFile("questionnaire.toml", questionnaire)
	f.eventually("apply", func() error {
		out, err := f.admins("apply", "--questionnaire", file)
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
}

// admins runs one of the operators' commands.
func (f *fleet) admins(args ...string) (string, error) {
	binary, err := buildOnce()
	if err != nil {
		return "", err
	}
	all := append([]string{"admin", "--address", f.admin, "--key-file", filepath.Join(f.dir, "operator")}, args...)
	out, err := exec.Command(binary, all...).CombinedOutput()
	return string(out), err
}

func (f *fleet) waitReady() {
	f.t.Helper()
	for _, a := range f.entries {
		f.eventually("entry is ready", func() error {
			_, err := f.ask(a, http.MethodGet, "/v1/programs/none", nil)
			if err == nil || strings.Contains(err.Error(), "notFound") {
				return nil
			}
			return err
		})
	}
}

// waitLimit bounds every wait for a fleet; it is no target.
const waitLimit = 60 * time.Second

func (f *fleet) eventually(what string, fn func() error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
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

// ask sends one request with the caller's key. An answer other than 2xx is an
// error that holds the body.
func (f *fleet) ask(address, method, path string, body any) ([]byte, error) {
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode/100 != 2 {
		return nil, fmt.Errorf("%s: %s", resp.Status, answer)
	}
	return answer, nil
}

// persist sends a request to one entry host after the other until it is
// answered or its outcome is known to be unknown.
func (f *fleet) persist(first int, method, path string, body any) (answer []byte, err error) {
	deadline := time.Now().Add(waitLimit)
	for i := first; time.Now().Before(deadline); i++ {
		answer, err = f.ask(f.entries[i%len(f.entries)], method, path, body)
		if err == nil || strings.Contains(err.Error(), "outcomeUnknown") {
			return answer, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, err
}
