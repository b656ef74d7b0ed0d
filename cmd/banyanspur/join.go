package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/host"
	"github.com/banyanspur/banyanspur/panics"
	"github.com/banyanspur/banyanspur/platform"
)

type joinCommand struct {
	Settings string `long:"settings" short:"s" env:"BANYANSPUR_SETTINGS" required:"true" description:"Settings file (TOML)"`
	Role     struct {
		Name host.NodeRole `positional-arg-name:"role" description:"entry, control or store"`
	} `positional-args:"true" required:"true"`
}

// Execute runs one host until SIGTERM or SIGINT. SIGHUP makes it read its settings file again.
func (c *joinCommand) Execute([]string) error {
	signal.Ignore(syscall.SIGPIPE)    // Otherwise a host ends with the reader of its log.
	reload := make(chan os.Signal, 1) // One signal that waits is enough: it makes the process read the whole file.
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
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
	disk, err := newDisk()
	if err != nil {
		return err
	}
	log, stopLog := event.NewAsync(os.Stdout)
	defer stopLog()
	if err := panics.KeepReport(settings.DataDir, disk, log); err != nil {
		log.Write(event.DiskIOFailed, event.Fields{"error": err.Error(), "step": "panic report"})
	}
	n := &host.Node{
		Role: c.Role.Name, Settings: settings, HeaderNames: platform.HeaderNames, ReadyPath: platform.ReadyPath,
		OperatorHandler: platform.NewOperatorHandler, SettingsFile: c.Settings, Reload: reload, Disk: disk, Log: log,
	}
	if settings.TargetListAddress != "" {
		n.ListTargets = platform.NewMovingTargetLister(n.TargetListAddress)
	}
	err = n.Run(ctx)
	if err != nil {
		log.Write(event.HostFailed, event.Fields{"host": settings.Host, "error": err.Error()})
	}
	return err
}
