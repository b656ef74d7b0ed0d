package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/platform"
)

// logBuffer holds log lines. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fields returns the field "fields" of each event of a kind, in order.
func (l *logBuffer) fields(k event.Kind) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.b.String(), "\n") {
		var e struct {
			Event  event.Number
			Fields []string
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Event == k.Number {
			found = append(found, strings.Join(e.Fields, " "))
		}
	}
	return found
}

// listServer serves an empty list of targets and counts the requests.
func listServer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = fmt.Fprint(w, `{"instances":[],"next":null}`)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

// reloadBed is a lone control host with a settings file.
type reloadBed struct {
	t    *testing.T
	file string
	ip   string
	dir  string
	log  logBuffer
}

func newReloadBed(t *testing.T, number int) *reloadBed {
	t.Helper()
	return &reloadBed{t: t, file: filepath.Join(t.TempDir(), "settings.toml"), dir: filepath.Join(t.TempDir(), "data"), ip: fmt.Sprintf("127.%d.78.%d", 20+os.Getpid()%200, number)}
}

// head returns the fields that a process cannot run without, which come first.
func (b *reloadBed) head(zone string) string {
	return fmt.Sprintf("host = \"control-0\"\nzone = %q\naddress = %q\npeerPorts = [17220, 17221]\nseeds = [%q]\n", zone, b.ip, b.ip+":17231")
}

func (b *reloadBed) settings(zone, list string) string {
	return b.head(zone) + fmt.Sprintf("founding = true\ndataDir = %q\nlosses = 2\ntargetList = %q\n", b.dir, list)
}

func (b *reloadBed) write(contents string) {
	b.t.Helper()
	if err := os.WriteFile(b.file, []byte(contents), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

// waitFor waits until done returns true.
func (b *reloadBed) waitFor(what string, done func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.log.mu.Lock()
			defer b.log.mu.Unlock()
			b.t.Fatalf("timed out waiting for %s:\n%s", what, b.log.b.String())
		}
	}
}

// isUsed waits until the list that counts its requests is fetched.
func (b *reloadBed) isUsed(requests *atomic.Int64) {
	b.t.Helper()
	before := requests.Load()
	b.waitFor("a request for the list", func() bool { return requests.Load() > before })
}

// run runs the host in this process until the end of the test or until stop is called.
func (b *reloadBed) run(role host.NodeRole) (reload chan<- os.Signal, stop func()) {
	b.t.Helper()
	contents, err := os.ReadFile(b.file)
	if err != nil {
		b.t.Fatal(err)
	}
	settings, err := config.ParseNodeSettings(b.file, contents)
	if err != nil {
		b.t.Fatal(err)
	}
	signals := make(chan os.Signal)
	n := &host.Node{
		Role: role, Settings: settings, HeaderNames: platform.HeaderNames, OperatorHandler: platform.NewOperatorHandler,
		SettingsFile: b.file, Reload: signals, Log: event.New(&b.log),
	}
	n.ListTargets = platform.NewMovingTargetLister(n.TargetListAddress)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	b.t.Cleanup(func() {
		cancel()
		if err := g.Wait(); err != nil {
			b.t.Error(err)
		}
	})
	return signals, cancel
}

// TestSettingsFileIsReadAgain guards against a host that goes on with the settings with which
// it was started, without a signal.
func TestSettingsFileIsReadAgain(t *testing.T) {
	b := newReloadBed(t, 1)
	first, firstRequests := listServer(t)
	second, secondRequests := listServer(t)
	b.write(b.settings("zone-0", first))
	b.run(host.NodeControl)
	b.isUsed(firstRequests)
	b.write(b.settings("zone-1", second))
	b.isUsed(secondRequests)
	b.waitFor("the event", func() bool { return len(b.log.fields(event.SettingsChanged)) > 0 })
	if diff := cmp.Diff([]string{"targetList"}, b.log.fields(event.SettingsChanged)); diff != "" {
		t.Errorf("changed fields (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"zone"}, b.log.fields(event.SettingsKept)); diff != "" {
		t.Errorf("fields that need a restart (-want +got):\n%s", diff)
	}
}

// TestHalfWrittenSettingsAreNotApplied guards against limits that are lost for a moment because
// a file is valid without its last lines, and against a file that is logged again and again.
func TestHalfWrittenSettingsAreNotApplied(t *testing.T) {
	b := newReloadBed(t, 2)
	first, firstRequests := listServer(t)
	second, secondRequests := listServer(t)
	b.write(b.settings("zone-0", first))
	reload, _ := b.run(host.NodeControl)
	b.isUsed(firstRequests)
	b.write(b.head("zone-0"))
	reload <- syscall.SIGHUP
	time.Sleep(5 * time.Millisecond)
	b.write(b.settings("zone-0", second))
	b.isUsed(secondRequests)
	b.write(b.settings("zone-0", second) + "losses = ")
	b.waitFor("the event", func() bool { return len(b.log.fields(event.SettingsRefused)) > 0 })
	time.Sleep(2500 * time.Millisecond) // The file is read twice more.
	b.isUsed(secondRequests)
	if diff := cmp.Diff([]string{"targetList"}, b.log.fields(event.SettingsChanged)); diff != "" {
		t.Errorf("changed fields (-want +got):\n%s", diff)
	}
	if n := len(b.log.fields(event.SettingsRefused)); n != 1 {
		t.Errorf("the invalid file was logged %d times", n)
	}
}

// TestGracePeriodChanges guards against a host that stops by the grace period with which it
// was started: an order in flight, of a host without a leader, is answered in time for the
// shorter one.
func TestGracePeriodChanges(t *testing.T) {
	b := newReloadBed(t, 4)
	operator := b.ip + ":17231"
	settings := func(grace float64) string {
		return b.head("zone-0") + fmt.Sprintf("dataDir = %q\noperatorListen = %q\ngraceSeconds = %v\n", b.dir, operator, grace)
	}
	b.write(settings(40))
	reload, stop := b.run(host.NodeControl)
	b.write(settings(1))
	reload <- syscall.SIGHUP
	b.waitFor("the event", func() bool { return cmp.Equal([]string{"graceSeconds"}, b.log.fields(event.SettingsChanged)) })
	var g errgroup.Group
	var answered time.Time
	g.Go(func() error {
		_, err := orderRetire(t, operator)
		answered = time.Now()
		return err
	})
	time.Sleep(500 * time.Millisecond) // The order is in flight.
	stopped := time.Now()
	stop()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	if took := answered.Sub(stopped); took > time.Second {
		t.Errorf("the order was answered %v after the stop, with a grace period of 1 s", took)
	}
}

// TestMemoryLimitChanges guards against a process whose runtime collects garbage by the memory
// with which it was started.
func TestMemoryLimitChanges(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	b := newReloadBed(t, 5)
	settings := func(megabytes int) string {
		return b.head("zone-0") + fmt.Sprintf("dataDir = %q\nmemoryMB = %d\n", b.dir, megabytes)
	}
	b.write(settings(900))
	reload, _ := b.run(host.NodeControl)
	for _, megabytes := range []int64{600, 1000} {
		b.write(settings(int(megabytes)))
		reload <- syscall.SIGHUP
		b.waitFor("the limit of the runtime", func() bool { return debug.SetMemoryLimit(-1) == megabytes<<20*6/10 })
	}
}

// TestStoreKeepsItsLimits guards against an event that says that limits have changed which a
// store reads only when it starts.
func TestStoreKeepsItsLimits(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	b := newReloadBed(t, 6)
	settings := func(limits string) string { return b.head("zone-0") + fmt.Sprintf("dataDir = %q\n", b.dir) + limits }
	b.write(settings("memoryMB = 900\nlinkMbps = 100\ncatchUpSeconds = 4\n"))
	reload, _ := b.run(host.NodeStore)
	b.write(settings("memoryMB = 600\nlinkMbps = 200\ncatchUpSeconds = 5\n"))
	reload <- syscall.SIGHUP
	b.waitFor("the event", func() bool { return len(b.log.fields(event.SettingsKept)) > 0 })
	if diff := cmp.Diff([]string{"memoryMB catchUpSeconds linkMbps"}, b.log.fields(event.SettingsKept)); diff != "" {
		t.Errorf("fields that need a restart (-want +got):\n%s", diff)
	}
	if changed := b.log.fields(event.SettingsChanged); len(changed) > 0 {
		t.Errorf("changed fields: %v", changed)
	}
}

// TestSignalMakesProgramReadItsSettings guards against a program that ends at SIGHUP, or goes
// on with its settings.
func TestSignalMakesProgramReadItsSettings(t *testing.T) {
	program, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	b := newReloadBed(t, 3)
	first, firstRequests := listServer(t)
	second, secondRequests := listServer(t)
	b.write(b.settings("zone-0", first))
	cmd := exec.Command(program, "join", "--settings", b.file, "control")
	cmd.Stdout, cmd.Stderr = &b.log, &b.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
	}()
	b.isUsed(firstRequests)
	b.write(b.settings("zone-0", second))
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	b.isUsed(secondRequests)
	b.waitFor("the event", func() bool { return cmp.Equal([]string{"targetList"}, b.log.fields(event.SettingsChanged)) })
}
