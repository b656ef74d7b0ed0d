package soak_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/crash"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/platform"
)

var (
	seeds    = flag.Int("seeds", 1, "number of seeds to run")
	first    = flag.Uint64("first", 1, "first seed")
	duration = flag.Duration("for", 8*time.Second, "how long faults are injected with each seed")
)

// Environment variables that make the test binary run one host instead of the
// tests: the path of the settings file, the role, and
// the file that a [partition] reads.
const (
	settingsEnv  = "SOAK_SETTINGS"
	roleEnv      = "SOAK_ROLE"
	partitionEnv = "SOAK_PARTITION"
)

// TestMain runs the tests, or one host if settingsEnv is set.
func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		if err := runHost(file, host.NodeRole(os.Getenv(roleEnv))); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	flag.Parse()
	code := m.Run()
	removeProgram()
	os.Exit(code)
}

// runHost runs one host until SIGTERM.
func runHost(file string, role host.NodeRole) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	settings, err := config.ParseNodeSettings(file, b)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	disk, err := crash.RecordingDisk()
	if err != nil {
		return err
	}
	n := &host.Node{
		Disk: disk,
		Role: role, Settings: settings, HeaderNames: platform.HeaderNames, ReadyPath: platform.ReadyPath, OperatorHandler: platform.NewOperatorHandler,
		ListTargets: platform.NewTargetLister(settings.TargetListAddress), Log: event.New(os.Stdout),
		DialTarget: partition{file: os.Getenv(partitionEnv)}.dial,
	}
	return n.Run(ctx)
}

// TestGuaranteesUnderFaults runs the seeds one after another, each with a fleet
// of its own.
func TestGuaranteesUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}
