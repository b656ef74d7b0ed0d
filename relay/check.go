package relay

import (
	"context"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// checkTick is how often the paths are looked through.
	checkTick = 100 * time.Millisecond
	// silenceTime is how long a target with requests may send nothing until the path to
	// it is checked, and silentCheckInterval the pause between such checks.
	silenceTime         = 500 * time.Millisecond
	silentCheckInterval = 2 * time.Second
	// healCheckInterval is the pause between checks whether a path that was cut works
	// again.
	healCheckInterval = 500 * time.Millisecond
)

// Run checks the paths to targets that are silent or that were cut, until ctx ends. It always
// returns nil.
func (d *Dialer) Run(ctx context.Context) error {
	for types.Sleep(ctx, checkTick) {
		for _, address := range d.dueChecks(time.Now()) {
			d.check(ctx, address)
		}
	}
	d.httpClient().CloseIdleConnections()
	d.background.Wait()
	return nil
}

// dueChecks returns the addresses of the paths to be checked, and marks them as being
// checked.
func (d *Dialer) dueChecks(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []string
	for address, p := range d.paths {
		age := now.Sub(p.checkedAt)
		wanted := p.cut && age > healCheckInterval || !p.cut && p.silent(now) && age > silentCheckInterval
		if wanted && !p.checking {
			p.checking = true
			due = append(due, address)
		}
	}
	return due
}

// check finds out in the background whether a target can be reached directly, and if not,
// whether it can be reached through another host.
func (d *Dialer) check(ctx context.Context, address string) {
	d.background.Go(func() {
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			p := d.path(address)
			p.checking, p.checkedAt = false, time.Now()
		}()
		c, err := d.dialDirect(ctx, address)
		if err == nil {
			d.setCut(address, nil)
			d.Keep(address, c)
			return
		}
		if d.isCut(address) || !d.HasHosts() || ctx.Err() != nil {
			return
		}
		relayed, relayErr := d.dialRelayed(ctx, address)
		if relayErr == nil {
			d.setCut(address, err)
			d.Keep(address, relayed)
		}
	})
}
