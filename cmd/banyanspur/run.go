package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/panics"
	"github.com/banyanspur/banyanspur/store"
)

type runCommand struct {
	Settings string        `long:"settings" short:"s" required:"true" description:"Settings file (TOML)"`
	DrainLag time.Duration `long:"drain-lag" default:"3s" description:"How long new requests are still accepted after SIGTERM"`
}

// Execute runs one host until SIGTERM or SIGINT.
func (c *runCommand) Execute([]string) error {
	signal.Ignore(syscall.SIGPIPE) // Otherwise a host ends with the reader of its log.
	s, err := readSettings(c.Settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log, stopLog := event.NewAsync(os.Stderr)
	defer stopLog()
	if err := panics.KeepReport(s.DataDir, store.Disk{}, log); err != nil {
		log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "panic report"})
	}
	p := &host.Process{Settings: s, DrainLag: c.DrainLag, Log: log}
	err = p.Run(ctx)
	if err != nil {
		log.Write(event.HostFailed, event.Fields{"host": s.Host, "error": err.Error()})
	}
	return err
}

func readSettings(file string) (config.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return config.Settings{}, errors.Wrap(err, "banyanspur: read settings")
	}
	return config.ParseSettings(file, b)
}
