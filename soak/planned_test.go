package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/banyanspur/banyanspur/types"
)

const (
	// hangupInterval is the mean time between two SIGHUPs of a host.
	hangupInterval = 10 * time.Second
	// startTime is the time for which a process runs before it gets a SIGHUP: until the
	// program handles signals, the kernel ends it, whatever the program does. It has just read
	// its settings then.
	startTime = time.Second
)

// hangup is a SIGHUP of a host, which says that its settings file may have changed.
type hangup struct {
	host string
	at   time.Time
}

// hangUp sends SIGHUPs to random hosts until ctx ends, also while others have faults.
func (d *deployment) hangUp(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 12))
	hosts := d.fleet.hosts
	for types.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(hangupInterval)/float64(len(hosts)))) {
		h := hosts[r.IntN(len(hosts))]
		h.mu.Lock()
		running := h.process != nil && time.Since(h.disturbedAt) > startTime
		if running {
			_ = h.process.Process.Signal(syscall.SIGHUP) // The process may have exited.
		}
		h.mu.Unlock()
		if running {
			d.mu.Lock()
			d.hangups = append(d.hangups, hangup{host: h.name, at: time.Now()})
			d.mu.Unlock()
		}
	}
}

// doPlannedWork stops all control hosts and stores one after another, each as soon as the one
// before is back. Then it stops some beside planned stops of entry hosts, which it goes on with
// for a time. A host that is back counts as lost until it has caught up, so these come at
// intervals at which no more hosts count as lost than the fleet tolerates.
func (d *deployment) doPlannedWork(length time.Duration) {
	d.stopDisksInTurn(context.Background(), 0)
	ctx, cancel := context.WithCancel(context.Background())
	var g sync.WaitGroup
	g.Go(func() {
		for interval := d.fleet.size.catchUp / float64(d.fleet.size.losses); ctx.Err() == nil; {
			d.stopDisksInTurn(ctx, time.Duration(interval*float64(time.Second)))
		}
	})
	d.stopInTurn(length)
	cancel()
	g.Wait()
}

// stopDisksInTurn stops the control hosts and the stores as planned, in random order, at
// intervals until ctx ends. Each one is back before the next one stops.
func (d *deployment) stopDisksInTurn(ctx context.Context, interval time.Duration) {
	f := d.fleet
	hosts := slices.Clone(f.diskHosts())
	f.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts {
		d.stopPlanned(h)
		f.waitListening(h)
		d.waitHost(h, "planned stop")
		if !types.Sleep(ctx, interval) {
			return
		}
	}
}

// waitListening waits until a host that was started accepts connections of others.
func (f *fleet) waitListening(h *testHost) {
	address := fmt.Sprintf("%s.2.%d:%d", f.netPrefix, h.number, peerPort) // Behind the relay.
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp4", address, time.Second); err == nil {
			_ = c.Close()
			return
		}
	}
	f.t.Errorf("%s does not accept connections %v after its start", h.name, waitTimeout)
}

// stopPlanned stops a host as planned and starts it again. It checks that the process ends
// without a failure within its grace period, after which the platform would kill it.
func (d *deployment) stopPlanned(h *testHost) {
	d.during(h, "planned stop", true, func() {
		grace := time.Duration(d.fleet.size.grace * float64(time.Second))
		begin, kill := time.Now(), h.killAfter(grace)
		state := h.stop(syscall.SIGTERM)
		if kill != nil {
			kill.Stop()
		}
		if state != nil && state.ExitCode() != 0 {
			d.t.Errorf("%s, stopped as planned at %.3f, ended after %v: %v", h.name, begin.Sub(d.started).Seconds(), time.Since(begin), state)
		}
		d.fleet.start(h, false)
	})
}

// killAfter kills the process of a host, if there is one, after d unless the timer is stopped.
func (h *testHost) killAfter(d time.Duration) *time.Timer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return nil
	}
	process := h.process.Process
	return time.AfterFunc(d, func() { _ = process.Kill() }) // It may have exited.
}
