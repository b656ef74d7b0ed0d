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
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/platform"
)

var (
	seeds    = flag.Int("seeds", 1, "how many seeds are played")
	first    = flag.Uint64("first", 1, "the first of them")
	duration = flag.Duration("for", 8*time.Second, "how long faults are played with each seed")
)

// The environment of a child: its settings file and its role.
const (
	settingsEnv = "SOAK_SETTINGS"
	roleEnv     = "SOAK_ROLE"
)

// TestMain runs a host in place of the tests if the environment asks for one.
func TestMain(m *testing.M) {
	if file := os.Getenv(settingsEnv); file != "" {
		if err := child(file, host.NodeRole(os.Getenv(roleEnv))); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	flag.Parse()
	os.Exit(m.Run())
}

func child(file string, role host.NodeRole) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	settings, err := config.ParseNode(file, b)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	n := &host.Node{
		Role: role, Settings: settings, Names: platform.Names, ReadyPath: platform.ReadyPath, Operators: platform.Operator,
		List: platform.Lister(settings.TargetList), Log: event.New(os.Stdout),
	}
	return n.Run(ctx)
}

// TestPromisesUnderFaults plays each seed in turn.
func TestPromisesUnderFaults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, seed) })
	}
}
