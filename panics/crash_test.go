package panics_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/panics"
	"github.com/banyanspur/banyanspur/store"
)

// dirEnv makes the test binary a process that keeps its reports in the given directory and ends by
// the panic of a goroutine.
const dirEnv = "PANICS_TEST_DIR"

func TestMain(m *testing.M) {
	dir := os.Getenv(dirEnv)
	if dir == "" {
		os.Exit(m.Run())
	}
	if err := panics.KeepReport(dir, store.Disk{}, event.New(os.Stdout)); err != nil {
		panic(err)
	}
	var g errgroup.Group
	g.Go(func() error { panic("broken") })
	time.Sleep(time.Minute) // Wait would return before the panic has ended the process.
}

// TestReasonOfEndIsLogged guards against a process that has ended by a panic and cannot be told
// from one that was killed, since only its standard error has the reason.
func TestReasonOfEndIsLogged(t *testing.T) {
	dir := t.TempDir()
	if err := panics.KeepReport(dir+"/missing", store.Disk{}, event.Log{}); err != nil {
		t.Error(err)
	}
	var logged []string
	for range 3 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), dirEnv+"="+dir)
		var log bytes.Buffer
		cmd.Stdout = &log
		if err := cmd.Run(); err == nil || cmd.ProcessState.ExitCode() != 2 {
			t.Fatalf("the process has ended with %v", err)
		}
		line := struct {
			Event  int
			Report string
		}{}
		if log.Len() > 0 {
			if err := json.Unmarshal(log.Bytes(), &line); err != nil {
				t.Fatalf("%v: %s", err, log.String())
			}
		}
		if line.Event == int(event.ProcessCrashed.Number) && strings.Count(line.Report, "panic: broken") == 1 && strings.Contains(line.Report, "TestMain") {
			logged = append(logged, "reason")
		} else {
			logged = append(logged, log.String())
		}
	}
	if diff := cmp.Diff([]string{"", "reason", "reason"}, logged); diff != "" {
		t.Errorf("logged at the starts, -want +got:\n%s", diff)
	}
}
