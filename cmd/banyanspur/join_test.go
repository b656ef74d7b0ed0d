package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// mainEnv makes the test binary run the program instead of the tests.
const mainEnv = "BANYANSPUR_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		main()
	}
	os.Exit(m.Run())
}

// TestHostOutlivesReaderOfItsLog guards against a host that is ended by SIGPIPE, with all requests
// in flight, when it writes a line after the reader of its log has ended.
func TestHostOutlivesReaderOfItsLog(t *testing.T) {
	ports, settings := freePorts(t, 5), filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("host = \"entry-1\"\nzone = \"zone-1\"\naddress = \"127.0.0.1\"\npeerPorts = [%d, %d]\nseeds = [\"127.0.0.1:%d\"]\nlosses = 1\ngraceSeconds = 1.0\ncallerListen = \"127.0.0.1:%d\"\nreadyListen = \"127.0.0.1:%d\"\n",
		ports[0], ports[1], ports[2], ports[3], ports[4])
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "join", "entry", "--settings", settings)
	cmd.Env = append(os.Environ(), mainEnv+"=1")
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }() // It has ended unless the test has failed.
	if line, err := bufio.NewReader(stdout).ReadString('\n'); err != nil || !strings.Contains(line, `"event":101`) {
		b, _ := io.ReadAll(stderr)
		t.Fatalf("first line %q, %v: %s", line, err, b)
	}
	_, _ = stdout.Close(), stderr.Close()                                   // The next line cannot be written.
	if err := os.WriteFile(settings, []byte("host ="), 0o600); err != nil { // Each refusal is logged.
		t.Fatal(err)
	}
	if dropped := waitDropped(t, ports[1]); !dropped {
		t.Error("the host has not counted a line that it could not write")
	}
	if resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/v1/readyz", ports[4])); err != nil {
		t.Errorf("the host does not answer: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // It may have ended.
	if err := cmd.Wait(); err != nil {
		t.Errorf("the host was told to stop: %v", err)
	}
}

// freePorts returns ports of this machine that were free just now, in ascending order.
func freePorts(t *testing.T, n int) (ports []int) {
	t.Helper()
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close() // Not earlier, so that the ports differ.
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	slices.Sort(ports)
	return ports
}

// waitDropped waits until a host has counted a line of its log as dropped.
func waitDropped(t *testing.T, metricsPort int) bool {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/metrics", metricsPort))
		if err != nil {
			continue
		}
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			if value, ok := strings.CutPrefix(lines.Text(), "banyanspur_event_dropped_lines_total "); ok && value != "0" {
				_ = resp.Body.Close()
				return true
			}
		}
		_ = resp.Body.Close()
	}
	return false
}
