package host

import (
	"bytes"
	"context"
	"math"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/event"
	"github.com/banyanspur/banyanspur/types"
)

const (
	// settingsInterval is how often the settings file is read, since it may change without a
	// signal.
	settingsInterval = time.Second
	// settingsSettleTime is how long changed contents must stay the same. A file of which a
	// part has been written may be valid without the limits that follow.
	settingsSettleTime = 100 * time.Millisecond
)

// changeableSettings are the fields of [config.NodeSettings] that may change while a process
// runs. All others, also new ones, need a restart.
var changeableSettings = []string{
	"seeds", "losses", "zoneLosses", "memoryMB", "graceSeconds", "keyStaleMS", "targetList", "coldOver", "coldSlack", "catchUpSeconds", "linkMbps",
}

// storeFixedSettings are those of changeableSettings that a store reads only when it starts.
// The other roles do not use them, or apply them.
var storeFixedSettings = []string{"memoryMB", "catchUpSeconds", "linkMbps"}

// settingsFile is the settings file of a process as it was last read.
type settingsFile struct {
	path     string
	contents []byte // that were applied or refused last
	failed   bool   // the last attempt to read the file failed
}

// inForce returns the settings in force.
func (n *Node) inForce() config.NodeSettings {
	if s := n.changed.Load(); s != nil {
		return *s
	}
	return n.Settings
}

// TargetListAddress returns the address of the platform's list of targets in force.
func (n *Node) TargetListAddress() string { return n.inForce().TargetListAddress }

// onSettings registers a function that is called with the settings in force after a change.
// All must be registered before watchSettings runs.
func (n *Node) onSettings(apply func(s config.NodeSettings)) {
	n.appliers = append(n.appliers, apply)
}

// watchSettings applies changes of the settings file until ctx ends.
func (n *Node) watchSettings(ctx context.Context) error {
	f := settingsFile{path: n.SettingsFile}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.Reload:
		case <-ticker.C:
		}
		n.checkSettingsFile(ctx, &f)
	}
}

// checkSettingsFile reads the settings file, and applies it if its contents have changed.
func (n *Node) checkSettingsFile(ctx context.Context, f *settingsFile) {
	contents, err := os.ReadFile(f.path)
	if err == nil && bytes.Equal(contents, f.contents) {
		f.failed = false
		return
	}
	if !types.Sleep(ctx, settingsSettleTime) {
		return
	}
	again, err := os.ReadFile(f.path)
	if err != nil {
		if !f.failed {
			n.refuseSettings(err)
		}
		f.failed = true
		return
	}
	f.failed = false
	if !bytes.Equal(contents, again) {
		return // It is being written. The next check reads it again.
	}
	f.contents = contents
	next, err := config.ParseNodeSettings(f.path, contents)
	if err != nil {
		n.refuseSettings(err)
		return
	}
	n.applySettings(next)
}

func (n *Node) refuseSettings(err error) {
	n.Log.Write(event.SettingsRefused, event.Fields{"host": n.Settings.Host, "error": err.Error()})
}

// applySettings puts the changeable settings of next in force.
func (n *Node) applySettings(next config.NodeSettings) {
	current := n.inForce()
	inForce, changed, kept := current.Change(next, func(field string) bool { return n.isFixed(field, next) })
	if len(kept) > 0 {
		n.Log.Write(event.SettingsKept, event.Fields{"host": n.Settings.Host, "fields": kept})
	}
	if len(changed) == 0 {
		return
	}
	n.changed.Store(&inForce)
	for _, apply := range n.appliers {
		apply(inForce)
	}
	n.Log.Write(event.SettingsChanged, event.Fields{"host": n.Settings.Host, "fields": changed})
}

// isFixed reports whether a field keeps its value until the next start.
func (n *Node) isFixed(field string, next config.NodeSettings) bool {
	switch {
	case n.Role == NodeStore && slices.Contains(storeFixedSettings, field):
		return true
	case n.Role == NodeControl && field == "targetList":
		// Whether there is a list decides what a leader waits for.
		return (n.Settings.TargetListAddress == "") != (next.TargetListAddress == "")
	}
	return !slices.Contains(changeableSettings, field)
}

// setMemoryLimit sets the memory limit of the Go runtime.
func setMemoryLimit(s config.NodeSettings) {
	limit := int64(math.MaxInt64)
	if s.MemoryMB > 0 {
		limit = int64(memoryLimitShare * float64(s.MemoryMB<<20))
	}
	debug.SetMemoryLimit(limit)
}
