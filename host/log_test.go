package host_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestUnreadLogDoesNotKeepProcess guards against a process that has stopped its host but
// does not end, because nobody reads its log. It looks alive and holds its ports.
func TestUnreadLogDoesNotKeepProcess(t *testing.T) {
	binary, err := buildOnce()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	ip := fmt.Sprintf("127.%d.78.1", 20+os.Getpid()%200)
	settings := filepath.Join(dir, "settings.toml")
	text := fmt.Sprintf("host = \"control-0\"\nzone = \"zone-0\"\naddress = %q\npeerPorts = [17200, 17201]\nseeds = [\"%s:17211\"]\ndataDir = %q\ngraceSeconds = 1.0\n", ip, ip, filepath.Join(dir, "data"))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	defer w.Close()
	fillPipe(t, w)
	cmd := exec.Command(binary, "join", "control", "--settings", settings)
	cmd.Stdout = w
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	var g errgroup.Group
	ended := make(chan error, 1)
	g.Go(func() error {
		ended <- cmd.Wait()
		return nil
	})
	time.Sleep(500 * time.Millisecond) // The process has begun to write its log.
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the process runs 5 s after SIGTERM, with a grace period of 1 s")
		_ = cmd.Process.Kill()
	}
	_ = g.Wait() // Always nil.
}

// fillPipe writes to a pipe until nothing more fits.
func fillPipe(t *testing.T, w *os.File) {
	t.Helper()
	if err := w.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	for block := make([]byte, 1024); ; {
		if _, err := w.Write(block); err != nil {
			break // The deadline has passed.
		}
	}
}
