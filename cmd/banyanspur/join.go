package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/platform"
)

type joinCommand struct {
	Settings string `long:"settings" short:"s" env:"BANYANSPUR_SETTINGS" required:"true" description:"Settings file (TOML)"`
	Role     struct {
		Name host.NodeRole `positional-arg-name:"role" description:"entry, control or store"`
	} `positional-args:"true" required:"true"`
}

// logTimeout bounds how long a process that ends waits until its last log lines are read.
const logTimeout = 500 * time.Millisecond

// Execute runs one host until SIGTERM or SIGINT.
func (c *joinCommand) Execute([]string) error {
	b, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "banyanspur: read settings")
	}
	settings, err := config.ParseNodeSettings(c.Settings, b)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP) // Settings are not reloaded: changes apply at the next start.
	logWriter := event.NewBoundedWriter(os.Stdout)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	var logGroup errgroup.Group
	logWritten := make(chan struct{})
	logGroup.Go(func() error {
		defer close(logWritten)
		return logWriter.Run(logCtx)
	})
	defer func() {
		stopLog()
		select {
		case <-logWritten:
		case <-time.After(logTimeout): // The rest is lost: nobody reads the log.
		}
	}()
	log := event.New(logWriter)
	n := &host.Node{
		Role: c.Role.Name, Settings: settings, HeaderNames: platform.HeaderNames, ReadyPath: platform.ReadyPath,
		OperatorHandler: platform.NewOperatorHandler, Log: log,
	}
	if settings.TargetListAddress != "" {
		n.ListTargets = platform.NewTargetLister(settings.TargetListAddress)
	}
	err = n.Run(ctx)
	if err != nil {
		log.Write(event.HostFailed, event.Fields{"host": settings.Host, "error": err.Error()})
	}
	return err
}
