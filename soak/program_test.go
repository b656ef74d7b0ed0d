package soak_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/fakes"
	"github.com/banyanspur/banyanspur/host"
)

// outputDir is the directory into which deploy/system.toml builds the program.
const outputDir = "target/"

// program is the program as deploy/system.toml builds and starts it, with the build tag that
// makes it report what it does with its disk. It differs from the test binary in its handling
// of signals, its log, its flags and how it is linked.
type program struct {
	dir       string                     // holds what the build line has built
	arguments map[host.NodeRole][]string // words of the run lines; the first is a path below dir
	templates map[host.NodeRole]string   // texts of the templates of the settings files
}

// builtProgram returns the program, which the first call builds into programDir.
var (
	builtProgram = sync.OnceValues(buildProgram)
	programDir   string
)

func buildProgram() (*program, error) {
	b, err := os.ReadFile("../deploy/system.toml")
	if err != nil {
		return nil, err
	}
	var deploy struct {
		Build string
		Roles map[host.NodeRole]struct{ Run, Template string }
	}
	if err := toml.Unmarshal(b, &deploy); err != nil {
		return nil, err
	}
	p := &program{arguments: map[host.NodeRole][]string{}, templates: map[host.NodeRole]string{}}
	if programDir, err = os.MkdirTemp("", "soak-program-"); err != nil {
		return nil, err
	}
	p.dir = programDir
	line := strings.Replace(deploy.Build, " "+outputDir+" ", " "+p.dir+"/ ", 1)
	line, found := strings.CutPrefix(line, "go build ")
	if !found || !strings.Contains(line, p.dir) {
		return nil, fmt.Errorf("the build line does not begin with go build or does not name %s: %s", outputDir, deploy.Build)
	}
	line = "go build -tags disklog " + line
	build := exec.Command("sh", "-c", line)
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%s: %w\n%s", line, err, output)
	}
	for role, r := range deploy.Roles {
		words := strings.Fields(r.Run)
		words[0] = filepath.Join(p.dir, strings.TrimPrefix(words[0], outputDir))
		text, err := os.ReadFile(filepath.Join("..", r.Template))
		if err != nil {
			return nil, err
		}
		p.arguments[role], p.templates[role] = words, string(text)
	}
	return p, nil
}

// removeProgram removes what builtProgram has built, if it was called.
func removeProgram() {
	if programDir != "" {
		_ = os.RemoveAll(programDir)
	}
}

// command returns the command that starts a host, in the root of the repository and without
// the environment of the test.
func (p *program) command(role host.NodeRole, settings string) *exec.Cmd {
	words := p.arguments[role]
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir = ".."
	cmd.Env = []string{"BANYANSPUR_SETTINGS=" + settings, "GOMAXPROCS=1"} // Hosts have one processor.
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if value, ok := os.LookupEnv(name); ok {
			cmd.Env = append(cmd.Env, name+"="+value)
		}
	}
	return cmd
}

// programSettings returns the settings of a host as the template of its role writes them.
// Only the address behind the relay is added.
func (f *fleet) programSettings(h *testHost, founding bool) string {
	address := f.address(h)
	var seeds []any
	for _, s := range f.controls()[:3] { // A host is told at most 3.
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.address(s), operatorPort))
	}
	limits := f.size.limits[h.role]
	fields := map[string]any{
		"node_name": h.name, "role": string(h.role), "ip": address, "zone": h.zone, "internal_ports": []any{peerPort, metricsPort},
		"seed_nodes": seeds, "bootstrap": founding,
		"limits":          map[string]any{"cpu_share": limits.share, "memory_mb": limits.memoryMB, "max_fds": limits.files, "link_mbps": limits.linkMbps},
		"fault_tolerance": map[string]any{"machines": f.size.losses, "zones": 0},
		"bounds":          map[string]any{"catch_up_s": f.size.catchUp, "grace_s": f.size.grace, "strict_revoke": false},
		"provider":        map[string]any{"address": f.listAddress},
	}
	switch h.role {
	case host.NodeEntry:
		fields["listen"] = map[string]any{"front": fmt.Sprintf("%s:%d", address, callerPort), "ready_address": fmt.Sprintf("%s:%d", address, readyPort)}
	case host.NodeControl:
		fields["listen"] = map[string]any{"control": fmt.Sprintf("%s:%d", address, operatorPort)}
	}
	if h.role != host.NodeEntry {
		fields["data_dir"] = filepath.Join(h.dir, "data")
	}
	text, err := fakes.RenderTemplate(f.program.templates[h.role], fields, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	return text + fmt.Sprintf("bind = \"%s.2.%d\"\n", f.netPrefix, h.number)
}

// TestSettingsTemplate guards against settings of the soak that differ from those that the
// platform writes: a field that the template leaves out, or one that the program refuses.
func TestSettingsTemplate(t *testing.T) {
	text, err := os.ReadFile("../deploy/settings.toml.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	size := deploymentSizes["grown"].fleet
	f := &fleet{t: t, size: size, netPrefix: "127.9", listAddress: "127.0.0.1:1", program: &program{templates: map[host.NodeRole]string{}}}
	for i := range size.controls + size.stores + size.entries {
		role, _ := size.role(i)
		f.program.templates[role] = string(text)
		f.hosts = append(f.hosts, &testHost{name: fmt.Sprint("host-", i), zone: "zone-1", role: role, number: i + 1, dir: t.TempDir()})
	}
	for _, h := range f.hosts {
		settings, err := config.ParseNodeSettings("settings.toml", []byte(f.programSettings(h, true)))
		if err != nil {
			t.Fatal(err)
		}
		limits := size.limits[h.role]
		if settings.MemoryMB != int64(limits.memoryMB) || settings.LinkMbps != limits.linkMbps || settings.CatchUpSeconds != size.catchUp ||
			settings.GraceSeconds != size.grace || settings.Losses != size.losses || !settings.TargetPace || !settings.PaceSelective || !settings.Founding {
			t.Errorf("%s has the settings %+v", h.role, settings)
		}
		if (settings.CallerListen != "") != (h.role == host.NodeEntry) || (settings.OperatorListen != "") != (h.role == host.NodeControl) || (settings.DataDir != "") != (h.role != host.NodeEntry) {
			t.Errorf("%s has the settings %+v", h.role, settings)
		}
	}
}
