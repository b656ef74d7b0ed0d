package crash_test

import (
	"errors"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/banyanspur/banyanspur/crash"
)

// dirEnv names the directory of a process that is killed.
const dirEnv = "CRASH_DIR"

func TestMain(m *testing.M) {
	if dir := os.Getenv(dirEnv); dir != "" {
		if err := useDisk(dir); err != nil {
			panic(err)
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	os.Exit(m.Run())
}

// useDisk writes two durable files and one that it does not report.
func useDisk(dir string) error {
	d, err := crash.RecordingDisk()
	if err != nil {
		return err
	}
	return errors.Join(d.WriteFile(filepath.Join(dir, "below"), "file", []byte("text")), d.WriteFile(dir, "identity", []byte("id")),
		os.WriteFile(filepath.Join(dir, "killed"), []byte("x"), 0o600))
}

// TestFollowerOfKilledProcesses guards against operations of a killed process that are unknown,
// against a loss of power that takes what the process has synced, and against one that leaves
// what no sync has covered.
func TestFollowerOfKilledProcesses(t *testing.T) {
	f := &crash.Follower{Dir: filepath.Join(t.TempDir(), "data")}
	run := func() {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), dirEnv+"="+f.Dir)
		if err := f.Start(cmd); err != nil {
			t.Fatal(err)
		}
		_ = cmd.Wait() // The process kills itself.
	}
	lose := func(fate crash.Fate) crash.Loss {
		l, err := f.LosePower(func(bool) crash.Fate { return fate })
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	run()
	want := read(t, f.Dir)
	names := slices.Sorted(maps.Keys(want))
	if diff := cmp.Diff([]string{"below", "below/file", "identity", "killed"}, names); diff != "" {
		t.Fatalf("what the process has left (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(crash.Loss{Writes: 1, Names: 1, Unreported: 2}, lose(crash.Kept), ignoreDetails); diff != "" {
		t.Errorf("loss of power that takes nothing (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, read(t, f.Dir)); diff != "" {
		t.Errorf("content before and after a loss of power that takes nothing:\n%s", diff)
	}
	if err := os.RemoveAll(f.Dir); err != nil {
		t.Fatal(err)
	}
	run()
	run() // It makes the name of the file durable that the first one has not reported.
	want = read(t, f.Dir)
	want["killed"] = ""
	if diff := cmp.Diff(crash.Loss{Writes: 1, LostWrites: 1, Unreported: 2}, lose(crash.Lost), ignoreDetails); diff != "" {
		t.Errorf("loss of power that takes all (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(want, read(t, f.Dir)); diff != "" {
		t.Errorf("content after a loss of power (-want +got):\n%s", diff)
	}
}

var ignoreDetails = cmpopts.IgnoreFields(crash.Loss{}, "Details")

// TestHang guards against syncs that return while the disk hangs.
func TestHang(t *testing.T) {
	f := &crash.Follower{Dir: filepath.Join(t.TempDir(), "data")}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), dirEnv+"="+f.Dir)
	if err := errors.Join(f.Hang(true), f.Start(cmd)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // The process takes some 20 ms otherwise.
	_ = cmd.Process.Kill()             // It may have exited.
	_ = cmd.Wait()                     // It is killed.
	if err := f.Hang(false); err != nil {
		t.Fatal(err)
	}
	l, err := f.LosePower(func(bool) crash.Fate { return crash.Lost })
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[string]string{}, read(t, f.Dir)); diff != "" {
		t.Errorf("durable though syncs hang (-want +got):\n%s\n%+v", diff, l)
	}
}

// TestReconcile guards against operations of a killed process that are taken for others: a
// rename that may be lost as a whole only, and appends after which the former bytes remain.
func TestReconcile(t *testing.T) {
	root := t.TempDir()
	m := &crash.Model{Root: root}
	path := func(name string) string { return filepath.Join(root, name) }
	write := func(name, text string) error { return os.WriteFile(path(name), []byte(text), 0o600) }
	if err := errors.Join(write("log", "ab"), write("file", "old"), write("file.new", "new"), write("removed", "x"), m.Load()); err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(write("log", "abcd"), os.Rename(path("file.new"), path("file")), os.Remove(path("removed")), os.Mkdir(path("dir"), 0o700), write("dir/f", "y")); err != nil {
		t.Fatal(err)
	}
	want := read(t, root)
	if n, err := m.Reconcile(); err != nil || n != 6 {
		t.Errorf("%d operations, %v, want 6", n, err)
	}
	for fate, want := range map[crash.Fate]map[string]string{
		crash.Kept: want,
		crash.Lost: {"log": "ab", "file": "old", "file.new": "new", "removed": "x"},
	} {
		dir := t.TempDir()
		if err := m.LosePower(dir, func(bool) crash.Fate { return fate }); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, read(t, dir)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", fate, diff)
		}
	}
	if n, err := m.Reconcile(); err != nil || n != 0 {
		t.Errorf("%d more operations, %v, want none", n, err)
	}
}
