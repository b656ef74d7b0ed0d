package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
)

// TestMemoryNearLimitIsLogged guards against a process that is killed for its memory without a
// trace before, against a log that is full of it, and against frequent readings, whose processor
// time requests lack.
func TestMemoryNearLimitIsLogged(t *testing.T) {
	const limit = 100
	for name, test := range map[string]struct {
		limit    int64
		use      func(after time.Duration) host.MemoryUse
		wantUses []int64 // in the events
	}{
		"far from it":     {limit, func(time.Duration) host.MemoryUse { return host.MemoryUse{Now: 60, Peak: 79} }, nil},
		"without a limit": {0, func(time.Duration) host.MemoryUse { return host.MemoryUse{Now: 60, Peak: 90} }, nil},
		"near it for 150 s": {limit, func(after time.Duration) host.MemoryUse {
			if after > 150*time.Second {
				return host.MemoryUse{Now: 50, Peak: 95}
			}
			return host.MemoryUse{Now: 85, Peak: 95}
		}, []int64{85, 85, 85}},
		"near it between two readings": {limit, func(after time.Duration) host.MemoryUse {
			if after > 150*time.Second {
				return host.MemoryUse{Now: 50, Peak: 95}
			}
			return host.MemoryUse{Now: 40, Peak: 50}
		}, []int64{50}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log strings.Builder
				start, reads := time.Now(), 0
				w := host.MemoryWatch{Limit: func() int64 { return test.limit }, Log: event.New(&log), Read: func() (host.MemoryUse, error) {
					reads++
					return test.use(time.Since(start)), nil
				}}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
				defer cancel()
				_ = w.Run(ctx) // It always returns nil.
				var uses []int64
				for line := range strings.Lines(log.String()) {
					var e struct{ Bytes int64 }
					if err := json.Unmarshal([]byte(line), &e); err != nil || !strings.Contains(line, `"event":110`) {
						t.Errorf("%v: %s", err, line)
					}
					uses = append(uses, e.Bytes)
				}
				if diff := cmp.Diff(test.wantUses, uses); diff != "" {
					t.Errorf("memory in the events, -want +got:\n%s", diff)
				}
				if reads < 100 || reads > 150 {
					t.Errorf("%d readings in five minutes", reads)
				}
			})
		})
	}
}

// TestMemoryOfProcessIsRead guards against figures that are always 0.
func TestMemoryOfProcessIsRead(t *testing.T) {
	var log logBuffer
	w := host.MemoryWatch{Limit: func() int64 { return 1 }, Log: event.New(&log)}
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return w.Run(ctx) })
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(log.String(), `"event":110`) && time.Now().Before(deadline); {
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	_ = g.Wait() // Run always returns nil.
	var e struct{ Bytes, PeakBytes int64 }
	if err := json.Unmarshal([]byte(log.String()), &e); err != nil || e.Bytes < 1<<20 || e.PeakBytes < e.Bytes {
		t.Errorf("%v: %s", err, log.String())
	}
}

// TestPeakIsThatOfTheProcess guards against events that tell of memory near the limit, on each start of
// a process whose parent has used as much.
func TestPeakIsThatOfTheProcess(t *testing.T) {
	const limit, childEnv = 200 << 20, "MEMORY_TEST_CHILD"
	if os.Getenv(childEnv) != "" {
		w := host.MemoryWatch{Limit: func() int64 { return limit }, Log: event.New(os.Stdout)}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_ = w.Run(ctx) // It always returns nil.
		return
	}
	used := bytes.Repeat([]byte{1}, limit)
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childEnv+"=1")
	output, err := child.CombinedOutput()
	runtime.KeepAlive(used)
	if err != nil || strings.Contains(string(output), `"event":110`) {
		t.Errorf("%v: %s", err, output)
	}
}
